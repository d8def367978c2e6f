"""Commands of an assigner: table lines, bindings, admission levels, requests for acknowledgements, timers.

A table is a numbered set of weighted tasks that any number of proxies can share.
"""

from __future__ import annotations

from typing import NamedTuple, Union


class RefreshEndpoints(NamedTuple):
    """Request for the whole endpoint list from discovery."""


class SetEjected(NamedTuple):
    """Ejection of a task at all proxies, or the end of its ejection, independent of their tables."""

    task: int
    ejected: bool


class LogNote(NamedTuple):
    """A line for the log."""

    text: str


class Probe(NamedTuple):
    """Request for a health check of a task."""

    task: int


class SendToPeer(NamedTuple):
    """Message to another assigner."""

    peer: int
    payload: bytes


class WatchEndpoints(NamedTuple):
    """Start or end of a watch on the endpoint list."""

    on: bool


class SetAdmission(NamedTuple):
    """Admission level and retry mode of a table for the methods in a mask (0: all methods)."""

    table: int
    methods: int
    amount: float
    retry_mode: int


class RequestAck(NamedTuple):
    """Request to acknowledge a mark, for the recipients of this batch of commands or for all proxies."""

    mark: int
    from_all: bool


class BindTable(NamedTuple):
    """Binding of a proxy to a table for the methods in a mask (0: all methods)."""

    proxy: int
    table: int
    methods: int


class SetTimer(NamedTuple):
    """Request for a `TimerFired` event with this token after a delay."""

    token: int
    delay_us: int


class SetWeight(NamedTuple):
    """New weight of one line of a table; weight 0 removes the line."""

    weight: float
    task: int
    table: int


class DeleteTable(NamedTuple):
    """Removal of all lines of a table."""

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
