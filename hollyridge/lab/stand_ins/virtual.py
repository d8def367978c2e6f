"""Simulated environment of a day: one process with a simulated clock and network.

Core, decision module, delivery, protocol servers, codecs, client libraries, stand-ins and the day itself are the same
as in the live environment. The same seed gives the same recordings, byte for byte, in any process. Simulated are
sockets (frames arrive in order after a delay), load reports (passed as data points, without OTLP encoding) and TCP
acknowledgements (one round trip after a frame was read).
"""

from __future__ import annotations

from collections.abc import Callable

from hollyridge.lab.day import Day, DayError
from hollyridge.lab.reports.record import Recorder
from hollyridge.lab.scenario import Scenario
from hollyridge.lab.stand_ins.simulated_process import SimulatedProcess
from hollyridge.lab.stand_ins.simulation import US_PER_S, Simulation
from hollyridge.lab.stand_ins.virtual_stand_ins import VirtualAgent, VirtualCommandHandler

STEP_S = 0.25  # simulated time between two checks of the day's progress
MAX_SETUP_S = 60  # simulated time within which tasks and proxies must have started
AGENT_SETTLE_S = 1.0  # simulated time in which an agent registers the initial tasks


class SimulatedEnvironment(Simulation):
    """Environment that plays a day under a simulated clock.

    Attributes:
        failures: Failures that invalidate the day's result, complete once it has ended.
    """

    def __init__(
        self, scenario: Scenario, policy: str = "", seed: int = 1, ties: int | None = None, record: str | None = None
    ) -> None:
        """Prepare a day.

        Args:
            scenario: Scenario to play.
            policy: Name of the laboratory's decision module to use; empty for that of the service.
            seed: Seed of the random generators of the network and the assigners.
            ties: Seed by which calls that are due at the same time are shuffled (see `VirtualWorld`); None for their
                order of scheduling.
            record: Path of the file that the recording is written to at the end; None for no file.
        """
        super().__init__(scenario, policy, seed, ties)
        self.record_path = record
        self.failures: list[str] = []
        self.processes = [SimulatedProcess(self, number) for number in range(scenario.config.assigner.assigners)]
        self.peers = {self.peer_address(process.number): process for process in self.processes}

    def start_worker(self, _name: str, on_message: Callable[[dict], None]) -> VirtualCommandHandler:
        """Return a runner of stand-ins; `on_message` is called with each message from it."""
        return VirtualCommandHandler(self, on_message)

    def agent(self, number: int) -> VirtualAgent:
        """Start the agent of one assigner."""
        return VirtualAgent(self.processes[number])

    def wait_for_sync(self, _agent: VirtualAgent) -> None:
        """Wait long enough for an agent to register the initial tasks."""
        self.world.sleep(AGENT_SETTLE_S)

    def start_assigner(self, number: int) -> None:
        """Start one assigner."""
        self.processes[number].start()

    def kill_assigner(self, number: int) -> None:
        """Kill one assigner."""
        self.processes[number].kill()

    def stall_assigner(self, number: int, seconds: float) -> None:
        """Stall one assigner for this time; its sockets stay open."""
        self.processes[number].stalled_until_us = self.world.now() + round(seconds * US_PER_S)

    def cut_peers(self, pairs: set[tuple[int, int]], lost: float) -> None:
        """Drop datagrams between these (sender, receiver) pairs, and the fraction `lost` of all others."""
        self.peers_cut, self.peers_lost = pairs, lost

    def play(self, day: Day) -> int:
        """Play the day and return its start, in microseconds.

        Raises:
            DayError: The day could not be played as the scenario describes it.
        """
        started_us: list[int] = []

        def run_day() -> None:
            day.set_up()
            started_us.append(self.world.now())
            for name, fault in self.scenario.faults.items():
                self.world.spawn(day.run_fault, name, fault)

        self.world.spawn(run_day)
        simulated_s, length_s = 0.0, self.scenario.day.length_s
        while not started_us or (self.world.now() - started_us[0]) / US_PER_S < length_s:
            simulated_s += STEP_S
            self.world.run(simulated_s)
            if day.failures:
                raise DayError("; ".join(day.failures))
            if started_us:
                day.on_progress(min(1.0, (self.world.now() - started_us[0]) / US_PER_S / length_s))
            elif simulated_s > MAX_SETUP_S:
                raise DayError(f"tasks and proxies did not start within {MAX_SETUP_S} s of simulated time")
        return started_us[0]

    def recorded(self) -> list[dict]:
        """Return the records of the day, and write them to the recording's file if there is one."""
        if self.record_path:
            recorder = Recorder(self.record_path)
            for row in self.record.rows:
                recorder.file.write(recorder.encoder.encode(row) + b"\n")
            recorder.flush()
        return self.record.rows

    def end(self) -> None:
        """Collect the assigners' last status and errors."""
        self.status += [process.service.status() for process in self.processes if process.service is not None]
        self.failures += self.log.errors
