"""A whole assigner on loopback sockets: reports over OTLP, and what comes by HTTP otherwise."""

import gc
import gzip
import json
import os
import weakref

import gevent
import pytest
from service_rig import Rig, tries, wait_for

from hollyridge.lab.stand_ins.ports import free_ports

REPORTS = [
    # figures, how many are rejected, tries counted
    (lambda r: [tries(r)], 0, 10),
    (lambda r: [tries(r, zone="nowhere"), tries(r)], 1, 10),
    (lambda r: [tries(r, task="127.1.0.77:9000"), tries(r, task="no address")], 2, 0),
    (lambda r: [tries(r, method="no-such")], 1, 0),
    (lambda r: [tries(r, value=float("nan")), tries(r, value=-3.0), tries(r, end=0.0)], 3, 0),
    (lambda r: [tries(r)._replace(name="something.else"), tries(r)], 1, 10),
    (lambda r: [tries(r)._replace(start_ns=None)], 1, 0),
]


@pytest.mark.parametrize(("figures", "rejected", "counted"), REPORTS)
@pytest.mark.parametrize("packed", [True, False])
def test_reports(rig, figures, rejected, counted, packed):
    r = rig(assigner__report_period_s=30)
    r.agent()
    for _turn in range(2):  # said again after a lost answer: a success, counted once
        status, answer = r.report(figures(r), packed=packed)
        assert status == 200
        assert answer.partial_success.rejected_data_points == rejected
        assert bool(answer.partial_success.error_message) == bool(rejected)
    assert sum(e.attempts for e in r.engine.reports.collect(0) if hasattr(e, "attempts")) == counted


def test_bad_http(rig):
    r = rig(otlp__body_most_bytes=20000, otlp__body_s=0.5)
    kind, bomb = "application/x-protobuf", gzip.compress(b"\0" * 10_000_000)
    cases = [
        ("POST", "/v1/metrics", b"\xff\xff\xff", dict(Content_Type=kind), 400),
        ("POST", "/v1/metrics", b"{", dict(Content_Type="application/json"), 400),
        ("POST", "/v1/metrics", b"", dict(Content_Type="text/plain"), 415),
        ("POST", "/v1/traces", b"", dict(Content_Type=kind), 404),
        ("GET", "/v1/metrics", b"", {}, 405),
        ("POST", "/v1/metrics", b"x" * 20001, dict(Content_Type=kind), 413),
        ("POST", "/v1/metrics", bomb, dict(Content_Type=kind, Content_Encoding="gzip"), 413),
        ("POST", "/v1/metrics", b"no gzip", dict(Content_Type=kind, Content_Encoding="gzip"), 400),
        ("POST", "/v1/metrics", b"x", dict(Content_Type=kind, Content_Length="100"), 408),
    ]
    for method, path, body, headers, status in cases:
        assert r.http(method, path, body, **headers)[0] == status, (method, path, headers)
    assert r.http("POST", "/v1/metrics", b"{}", Content_Type="application/json")[0] == 200
    assert json.loads(r.http("GET", "/status")[1])["otlp"]["bad"] == len(cases)


def test_too_fast_a_sender_is_told_to_come_back(rig):
    r = rig(otlp__points_per_s=10, assigner__report_period_s=30)
    r.agent()
    seen = [r.report([tries(r, begun=k, end=k + 1) for k in range(at, at + 15)])[0] for at in range(0, 90, 15)]
    assert seen[:2] == [200, 200]
    assert 429 in seen


def running_greenlets():
    return {each for each in gc.get_objects() if isinstance(each, gevent.Greenlet) and each.started and not each.dead}


def test_a_stopped_service_leaves_no_greenlet_and_no_descriptor():
    gevent.sleep(0)  # the hub opens its descriptors at its first turn
    gc.collect()
    greenlets, descriptors = running_greenlets(), len(os.listdir("/proc/self/fd"))
    r = Rig(log__status_every_s=30, solver__on=True, clone__listen=f"127.0.0.1:{free_ports(3)}")
    agent = r.agent()
    assert len(running_greenlets() - greenlets) > 5
    agent.close()
    r.service.stop()
    r.job.join(2)
    assert r.job.successful()
    assert wait_for(lambda: not running_greenlets() - greenlets, 2), running_greenlets() - greenlets
    service = weakref.ref(r.service)
    del r, agent
    gc.collect()
    assert service() is None
    assert len(os.listdir("/proc/self/fd")) <= descriptors
