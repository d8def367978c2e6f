"""Discovery's JSON to typed lists, each fault named. No I/O."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from hollyridge.interface import TaskState

STATES = {"in_service": TaskState.READY, "terminating": TaskState.DRAINING, "terminated": TaskState.GONE}
TASKS_MOST = 20_000


class EndpointListError(Exception):
    """What came in is no list of tasks."""


class EndpointEntry(msgspec.Struct):
    """One entry as discovery writes it."""

    id: Annotated[str, Meta(min_length=1, max_length=200, pattern=r"\A[^,:+\s]+\Z")]
    zone: str
    state: str
    kind: str = ""
    cell: Annotated[int, Meta(ge=0)] = 0
    weight: Annotated[float, Meta(ge=0, le=1e9)] = 1.0
    started_ms: Annotated[float, Meta(ge=0, le=1e14)] = 0.0


class EndpointPage(msgspec.Struct):
    """What discovery tells at once."""

    version: Annotated[int, Meta(ge=0, le=1 << 60)]
    full: bool
    servers: Annotated[list[EndpointEntry], Meta(max_length=TASKS_MOST)]


class ListedEndpoint(NamedTuple):
    """A task as it is listed: outer name, zone by index, last start in Unix milliseconds."""

    name: str
    zone: int
    cell: int
    state: TaskState
    weight: float
    started_ms: float


class WatchEvent(NamedTuple):
    version: int
    full: bool
    entries: tuple[ListedEndpoint, ...]


def read(raw: bytes | EndpointPage, zones: dict[str, int]) -> WatchEvent:
    """One list or change. RosterError names what is wrong with it.

    >>> read(b'{"version":2,"full":false,"servers":[{"id":"s-1","zone":"a","state":"gone"}]}', {"a": 0})
    Traceback (most recent call last):
    hollyridge.discovery.schema.EndpointListError: s-1 has no known state: gone
    """
    if isinstance(raw, EndpointPage):
        page = raw
    else:
        try:
            page = msgspec.json.decode(raw, type=EndpointPage)
        except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError) as trouble:
            raise EndpointListError(str(trouble)[:200]) from None
    entries = []
    for row in page.servers:
        state, zone = STATES.get(row.state), zones.get(row.zone)
        if state is None:
            raise EndpointListError(f"{row.id} has no known state: {row.state[:40]}")
        if zone is None:
            raise EndpointListError(f"{row.id} has no known zone: {row.zone[:40]}")
        entries.append(ListedEndpoint(row.id, zone, row.cell, state, row.weight, row.started_ms))
    return WatchEvent(page.version, page.full, tuple(entries))
