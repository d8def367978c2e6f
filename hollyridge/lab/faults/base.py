"""Base of all faults: choice of the affected items, temporary settings, and jobs that run concurrently."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from hollyridge.lab.environment import Result, Worker
from hollyridge.lab.fleet import Fleet
from hollyridge.lab.scenario import FaultSection

MIN_STALL_GAP_S = 0.1  # minimum time between two stalls of a process
Item = TypeVar("Item")


class FaultBase(Fleet):
    """Fleet with the operations that faults share."""

    def sample(self, items: list[Item], fraction: float) -> list[Item]:
        """Draw this fraction of the items, at least one if there are any."""
        return self.rng.sample(items, max(1, round(fraction * len(items)))) if items else []

    def affected_zone(self, fault: FaultSection) -> str:
        """Return the zone that the fault names, or a random one if it names none."""
        return fault.zone or self.rng.choice(self.zones)

    def scale_traffic(self, fault: FaultSection, factor: float, zone: int = -1) -> None:
        """Set the factor by which this fault multiplies the RPC rate of proxies. Factors of several faults multiply.

        Args:
            fault: The fault.
            factor: Factor, which replaces the previous one of this fault; 1 ends its effect.
            zone: Index of the zone whose proxies are affected; -1 for all zones.
        """
        cause = f"{fault.kind}-{fault.at_s}"
        for number, worker in enumerate(self.proxy_workers):
            if zone in (-1, number):
                worker.execute("factor", name="", cause=cause, value=factor)

    def set_temporarily(self, fault: FaultSection, workers: list[Worker], name: str, during: dict, after: dict) -> None:
        """Set attributes of a stand-in, or of all if the name is empty, for the duration of the fault.

        Args:
            fault: The fault.
            workers: Workers of the stand-ins.
            name: Name of the stand-in.
            during: Values of the attributes for the duration of the fault.
            after: Values of the attributes after it.
        """
        for worker in workers:
            worker.execute("set", name=name, attributes=during)
        self.world.sleep(fault.for_s)
        for worker in workers:
            worker.execute("set", name=name, attributes=after)

    def run_concurrently(self, jobs: list[tuple], gap_s: float = 0.0) -> None:
        """Run jobs concurrently and wait until all are done.

        Args:
            jobs: (function, argument, ...) of each job, in the order of their start.
            gap_s: Time between two starts, in seconds.

        Raises:
            Exception: The exception of the first job that failed, in the order of their start.
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
        except Exception as failure:  # passed to the greenlet that waits for all jobs, and raised there
            result.set(failure)
        result.set(None)
