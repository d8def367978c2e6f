"""The client library: one surface, two protocols.

`SaspGateway` and `ChpGateway` hold the same tables, `Reporter` sends load reports.
"""

from hollyridge.client.chp import ChpGateway
from hollyridge.client.gateway import Gateway, GatewayState
from hollyridge.client.reporting import Reporter
from hollyridge.client.sasp import SaspGateway

__all__ = ["ChpGateway", "Gateway", "GatewayState", "Reporter", "SaspGateway"]
