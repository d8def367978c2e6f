"""Order of events and timers in a decision, and the limits on both."""

from helpers import SECOND, endpoint_list_update, make_endpoint

from hollyridge import interface as api
from hollyridge.core.event_queue import MAX_TIMERS, EventQueue

REPORT = api.TrafficReport(0, 1, 1, 0, 1000, SECOND, ())


def test_a_decision_gets_endpoint_lists_then_events_then_timers():
    queue = EventQueue(max_pending=10)
    change = endpoint_list_update([make_endpoint(0)])
    queue.submit(5, REPORT)
    queue.submit(7, api.ProxyLeft(1))
    queue.submit(8, change)
    queue.set_timer(0, 20, token=2)
    queue.set_timer(0, 10, token=1)
    assert queue.take_due(30) == ([change, REPORT, api.ProxyLeft(1), api.TimerFired(1), api.TimerFired(2)], 5)


def test_a_timer_is_due_at_its_time_and_not_before():
    queue = EventQueue(max_pending=10)
    queue.set_timer(100, 50, token=3)
    assert queue.next_timer() == 150
    assert not queue.has_due(149)
    assert queue.has_due(150)
    assert queue.take_due(149).events == []
    assert queue.take_due(150).events == [api.TimerFired(3)]
    assert queue.next_timer() is None


def test_at_the_limit_only_load_reports_are_dropped():
    queue = EventQueue(max_pending=2)
    assert queue.submit(0, REPORT)
    assert queue.submit(0, REPORT)
    assert not queue.submit(0, REPORT)
    assert not queue.submit(0, api.OfferedLoad(1, SECOND, 0, 0, 0))
    assert queue.submit(0, api.ProxyLeft(1))
    assert len(queue.pending) == 3


def test_timers_are_bounded():
    queue = EventQueue(max_pending=2)
    assert all(queue.set_timer(0, 1, token) for token in range(MAX_TIMERS))
    assert not queue.set_timer(0, 1, token=0)
    assert len(queue.timers) == MAX_TIMERS
