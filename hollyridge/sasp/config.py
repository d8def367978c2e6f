"""What the SASP server is configured with."""

from __future__ import annotations

from typing import NamedTuple


class SaspConfig(NamedTuple):
    """Configuration of the SASP server.

    Attributes:
        host: Address to listen on.
        port: Port to listen on, 0 for any.
        fleet: The UID under which members and agents register.
        members_group: The group in which they register.
        groups: The method whose table a group shows, by group name.
        balancers_register: Whether load balancers may register members.
        max_message_bytes: Longest frame that is read.
        send_buffer_bytes: Size of a socket's send buffer.
        frame_timeout_s: How long a frame that has begun may take.
        hello_timeout_s: How long a new connection may leave open who it is.
        max_members_per_request: Members in one registration.
        default_rate: RPCs a second taken for a proxy until reports tell.
    """

    host: str
    port: int
    fleet: str
    members_group: str
    groups: dict[str, int]
    balancers_register: bool
    max_message_bytes: int
    send_buffer_bytes: int
    frame_timeout_s: float
    hello_timeout_s: float
    max_members_per_request: int
    default_rate: float
