"""The simulated environment of a day: one process, a simulated clock and network.

Core, decision module, delivery, protocol servers, codecs, client libraries, stand-ins and the day itself are the real
ones. The same seed gives the same recordings, byte for byte, in any process. What is simulated otherwise: sockets
(frames are handed over after a delay, in order), reports (points without OTLP's bytes), and TCP's acknowledgements (one
round trip after a frame was read).
"""

from __future__ import annotations

from collections.abc import Callable

from hollyridge.lab.day import Day, DayError
from hollyridge.lab.reports.record import Recorder
from hollyridge.lab.scenario import Scenario
from hollyridge.lab.stand_ins.simulated_process import SimulatedProcess
from hollyridge.lab.stand_ins.simulation import US_PER_S, Simulation
from hollyridge.lab.stand_ins.virtual_stand_ins import VirtualAgent, VirtualCommandHandler

STEP_S = 0.25  # simulated time between two looks at the day's progress
MAX_SETUP_S = 60  # simulated time within which fleet and proxies must have started
AGENT_SETTLE_S = 1.0


class SimulatedEnvironment(Simulation):
    """Where a day is played under a simulated clock.

    Attributes:
        failures: What makes the day's result worthless, once it has ended.
    """

    def __init__(
        self, scenario: Scenario, policy: str = "", seed: int = 1, ties: int | None = None, record: str | None = None
    ) -> None:
        """Prepare a day.

        Args:
            scenario: What is played.
            policy: Another decision module of the laboratory; empty for the service's own.
            seed: Of the network, the stand-ins and the assigners.
            ties: Shuffles what is due at the same moment, by this seed (see `VirtualWorld`).
            record: Where the recording is written at the end.
        """
        super().__init__(scenario, policy, seed, ties)
        self.record_path = record
        self.failures: list[str] = []
        self.processes = [SimulatedProcess(self, number) for number in range(scenario.config.assigner.assigners)]
        self.peers = {self.peer_address(process.number): process for process in self.processes}

    def start_worker(self, _name: str, on_message: Callable[[dict], None]) -> VirtualCommandHandler:
        """What runs stand-ins; `on_message` takes what it has to tell."""
        return VirtualCommandHandler(self, on_message)

    def agent(self, number: int) -> VirtualAgent:
        """The agent of one assigner."""
        return VirtualAgent(self.processes[number])

    def wait_for_sync(self, _agent: VirtualAgent) -> None:
        """Give an agent time to register the first tasks."""
        self.world.sleep(AGENT_SETTLE_S)

    def start_assigner(self, number: int) -> None:
        """Start one assigner."""
        self.processes[number].start()

    def kill_assigner(self, number: int) -> None:
        """Kill one assigner."""
        self.processes[number].kill()

    def stall_assigner(self, number: int, seconds: float) -> None:
        """Give one assigner no turn for a while; its sockets stay open."""
        self.processes[number].stalled_until_us = self.world.now() + round(seconds * US_PER_S)

    def cut_peers(self, pairs: set[tuple[int, int]], lost: float) -> None:
        """Pass no datagram from the first to the second of these assigners, and lose this fraction of the others."""
        self.peers_cut, self.peers_lost = pairs, lost

    def play(self, day: Day) -> int:
        """Let the day pass; returns when it began (us).

        Raises:
            DayError: It could not be played as scripted.
        """
        begun: list[int] = []

        def run_day() -> None:
            day.set_up()
            begun.append(self.world.now())
            for name, fault in self.scenario.faults.items():
                self.world.spawn(day.cause, name, fault)

        self.world.spawn(run_day)
        passed_s, length_s = 0.0, self.scenario.day.length_s
        while not begun or (self.world.now() - begun[0]) / US_PER_S < length_s:
            passed_s += STEP_S
            self.world.run(passed_s)
            if day.failures:
                raise DayError("; ".join(day.failures))
            if begun:
                day.on_progress(min(1.0, (self.world.now() - begun[0]) / US_PER_S / length_s))
            elif passed_s > MAX_SETUP_S:
                raise DayError("the fleet was never set up")
        return begun[0]

    def recorded(self) -> list[dict]:
        """The day's records; they are also written to the recording's file, if one was named."""
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
