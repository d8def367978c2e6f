"""Poll intervals, unread updates, and two load balancers of one name."""

from helpers import SECOND

from hollyridge.sessions.session_tracker import MAX_TAKEOVERS, SessionTracker


def test_the_poll_interval_is_short_enough_for_drains():
    for grace, empty_table_limit in ((1, 5), (3, 5), (10, 30), (60, 20)):
        tracker = SessionTracker(grace * SECOND, empty_table_limit * SECOND)
        assert tracker.poll_interval_s >= 1
        assert tracker.poll_interval_s * SECOND < tracker.timeout_us or grace == 1
        tracker.start(0, 1, "gw", push=False)
        polled_at = 0
        while polled_at < 20 * SECOND and tracker.poll_interval_s * SECOND < tracker.timeout_us:
            polled_at += tracker.poll_interval_s * SECOND
            assert not tracker.overdue(polled_at)
            tracker.record_poll(polled_at, 1)
        assert tracker.overdue(polled_at + grace * SECOND)


def test_unread_updates_end_a_stream_within_the_grace():
    tracker = SessionTracker(3 * SECOND, 5 * SECOND)
    tracker.start(0, 1, "gw", push=True)
    for now in range(0, 20 * SECOND, SECOND // 10):  # a slow reader that continues to read
        tracker.check_backlog(now, 1, read_bytes=now // 1000, unread=True)
        assert not tracker.overdue(now)
    tracker.check_backlog(21 * SECOND, 1, read_bytes=20_000, unread=True)
    tracker.check_backlog(22 * SECOND, 1, read_bytes=20_000, unread=True)
    assert tracker.overdue(24 * SECOND) == [(1, "updates left unread")]
    tracker.check_backlog(24 * SECOND, 1, read_bytes=20_001, unread=False)
    assert not tracker.overdue(60 * SECOND)


def test_takeovers_between_two_of_one_name_are_limited():
    tracker = SessionTracker(3 * SECOND, 5 * SECOND)
    assert tracker.start(0, 1, "gw", True).joined
    for k in range(MAX_TAKEOVERS):
        assert tracker.start(k, k + 2, "gw", True) == (True, k + 1, False)
    assert tracker.start(5, 99, "gw", True).rejected
    assert tracker.start(4 * SECOND, 100, "gw", True).joined
