"""State that the parts of the simulated environment share: clock, network, addresses, tasks and assigner processes.

Streams, proxies, agents and assigner processes need the environment that they run in, and the environment creates all
of them. They import this module instead of the environment, so that imports are not circular.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import TYPE_CHECKING, Protocol

from hollyridge.lab.reports.record import Recorder
from hollyridge.lab.scenario import Scenario
from hollyridge.lab.stand_ins.sockets import Network
from hollyridge.lab.stand_ins.task import Task
from hollyridge.lab.stand_ins.world import VirtualWorld
from hollyridge.otlp.sender import MetricPoint

if TYPE_CHECKING:
    from hollyridge.service import Service

US_PER_S = 1_000_000
FIRST_ASSIGNER_PORT = 6000
PORTS_PER_ASSIGNER = 10
CHP_PORT, SASP_PORT, OTLP_PORT, PEER_PORT = 0, 4, 5, 6  # offsets from an assigner's first port; CHP uses three
FIRST_TASK_PORT = 20000
DELAY_SEED_OFFSET = 7  # gives the network another random sequence than the day


class AssignerProcess(Protocol):
    """Process of one assigner, as its clients and peers may use it.

    Attributes:
        number: Index of the assigner.
        simulation: Simulation that the process belongs to.
        service: The assigner; None while it is down.
        stalled_until_us: End of the current stall, in microseconds.
    """

    number: int
    simulation: Simulation
    service: Service | None
    stalled_until_us: int

    def defer_if_stalled(self, call: Callable, *arguments: object) -> bool:
        """Return whether the process is stalled; if so, run `call` when the stall is over."""

    def report(self, source: str, metric_points: list[MetricPoint]) -> None:
        """Handle a load report."""

    def receive_datagram(self, address: str, raw: bytes) -> None:
        """Handle a datagram from a peer."""


class Simulation:
    """Shared state of one simulated day.

    Attributes:
        rng: Random generator of the network's delays and losses.
        tasks_by_key: Tasks, by the address that they listen at.
        processes: Processes of the assigners, by number.
        peers: Processes of the assigners, by the address at which their peers reach them.
        peers_cut: (sender, receiver) pairs of assigners between which all datagrams are dropped.
        peers_lost: Fraction of the other datagrams that is lost.
        status: Last status of each assigner that was killed or has ended.
        addresses: [host, port] of each assigner, by protocol.
    """

    def __init__(self, scenario: Scenario, policy: str, seed: int, ties: int | None) -> None:
        self.scenario = scenario
        self.policy = policy
        self.seed = seed
        self.world = VirtualWorld(ties)
        self.record = Recorder(None, self.world.now)
        self.rng = Random(seed + DELAY_SEED_OFFSET)
        self.net = scenario.net
        self.network = Network(self.world, lambda: self.delay_s(self.net.orders_ms))
        self.tasks_by_key: dict[str, Task] = {}
        self.last_task_port = FIRST_TASK_PORT
        self.log = ErrorLog()
        self.status: list[dict] = []
        self.processes: Sequence[AssignerProcess] = ()
        self.peers: dict[str, AssignerProcess] = {}
        self.peers_cut: set[tuple[int, int]] = set()
        self.peers_lost = 0.0
        self.addresses = {
            "sasp": self._addresses(SASP_PORT),
            "otlp": self._addresses(OTLP_PORT),
            "clone": self._addresses(CHP_PORT),
        }

    def _addresses(self, offset: int) -> list[list]:
        count = self.scenario.config.assigner.assigners
        return [["127.0.0.1", self.first_port(number) + offset] for number in range(count)]

    @staticmethod
    def first_port(number: int) -> int:
        """Return the first of an assigner's ports."""
        return FIRST_ASSIGNER_PORT + PORTS_PER_ASSIGNER * number

    def peer_address(self, number: int) -> str:
        """Return the address at which an assigner's peers reach it."""
        return f"127.0.0.1:{self.first_port(number) + PEER_PORT}"

    def delay_s(self, mean_ms: float) -> float:
        """Draw one network delay in seconds, varied by the scenario's jitter."""
        return mean_ms / 1e3 * (1 + self.net.jitter * (2 * self.rng.random() - 1))


class ErrorLog:
    """Logger that keeps errors, because they fail the day, and drops everything else."""

    def __init__(self) -> None:
        self.errors: list[str] = []

    def info(self, event: str, **fields: object) -> None:
        """Drop the event."""

    debug = warning = info

    def error(self, event: str, **fields: object) -> None:
        """Store the event with its error."""
        self.errors.append(f"{event}: {fields.get('error', '')}")
