"""The client library: one surface, two protocols. `SaspGateway` and `CloneGateway` hold the same tables, and
`Reporter` says what was met."""

from hollyridge.client.clone import CloneGateway
from hollyridge.client.reporting import Reporter
from hollyridge.client.sasp import SaspGateway
from hollyridge.client.surface import Gateway, State

__all__ = ["CloneGateway", "Gateway", "Reporter", "SaspGateway", "State"]
