"""Which packet numbers count as replayed."""

from hollyridge.peers.replay_window import WINDOW_PACKETS, ReplayWindow


def test_numbers_out_of_order_are_new_once():
    window = ReplayWindow()
    assert [window.first_time(number) for number in (3, 1, 2, 2, 1, 3)] == [True, True, True, False, False, False]


def test_numbers_below_the_window_count_as_replayed():
    window = ReplayWindow()
    window.first_time(WINDOW_PACKETS + 1)
    assert window.first_time(2)
    assert not window.first_time(1)
