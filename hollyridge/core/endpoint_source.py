"""The protocol between the engine and what maintains the endpoint list: the member registry or service discovery."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from hollyridge.interface import EndpointListUpdate, UpdateKind
from hollyridge.registration.members import RegistrationOutcome


class EndpointSource(Protocol):
    """Maintains the endpoint list.

    Attributes:
        settled: There is a first list to hand on; until then nothing is decided.
        entries: The listed tasks by the key that the source names them by.
    """

    settled: bool
    entries: Mapping

    def handle(self, now_us: int, event: object) -> RegistrationOutcome:
        """Take an event of the source's own kind, or `members.RefreshRequested` or `members.Tick`."""

    def full_list(self, kind: UpdateKind) -> EndpointListUpdate:
        """The whole list as it stands."""

    def next_deadline(self, now_us: int) -> int | None:
        """When the next `members.Tick` is due; None for not at all."""

    def counters(self) -> dict[str, int]:
        """Counts for the status page."""
