"""Decodes discovery's JSON into typed watch events and names each fault. No I/O."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from hollyridge.errors import HollyridgeError
from hollyridge.interface import TaskState

STATES = {"in_service": TaskState.READY, "terminating": TaskState.DRAINING, "terminated": TaskState.GONE}
MAX_ENDPOINTS = 20_000  # entries of one event; bounds the memory that one line can claim
MAX_ERROR_CHARS = 200  # of the decoder's message, which may quote the input
MAX_QUOTED_CHARS = 40  # of a faulty value in an error message


class EndpointListError(HollyridgeError):
    """The input is not a valid event of the endpoint list; the message names the fault."""


class EndpointEntry(msgspec.Struct):
    """One endpoint on the wire; the field names are the wire's."""

    id: Annotated[str, Meta(min_length=1, max_length=200, pattern=r"\A[^,:+\s]+\Z")]
    zone: str
    state: str
    kind: str = ""
    cell: Annotated[int, Meta(ge=0)] = 0
    weight: Annotated[float, Meta(ge=0, le=1e9)] = 1.0
    started_ms: Annotated[float, Meta(ge=0, le=1e14)] = 0.0


class EndpointPage(msgspec.Struct):
    """One event on the wire, the complete list or a change to it; the field names are the wire's."""

    version: Annotated[int, Meta(ge=0, le=1 << 60)]
    full: bool
    servers: Annotated[list[EndpointEntry], Meta(max_length=MAX_ENDPOINTS)]


class ListedEndpoint(NamedTuple):
    """An endpoint as discovery lists it, with state and zone resolved.

    Attributes:
        name: Discovery's identifier of the task.
        zone: Index of the zone.
        cell: Index of the cell within the zone.
        state: Whether it may be used, drains, or has left.
        weight: Relative capacity as listed.
        started_ms: Last start in Unix milliseconds; 0 if unknown.
    """

    name: str
    zone: int
    cell: int
    state: TaskState
    weight: float
    started_ms: float


class WatchEvent(NamedTuple):
    """A complete endpoint list (`full`) or a change to one, with the version that it leads to."""

    version: int
    full: bool
    entries: tuple[ListedEndpoint, ...]


def read(raw: bytes | EndpointPage, zones: dict[str, int]) -> WatchEvent:
    """Decode and validate one event.

    >>> read(b'{"version":2,"full":false,"servers":[{"id":"s-1","zone":"a","state":"gone"}]}', {"a": 0})
    Traceback (most recent call last):
    hollyridge.discovery.schema.EndpointListError: s-1 has no known state: gone

    Args:
        raw: JSON, or a page that is decoded already.
        zones: Zone indices by name.

    Raises:
        EndpointListError: The JSON, a state or a zone is not valid.
    """
    page = raw if isinstance(raw, EndpointPage) else decode_page(raw)
    entries = tuple(resolve_entry(entry, zones) for entry in page.servers)
    return WatchEvent(page.version, page.full, entries)


def decode_page(raw: bytes) -> EndpointPage:
    """Decode JSON; raises EndpointListError with the decoder's message."""
    try:
        return msgspec.json.decode(raw, type=EndpointPage)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        raise EndpointListError(str(error)[:MAX_ERROR_CHARS]) from None


def resolve_entry(entry: EndpointEntry, zones: dict[str, int]) -> ListedEndpoint:
    """Replace the names of state and zone by what they stand for; raises EndpointListError for unknown ones."""
    state = STATES.get(entry.state)
    if state is None:
        raise EndpointListError(f"{entry.id} has no known state: {entry.state[:MAX_QUOTED_CHARS]}")
    zone = zones.get(entry.zone)
    if zone is None:
        raise EndpointListError(f"{entry.id} has no known zone: {entry.zone[:MAX_QUOTED_CHARS]}")
    return ListedEndpoint(entry.id, zone, entry.cell, state, entry.weight, entry.started_ms)
