"""The client library: one surface, two protocols. `SaspGateway` and `CloneGateway` hold the same tables, and
`Reporter` says what was met."""

from hollyridge.client.chp import CloneGateway
from hollyridge.client.gateway import Gateway, State
from hollyridge.client.reporting import Reporter
from hollyridge.client.sasp import SaspGateway

__all__ = ["CloneGateway", "Gateway", "Reporter", "SaspGateway", "State"]
