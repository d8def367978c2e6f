"""Detection of replayed packet numbers."""

from hollyridge.peers.replay_window import WINDOW_PACKETS, ReplayWindow


def test_numbers_out_of_order_are_new_once():
    window = ReplayWindow()
    assert [window.mark_received(number) for number in (3, 1, 2, 2, 1, 3)] == [True, True, True, False, False, False]


def test_numbers_below_the_window_count_as_replayed():
    window = ReplayWindow()
    window.mark_received(WINDOW_PACKETS + 1)
    assert window.mark_received(2)
    assert not window.mark_received(1)
