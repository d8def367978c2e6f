"""Ports of the fleet fixture."""

import socket

import assigner_fleet
import pytest
from assigner_fleet import AssignerFleet

DISTINCT_PORTS = [(10, 11, 20), (12, 13, 30)]


@pytest.mark.parametrize(
    "overlapping_ports",
    [
        [(10, 11, 20), (10, 13, 30)],  # SASP port twice
        [(10, 11, 20), (12, 11, 30)],  # OTLP port twice
        [(10, 10, 20), (12, 13, 30)],  # SASP and OTLP port of one assigner
        [(10, 11, 20), (12, 13, 22)],  # last CHP port is the first CHP port of the other assigner
        [(10, 11, 20), (22, 13, 30)],  # last CHP port is the SASP port of the other assigner
        [(10, 31, 20), (12, 13, 30)],  # OTLP port is the middle CHP port of the other assigner
    ],
)
def test_fleet_draws_again_while_tcp_ports_overlap(monkeypatch, tmp_path, overlapping_ports):
    """Guard against `Address already in use` when two assigners draw the same port, which no draw holds."""
    draws = [*overlapping_ports, *overlapping_ports, *DISTINCT_PORTS]  # SASP, OTLP and first CHP port of an assigner
    tcp_ports = iter([port for sasp, otlp, _ in draws for port in (sasp, otlp)])
    chp_ports = iter([chp for _, _, chp in draws])
    monkeypatch.setattr(
        assigner_fleet,
        "free_port",
        lambda kind=socket.SOCK_STREAM: 99 if kind == socket.SOCK_DGRAM else next(tcp_ports),
    )
    monkeypatch.setattr(assigner_fleet, "free_ports", lambda count: next(chp_ports))
    monkeypatch.setattr(AssignerFleet, "start", lambda self, number: None)
    assert [ports[:3] for ports in AssignerFleet(tmp_path, count=2).ports] == DISTINCT_PORTS
