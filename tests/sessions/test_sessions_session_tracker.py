"""Sessions: poll intervals, unread updates, two of one name."""

from helpers import SECOND

from hollyridge.sessions.session_tracker import MAX_TAKEOVERS, SessionTracker


def test_a_poller_is_told_an_interval_that_keeps_drains_in_time():
    for grace, bare in ((1, 5), (3, 5), (10, 30), (60, 20)):
        seen = SessionTracker(grace * SECOND, bare * SECOND)
        assert seen.interval >= 1
        assert seen.interval * SECOND < seen.timeout_us or grace == 1
        seen.start(0, 1, "gw", push=False)
        asked = 0
        while asked < 20 * SECOND and seen.interval * SECOND < seen.timeout_us:
            asked += seen.interval * SECOND
            assert not seen.overdue(asked)
            seen.polled(asked, 1)
        assert seen.overdue(asked + grace * SECOND)


def test_unread_orders_end_a_stream_within_the_grace():
    seen = SessionTracker(3 * SECOND, 5 * SECOND)
    seen.start(0, 1, "gw", push=True)
    for now in range(0, 20 * SECOND, SECOND // 10):  # a slow reader goes on reading
        seen.check_backlog(now, 1, read_bytes=now // 1000, unread=True)
        assert not seen.overdue(now)
    seen.check_backlog(21 * SECOND, 1, read_bytes=20_000, unread=True)
    seen.check_backlog(22 * SECOND, 1, read_bytes=20_000, unread=True)
    assert seen.overdue(24 * SECOND) == [(1, "leaves orders unread")]
    seen.check_backlog(24 * SECOND, 1, read_bytes=20_001, unread=False)
    assert not seen.overdue(60 * SECOND)


def test_two_of_one_name():
    seen = SessionTracker(3 * SECOND, 5 * SECOND)
    assert seen.start(0, 1, "gw", True).joined
    for k in range(MAX_TAKEOVERS):
        assert seen.start(k, k + 2, "gw", True) == (True, k + 1, False)
    assert seen.start(5, 99, "gw", True).turned_away
    assert seen.start(4 * SECOND, 100, "gw", True).joined
