"""The interface between the engine and the endpoint list: the member registry or service discovery implements it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from hollyridge.interface import EndpointListUpdate, UpdateKind
from hollyridge.registration.members import RegistrationOutcome


class EndpointSource(Protocol):
    """Maintainer of the endpoint list.

    Attributes:
        settled: Whether the first list is complete. The engine decides nothing before.
        entries: The listed tasks by the source's own key.
    """

    settled: bool
    entries: Mapping

    def handle(self, now_us: int, event: object) -> RegistrationOutcome:
        """Process an event of the source's own kind, `members.RefreshRequested` or `members.Tick`."""

    def full_list(self, kind: UpdateKind) -> EndpointListUpdate:
        """Return the whole list."""

    def next_deadline(self, now_us: int) -> int | None:
        """Return the time at which the next `members.Tick` is due, or None if none is."""

    def counters(self) -> dict[str, int]:
        """Return counts for the status page."""
