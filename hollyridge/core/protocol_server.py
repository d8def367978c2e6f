"""What the core asks of a front, the service side of one protocol. The core never asks which one it is."""

from __future__ import annotations

from typing import Protocol

from hollyridge.delivery.update_builder import ProxyUpdate, ServerCapabilities


class ProtocolServer(Protocol):
    capabilities: ServerCapabilities

    def count_lines(self, proxy: int, update: ProxyUpdate) -> tuple[int, int]:
        """How many lines this message comes to at this proxy, its head left out; and how many with all its tables
        in full."""

    def write(self, proxy: int, update: ProxyUpdate) -> None:
        """Send it; must not block. What a slow reader holds up is merged and bounded by the front."""

    def detach(self, proxy: int, why: str) -> None:
        """Close the proxy's stream."""

    def redirect(self, proxy: int, to: str, why: str) -> None:
        """Close it, and say which member of the fleet should be asked; empty if whoever answers."""
