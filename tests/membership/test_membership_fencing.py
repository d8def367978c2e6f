"""Acceptance of messages by a proxy, by their fencing tokens."""

from hollyridge.membership.fencing import FencingChecker


def test_only_the_newest_token_is_accepted():
    checker = FencingChecker()
    tokens = [checker.next_token() for _ in range(3)]
    assert [checker.accepts(token) for token in tokens] == [False, False, True]
    assert checker.refused == 2


def test_messages_without_a_token_are_refused_after_one_with_a_token():
    checker = FencingChecker()
    assert checker.accepts(0)
    assert checker.accepts(checker.next_token())
    assert not checker.accepts(0)


def test_tokens_grow_from_the_given_start():
    checker = FencingChecker(41)
    assert checker.next_token() == 42
