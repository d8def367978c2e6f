"""What all faults use: choosing what is struck, setting it for a while, and striking several at once."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from hollyridge.lab.environment import Result, Worker
from hollyridge.lab.fleet import Fleet
from hollyridge.lab.scenario import FaultSection

MIN_STALL_GAP_S = 0.1  # between two stalls of a process
Item = TypeVar("Item")


class FaultBase(Fleet):
    """A fleet that faults strike."""

    def sample(self, items: list[Item], fraction: float) -> list[Item]:
        """This fraction of the items, at least one if there are any."""
        return self.rng.sample(items, max(1, round(fraction * len(items)))) if items else []

    def zone_of(self, fault: FaultSection) -> str:
        """The zone that the fault strikes: the one it names, or any."""
        return fault.zone or self.rng.choice(self.zones)

    def scale_traffic(self, fault: FaultSection, factor: float, zone: int = -1) -> None:
        """Let this fault multiply the RPCs of one zone's proxies, or of all."""
        cause = f"{fault.kind}-{fault.at_s}"
        for number, worker in enumerate(self.proxy_workers):
            if zone in (-1, number):
                worker.execute("factor", name="", cause=cause, value=factor)

    def set_for_a_while(self, fault: FaultSection, workers: list[Worker], name: str, during: dict, after: dict) -> None:
        """Set attributes of a stand-in, or of all for an empty name, for the fault's time."""
        for worker in workers:
            worker.execute("set", name=name, attributes=during)
        self.world.sleep(fault.for_s)
        for worker in workers:
            worker.execute("set", name=name, attributes=after)

    def run_together(self, jobs: list[tuple], gap_s: float = 0.0) -> None:
        """Run all jobs, a call with its arguments each, beside each other until all are done.

        Args:
            jobs: Started in this order.
            gap_s: Time between two starts.

        Raises:
            Exception: What the first job that failed raised.
        """
        results = []
        for call, *arguments in jobs:
            result = self.world.result()
            results.append(result)
            self.world.spawn(self._run_job, call, arguments, result)
            if gap_s:
                self.world.sleep(gap_s)
        for result in results:
            failure = result.get()
            if failure is not None:
                raise failure

    @staticmethod
    def _run_job(call: Callable, arguments: list, result: Result) -> None:
        try:
            call(*arguments)
        except Exception as failure:  # handed to who waits for all jobs, and raised there
            result.set(failure)
        result.set(None)
