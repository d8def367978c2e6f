"""Senders of reports under a budget."""

import http.client
from random import Random

import gevent
import pytest
from gevent import socket
from service_rig import rig, tries  # noqa: F401

from hollyridge.lab.flood import flood
from hollyridge.limits.fair_share import ALL, FairShareLimiter, level
from hollyridge.otlp.sender import post, request_of

SECOND = 1_000_000


def play(rates, budget, seconds=30, seed=1, most=1000, size=10):
    """Points heard a second by sender: each sends requests of `size` points at its rate, and comes again when told."""
    fair, rng, heard = FairShareLimiter(budget, SECOND, most), Random(seed), dict.fromkeys(rates, 0)
    due = sorted((rng.random() * SECOND, name) for name in rates)
    while due and due[0][0] < seconds * SECOND:
        now, name = due.pop(0)
        wait = fair.retry_after_us(int(now), name)
        if not wait:
            fair.record(int(now), name, size)
            heard[name] += size * (now > 5 * SECOND)
        gap = max(wait if rates[name] < 1e4 else 0, SECOND * size / rates[name])  # floods do not listen
        due.append((now + gap * rng.uniform(0.9, 1.1), name))
        due.sort()
    return {name: points / (seconds - 5) for name, points in heard.items()}, fair


def test_the_quiet_are_heard_in_full_whatever_the_loud_say():
    rates = {**{f"quiet-{k}": 20.0 for k in range(20)}, "loud": 20_000.0}
    heard, _ = play(rates, 1000.0)
    assert min(heard[f"quiet-{k}"] for k in range(20)) > 17
    assert 400 < heard["loud"] < 900 and sum(heard.values()) < 1150


def test_the_loud_share_alike():
    heard, fair = play({**{f"q{k}": 10.0 for k in range(10)}, **{f"loud-{k}": 500.0 for k in range(4)}}, 600.0)
    loud = [heard[f"loud-{k}"] for k in range(4)]
    assert max(loud) < 1.4 * min(loud) and min(heard[f"q{k}"] for k in range(10)) > 8
    assert fair.counts["limited"] == 4


def test_nobody_is_limited_while_all_fits():
    heard, fair = play({f"s{k}": 40.0 for k in range(10)}, 1000.0)
    assert min(heard.values()) > 36 and fair.counts["turned_away"] == 0


def test_names_without_end_share_as_one():
    fair = FairShareLimiter(1000.0, SECOND, 8)
    for k in range(5000):
        if not fair.retry_after_us(k * 400, f"name-{k}"):
            fair.record(k * 400, f"name-{k}", 10)
    assert len(fair.senders) <= 9 and ALL in fair.senders
    for k in range(20):  # one of those told apart is heard all the same
        now = 2 * SECOND + k * SECOND
        assert fair.retry_after_us(now, "name-0") == 0
        fair.record(now, "name-0", 10)


def test_one_huge_request_is_paid_off():
    fair = FairShareLimiter(100.0, SECOND, 10)
    assert fair.retry_after_us(0, "a") == 0
    fair.record(0, "a", 1000)
    waits = fair.retry_after_us(10, "a")
    assert waits > 5 * SECOND
    assert fair.retry_after_us(10 + waits + 2 * SECOND, "a") == 0


@pytest.mark.parametrize("wanted, budget, share", [([], 5.0, 5.0), ([10.0, 10.0], 10.0, 5.0), ([0.0, 9.0], 6.0, 6.0)])
def test_levels(wanted, budget, share):
    assert level(wanted, budget) == share


def test_a_flood_over_sockets_does_not_silence_a_quiet_sender(rig):  # noqa: F811
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
    assert set(seen["quiet"]) == {200} and seen["loud"].count(429) > 30
    status = r.service.intake.status()
    assert status["senders"] == 2 and status["slowed"] == seen["loud"].count(429)


def test_a_small_flood_is_measured():
    told = flood(900.0, 4.0, 300.0, tasks=9)
    assert told["shed"] > 0 < told["kept"] and told["kept"] + told["shed"] == told["sent"]
    assert told["quiet_kept"] / told["quiet_sent"] > told["kept"] / told["sent"]
    assert 0 < told["decision_p99_ms"] and 0 <= told["weight_distance"] < 0.5
