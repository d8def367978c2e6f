"""Decoder of discovery's JSON into typed watch events, with an error message for each fault. No I/O."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from hollyridge.errors import HollyridgeError
from hollyridge.interface import TaskState

STATES = {"in_service": TaskState.READY, "terminating": TaskState.DRAINING, "terminated": TaskState.GONE}
MAX_ENDPOINTS = 20_000  # entries of one event; bounds the memory that one line can take up
MAX_ERROR_CHARS = 200  # length of the decoder's message, which may quote the input
MAX_QUOTED_CHARS = 40  # length of an invalid value in an error message


class EndpointListError(HollyridgeError):
    """The input is not a valid event of the endpoint list; the text of the error names the fault."""


class EndpointEntry(msgspec.Struct):
    """One endpoint in the wire format, which has the same field names."""

    id: Annotated[str, Meta(min_length=1, max_length=200, pattern=r"\A[^,:+\s]+\Z")]
    zone: str
    state: str
    kind: str = ""
    cell: Annotated[int, Meta(ge=0)] = 0
    weight: Annotated[float, Meta(ge=0, le=1e9)] = 1.0
    started_ms: Annotated[float, Meta(ge=0, le=1e14)] = 0.0


class EndpointPage(msgspec.Struct):
    """One event in the wire format: the complete list or a change to it. The wire format has the same field names."""

    version: Annotated[int, Meta(ge=0, le=1 << 60)]
    full: bool
    servers: Annotated[list[EndpointEntry], Meta(max_length=MAX_ENDPOINTS)]


class ListedEndpoint(NamedTuple):
    """An endpoint as discovery lists it, with state and zone resolved.

    Attributes:
        name: Discovery's identifier of the task.
        zone: Index of the zone.
        cell: Index of the cell within the zone.
        state: State of the task: in use, draining or gone.
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
    """A complete endpoint list (`full`) or a change to one, with the version of the resulting list."""

    version: int
    full: bool
    entries: tuple[ListedEndpoint, ...]


def read(raw: bytes | EndpointPage, zones: dict[str, int]) -> WatchEvent:
    """Decode and validate one event.

    >>> read(b'{"version":2,"full":false,"servers":[{"id":"s-1","zone":"a","state":"gone"}]}', {"a": 0})
    Traceback (most recent call last):
    hollyridge.discovery.schema.EndpointListError: endpoint s-1 has an unknown state: gone

    Args:
        raw: JSON, or an already decoded page.
        zones: Zone indices by name.

    Raises:
        EndpointListError: The JSON is invalid, or a state or zone is unknown.
    """
    page = raw if isinstance(raw, EndpointPage) else decode_page(raw)
    entries = tuple(resolve_entry(entry, zones) for entry in page.servers)
    return WatchEvent(page.version, page.full, entries)


def decode_page(raw: bytes) -> EndpointPage:
    """Decode JSON; raise EndpointListError with the decoder's message if it is invalid."""
    try:
        return msgspec.json.decode(raw, type=EndpointPage)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        raise EndpointListError(str(error)[:MAX_ERROR_CHARS]) from None


def resolve_entry(entry: EndpointEntry, zones: dict[str, int]) -> ListedEndpoint:
    """Resolve the names of state and zone; raise EndpointListError for unknown ones."""
    state = STATES.get(entry.state)
    if state is None:
        raise EndpointListError(f"endpoint {entry.id} has an unknown state: {entry.state[:MAX_QUOTED_CHARS]}")
    zone = zones.get(entry.zone)
    if zone is None:
        raise EndpointListError(f"endpoint {entry.id} has an unknown zone: {entry.zone[:MAX_QUOTED_CHARS]}")
    return ListedEndpoint(entry.id, zone, entry.cell, state, entry.weight, entry.started_ms)
