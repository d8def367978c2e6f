"""The interface between the engine and a protocol server, the server side of one protocol to the proxies."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from hollyridge.delivery.update_builder import ProxyUpdate, ServerCapabilities


class UpdateSize(NamedTuple):
    """The size of an update, without message overhead.

    Attributes:
        lines: Lines that the update changes at its proxy.
        full_lines: Lines that it would have if it contained its tables in full.
    """

    lines: int
    full_lines: int


class ProtocolServer(Protocol):
    """Writer of updates to the proxies that use its protocol.

    Attributes:
        capabilities: The kinds of commands that the protocol supports.
    """

    capabilities: ServerCapabilities

    def count_lines(self, proxy: int, update: ProxyUpdate) -> UpdateSize | tuple[int, int]:
        """Return the size of an update that waits, as an `UpdateSize` or a pair of the same values."""

    def write(self, proxy: int, update: ProxyUpdate) -> None:
        """Send an update without blocking. For a slow reader the server merges updates and bounds their number."""

    def detach(self, proxy: int, reason: str) -> None:
        """Close the proxy's stream."""

    def redirect(self, proxy: int, assigner: str, reason: str) -> None:
        """Close the proxy's stream and redirect it to an assigner, or to any that responds if the name is empty."""
