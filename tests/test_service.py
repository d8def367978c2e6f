"""A complete assigner on loopback sockets: reports over OTLP, and other HTTP requests."""

import gc
import gzip
import json
import os
import weakref

import gevent
import pytest
from service_rig import Rig, attempts_point, wait_for

from hollyridge.lab.stand_ins.ports import free_ports

REPORTS = [
    # figures, number of rejected ones, attempts counted
    (lambda r: [attempts_point(r)], 0, 10),
    (lambda r: [attempts_point(r, zone="nowhere"), attempts_point(r)], 1, 10),
    (lambda r: [attempts_point(r, task="127.1.0.77:9000"), attempts_point(r, task="no address")], 2, 0),
    (lambda r: [attempts_point(r, method="no-such")], 1, 0),
    (
        lambda r: [attempts_point(r, value=float("nan")), attempts_point(r, value=-3.0), attempts_point(r, end=0.0)],
        3,
        0,
    ),
    (lambda r: [attempts_point(r)._replace(name="something.else"), attempts_point(r)], 1, 10),
    (lambda r: [attempts_point(r)._replace(start_ns=None)], 1, 0),
]


@pytest.mark.parametrize(("figures", "rejected", "counted"), REPORTS)
@pytest.mark.parametrize("packed", [True, False])
def test_each_report_counts_once_and_rejected_points_are_stated(rig, figures, rejected, counted, packed):
    assigner_rig = rig(assigner__report_period_s=30)
    assigner_rig.agent()
    for _repetition in range(2):  # a report repeated after a lost response succeeds and counts once
        status, response = assigner_rig.report(figures(assigner_rig), packed=packed)
        assert status == 200
        assert response.partial_success.rejected_data_points == rejected
        assert bool(response.partial_success.error_message) == bool(rejected)
    assert sum(e.attempts for e in assigner_rig.engine.reports.collect(0) if hasattr(e, "attempts")) == counted


def test_malformed_http_requests_get_their_status_and_are_counted(rig):
    assigner_rig = rig(otlp__body_most_bytes=20000, otlp__body_s=0.5)
    content_type, bomb = "application/x-protobuf", gzip.compress(b"\0" * 10_000_000)
    cases = [
        ("POST", "/v1/metrics", b"\xff\xff\xff", dict(Content_Type=content_type), 400),
        ("POST", "/v1/metrics", b"{", dict(Content_Type="application/json"), 400),
        ("POST", "/v1/metrics", b"", dict(Content_Type="text/plain"), 415),
        ("POST", "/v1/traces", b"", dict(Content_Type=content_type), 404),
        ("GET", "/v1/metrics", b"", {}, 405),
        ("POST", "/v1/metrics", b"x" * 20001, dict(Content_Type=content_type), 413),
        ("POST", "/v1/metrics", bomb, dict(Content_Type=content_type, Content_Encoding="gzip"), 413),
        ("POST", "/v1/metrics", b"no gzip", dict(Content_Type=content_type, Content_Encoding="gzip"), 400),
        ("POST", "/v1/metrics", b"x", dict(Content_Type=content_type, Content_Length="100"), 408),
    ]
    for method, path, body, headers, status in cases:
        assert assigner_rig.http(method, path, body, **headers)[0] == status, (method, path, headers)
    assert assigner_rig.http("POST", "/v1/metrics", b"{}", Content_Type="application/json")[0] == 200
    assert json.loads(assigner_rig.http("GET", "/status")[1])["otlp"]["bad"] == len(cases)


def test_a_sender_above_the_rate_limit_gets_status_429(rig):
    assigner_rig = rig(otlp__points_per_s=10, assigner__report_period_s=30)
    assigner_rig.agent()
    statuses = [
        assigner_rig.report([attempts_point(assigner_rig, start_s=k, end=k + 1) for k in range(at, at + 15)])[0]
        for at in range(0, 90, 15)
    ]
    assert statuses[:2] == [200, 200]
    assert 429 in statuses


def running_greenlets():
    return {item for item in gc.get_objects() if isinstance(item, gevent.Greenlet) and item.started and not item.dead}


def test_a_stopped_service_leaves_no_greenlet_and_no_descriptor():
    gevent.sleep(0)  # the hub opens its descriptors in its first iteration
    gc.collect()
    greenlets, descriptors = running_greenlets(), len(os.listdir("/proc/self/fd"))
    assigner_rig = Rig(log__status_every_s=30, solver__on=True, clone__listen=f"127.0.0.1:{free_ports(3)}")
    agent = assigner_rig.agent()
    assert len(running_greenlets() - greenlets) > 5
    agent.close()
    assigner_rig.service.stop()
    assigner_rig.job.join(2)
    assert assigner_rig.job.successful()
    assert wait_for(lambda: not running_greenlets() - greenlets, 2), running_greenlets() - greenlets
    service = weakref.ref(assigner_rig.service)
    del assigner_rig, agent
    gc.collect()
    assert service() is None
    assert len(os.listdir("/proc/self/fd")) <= descriptors
