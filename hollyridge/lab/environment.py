"""Interface of the environments in which a day is played: live on real sockets, or simulated."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any, Protocol

from hollyridge.errors import HollyridgeError


class DayError(HollyridgeError):
    """Error that prevents a day from being played; the message states the reason."""


class Result(Protocol):
    """Result that another greenlet sets once."""

    def set(self, value: Any = None) -> None:  # noqa: ANN401 - any value that the waiter expects
        """Set the value and resume the waiting greenlets."""

    def get(self, block: bool = True, timeout: float | None = None) -> Any:  # noqa: ANN401 - any value may be set
        """Wait for the value and return it; raise TimeoutError after `timeout` seconds."""


class World(Protocol):
    """Clock and scheduler."""

    def now(self) -> int:
        """Return the monotonic time in microseconds."""

    def sleep(self, seconds: float) -> None:
        """Suspend the greenlet."""

    def spawn(self, call: Callable, *arguments: object) -> object:
        """Run `call` in its own greenlet."""

    def spawn_later(self, seconds: float, call: Callable, *arguments: object) -> None:
        """Run `call` in its own greenlet after a delay."""

    def result(self) -> Result:
        """Return a result that greenlets can wait for."""

    def semaphore(self, count: int) -> AbstractContextManager:
        """Return a semaphore that serves its waiters in the order of their arrival."""


class Worker(Protocol):
    """Runner of stand-ins."""

    def execute(self, command: str, **arguments: object) -> None:
        """Execute a command (see `CommandHandler`)."""


class Environment(Protocol):
    """Environment that plays a day.

    Attributes:
        world: Clock and scheduler.
        record: Function that writes a record: `record(kind, key=value, ...)`.
        addresses: [host, port] of each assigner, by protocol.
        failures: Failures that invalidate the day's result, complete once it has ended.
    """

    world: World
    record: Callable[..., None]
    addresses: dict[str, list[list]]
    failures: list[str]

    def start_worker(self, name: str, on_message: Callable[[dict], None]) -> Worker:
        """Start a runner of stand-ins; `on_message` is called with each message from it."""

    def agent(self, number: int) -> Any:  # noqa: ANN401 - the live or the simulated agent
        """Start the agent that registers tasks with one assigner."""

    def wait_for_sync(self, agent: Any) -> None:  # noqa: ANN401 - see `agent`
        """Wait until an agent has registered the initial tasks."""

    def start_assigner(self, number: int) -> None:
        """Start one assigner."""

    def kill_assigner(self, number: int) -> None:
        """Kill one assigner."""

    def stall_assigner(self, number: int, seconds: float) -> None:
        """Stall one assigner for this time; its sockets stay open."""

    def cut_peers(self, pairs: set[tuple[int, int]], lost: float) -> None:
        """Drop datagrams between these (sender, receiver) pairs, and the fraction `lost` of all others."""

    def play(self, day: Any) -> int:  # noqa: ANN401 - a `Day`, which depends on this module
        """Play the day and return its start, in microseconds."""

    def recorded(self) -> list[dict]:
        """Return all records of the day, in order of time."""

    def end(self) -> None:
        """Stop everything that still runs."""
