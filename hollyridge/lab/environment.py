"""What a day needs of the environment that it is played in: live on real sockets, or simulated."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any, Protocol

from hollyridge.errors import HollyridgeError


class DayError(HollyridgeError):
    """The day could not be played; says why."""


class Result(Protocol):
    """A value that is set once, by another greenlet."""

    def set(self, value: Any = None) -> None:  # noqa: ANN401 - whatever the waiter expects
        """Set the value and wake who waits for it."""

    def get(self, block: bool = True, timeout: float | None = None) -> Any:  # noqa: ANN401 - what was set
        """Wait for the value; TimeoutError after `timeout` seconds."""


class World(Protocol):
    """Time and waiting."""

    def now(self) -> int:
        """Monotonic time (us)."""

    def sleep(self, seconds: float) -> None:
        """Let the greenlet sleep."""

    def spawn(self, call: Callable, *arguments: object) -> object:
        """Run `call` in a greenlet of its own."""

    def spawn_later(self, seconds: float, call: Callable, *arguments: object) -> None:
        """Run `call` in a greenlet of its own after a while."""

    def result(self) -> Result:
        """A value to wait for."""

    def semaphore(self, count: int) -> AbstractContextManager:
        """A semaphore; waiters are served in the order they came."""


class Worker(Protocol):
    """Runs stand-ins."""

    def execute(self, command: str, **arguments: object) -> None:
        """Carry out a command (see `CommandHandler`)."""


class Environment(Protocol):
    """Where a day is played.

    Attributes:
        record: Writes a record: `record(kind, key=value, ...)`.
        addresses: Of the assigners, by protocol and number.
        failures: What makes the day's result worthless, once it has ended.
    """

    world: World
    record: Callable[..., None]
    addresses: dict[str, list[list]]
    failures: list[str]

    def start_worker(self, name: str, on_message: Callable[[dict], None]) -> Worker:
        """What runs stand-ins; `on_message` takes what it has to tell."""

    def agent(self, number: int) -> Any:  # noqa: ANN401 - the live or the simulated agent
        """The agent that registers tasks with one assigner."""

    def wait_for_sync(self, agent: Any) -> None:  # noqa: ANN401 - see `agent`
        """Wait until an agent has registered the first tasks."""

    def start_assigner(self, number: int) -> None:
        """Start one assigner."""

    def kill_assigner(self, number: int) -> None:
        """Kill one assigner."""

    def stall_assigner(self, number: int, seconds: float) -> None:
        """Give one assigner no turn for a while; its sockets stay open."""

    def cut_peers(self, pairs: set[tuple[int, int]], lost: float) -> None:
        """Pass no datagram from the first to the second of these assigners, and lose this fraction of the others."""

    def play(self, day: Any) -> int:  # noqa: ANN401 - a `Day`, which depends on this module
        """Let the day pass; returns when it began (us)."""

    def recorded(self) -> list[dict]:
        """All records of the day, by time."""

    def end(self) -> None:
        """Stop whatever still runs."""
