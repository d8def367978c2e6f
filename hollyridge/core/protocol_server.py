"""What the engine asks of a protocol server, the service side of one protocol; it never asks which protocol that is."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from hollyridge.delivery.update_builder import ProxyUpdate, ServerCapabilities


class UpdateSize(NamedTuple):
    """Lines of an update at its proxy, message overhead left out; and as many if all its tables went out in full."""

    lines: int
    full_lines: int


class ProtocolServer(Protocol):
    """Writes updates to the proxies that speak its protocol.

    Attributes:
        capabilities: Which commands the protocol can carry.
    """

    capabilities: ServerCapabilities

    def count_lines(self, proxy: int, update: ProxyUpdate) -> UpdateSize | tuple[int, int]:
        """The size of an update that waits; a plain pair will do."""

    def write(self, proxy: int, update: ProxyUpdate) -> None:
        """Send an update without blocking; the server merges and bounds what a slow reader holds up."""

    def detach(self, proxy: int, why: str) -> None:
        """Close the proxy's stream."""

    def redirect(self, proxy: int, to: str, why: str) -> None:
        """Close the proxy's stream and name the assigner that it should join; empty for any that answers."""
