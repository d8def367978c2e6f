"""Fair shares of the sources of reports over sockets, and the measurement of a flood."""

import http.client

import gevent
from gevent import socket
from service_rig import attempts_point

from hollyridge.lab.experiments.flood import flood
from hollyridge.otlp.sender import build_export_request, post


def test_a_flood_over_sockets_does_not_limit_a_light_source(rig):
    assigner_rig = rig(otlp__points_per_s=60, assigner__report_period_s=30)
    assigner_rig.agent()
    statuses = {"quiet": [], "loud": []}

    def send_reports(sender, address, count, gap_s):
        for request_index in range(count):
            connection = http.client.HTTPConnection(
                "127.0.0.1", assigner_rig.otlp, timeout=5, source_address=(address, 0)
            )
            connection._create_connection = socket.create_connection
            figures = [
                attempts_point(
                    assigner_rig, start_s=request_index * 50 + figure_index, end=request_index * 50 + figure_index + 1
                )
                for figure_index in range(40 if sender == "loud" else 2)
            ]
            statuses[sender].append(post(connection, build_export_request(f"{sender}-{request_index % 3}", figures))[0])
            connection.close()
            gevent.sleep(gap_s)

    senders = [
        gevent.spawn(send_reports, "loud", "127.0.0.7", 60, 0.02),
        gevent.spawn(send_reports, "quiet", "127.0.0.8", 12, 0.2),
    ]
    gevent.joinall(senders, timeout=30, raise_error=True)
    assert set(statuses["quiet"]) == {200}
    assert statuses["loud"].count(429) > 30
    status = assigner_rig.service.metrics_server.status()
    assert status["senders"] == 2
    assert status["slowed"] == statuses["loud"].count(429)


def test_a_small_flood_is_measured():
    result = flood(900.0, 4.0, 300.0, tasks=9)
    assert result["shed"] > 0 < result["kept"]
    assert result["kept"] + result["shed"] == result["sent"]
    assert result["quiet_kept"] / result["quiet_sent"] > result["kept"] / result["sent"]
    assert result["decision_p99_ms"] > 0
    assert 0 <= result["weight_distance"] < 0.5
