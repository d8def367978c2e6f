"""The fair share of sources of reports over sockets, and the measured flood."""

import http.client

import gevent
from gevent import socket
from service_rig import tries

from hollyridge.lab.experiments.flood import flood
from hollyridge.otlp.sender import post, request_of


def test_a_flood_over_sockets_does_not_limit_a_light_source(rig):
    r = rig(otlp__points_per_s=60, assigner__report_period_s=30)
    r.agent()
    seen = {"quiet": [], "loud": []}

    def say(who, source, times, gap):
        for k in range(times):
            line = http.client.HTTPConnection("127.0.0.1", r.otlp, timeout=5, source_address=(source, 0))
            line._create_connection = socket.create_connection
            figures = [tries(r, begun=k * 50 + j, end=k * 50 + j + 1) for j in range(40 if who == "loud" else 2)]
            seen[who].append(post(line, request_of(f"{who}-{k % 3}", figures))[0])
            line.close()
            gevent.sleep(gap)

    jobs = [gevent.spawn(say, "loud", "127.0.0.7", 60, 0.02), gevent.spawn(say, "quiet", "127.0.0.8", 12, 0.2)]
    gevent.joinall(jobs, timeout=30, raise_error=True)
    assert set(seen["quiet"]) == {200}
    assert seen["loud"].count(429) > 30
    status = r.service.metrics_server.status()
    assert status["senders"] == 2
    assert status["slowed"] == seen["loud"].count(429)


def test_a_small_flood_is_measured():
    told = flood(900.0, 4.0, 300.0, tasks=9)
    assert told["shed"] > 0 < told["kept"]
    assert told["kept"] + told["shed"] == told["sent"]
    assert told["quiet_kept"] / told["quiet_sent"] > told["kept"] / told["sent"]
    assert told["decision_p99_ms"] > 0
    assert 0 <= told["weight_distance"] < 0.5
