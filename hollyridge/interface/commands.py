"""What an assigner commands: table lines, bindings, admission, acknowledgements, timers.

A table is a numbered set of weighted tasks that any number of proxies can share.
"""

from __future__ import annotations

from typing import NamedTuple, Union


class RefreshEndpoints(NamedTuple):
    """Ask discovery for the whole endpoint list."""


class SetEjected(NamedTuple):
    """Shut a task out at all proxies, or let it back in, whatever their tables say."""

    task: int
    ejected: bool


class LogNote(NamedTuple):
    """A line for the log."""

    text: str


class Probe(NamedTuple):
    """Ask for a health check of a task."""

    task: int


class SendToPeer(NamedTuple):
    """Bytes to another assigner."""

    peer: int
    payload: bytes


class WatchEndpoints(NamedTuple):
    """Watch the endpoint list, or stop watching it."""

    on: bool


class SetAdmission(NamedTuple):
    """How much of the methods in a mask (0: all methods) a table admits, and how its proxies retry."""

    table: int
    methods: int
    amount: float
    retry_mode: int


class RequestAck(NamedTuple):
    """Ask the proxies that this batch of commands reaches, or all, to acknowledge a mark."""

    mark: int
    from_all: bool


class BindTable(NamedTuple):
    """Have a proxy use a table for the methods in a mask (0: all methods)."""

    proxy: int
    table: int
    methods: int


class SetTimer(NamedTuple):
    """Ask for a `TimerFired` with this token."""

    token: int
    delay_us: int


class SetWeight(NamedTuple):
    """Set one line of a table; weight 0 takes the task out."""

    weight: float
    task: int
    table: int


class DeleteTable(NamedTuple):
    """Take all lines out of a table."""

    table: int


Command = Union[
    RefreshEndpoints,
    SetEjected,
    LogNote,
    Probe,
    SendToPeer,
    WatchEndpoints,
    SetAdmission,
    RequestAck,
    BindTable,
    SetTimer,
    SetWeight,
    DeleteTable,
]
