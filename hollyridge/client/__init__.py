"""Client library for proxies, with one interface for both protocols.

`SaspGateway` and `ChpGateway` receive the tables of a proxy by SASP and CHP. `Reporter` sends load reports.
"""

from hollyridge.client.chp import ChpGateway
from hollyridge.client.gateway import Gateway, GatewayState
from hollyridge.client.reporting import Reporter
from hollyridge.client.sasp import SaspGateway

__all__ = ["ChpGateway", "Gateway", "GatewayState", "Reporter", "SaspGateway"]
