"""Configuration of the SASP server."""

from __future__ import annotations

from typing import NamedTuple


class SaspConfig(NamedTuple):
    """Settings of the SASP server.

    Attributes:
        host: Address to listen on.
        port: Port to listen on, 0 for any free port.
        fleet: UID under which members and agents register.
        members_group: Group in which members and agents register.
        groups: Index of the method whose table a group shows, by group name.
        balancers_register: Whether load balancers may register members.
        max_message_bytes: Maximum length of a received frame, in bytes.
        send_buffer_bytes: Size of a socket's send buffer, in bytes.
        frame_timeout_s: Time within which a frame has to be complete after its first byte, in seconds.
        hello_timeout_s: Time within which a new connection has to identify itself, in seconds.
        max_members_per_request: Maximum number of members in one registration.
        default_rate: Load assumed for a proxy until reports show its actual load, in RPCs per second.
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
