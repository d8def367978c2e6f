"""The places of large request bodies."""

import gevent
import pytest

from hollyridge.otlp.large_bodies import MAX_PLACES, MIN_READ_S, LargeBodies


class Holder:
    """A request that holds a place until it is released or aborted."""

    def __init__(self, bodies, arriving=True):
        self.bodies, self.arriving = bodies, arriving
        self.entered, self.aborted, self.ended = gevent.event.Event(), False, gevent.event.Event()
        self.greenlet = gevent.spawn(self.run)

    def run(self):
        with self.bodies.place(self.abort) as body:
            body.arriving = self.arriving
            self.entered.set()
            self.ended.wait()

    def abort(self):
        self.aborted = True
        self.ended.set()


@pytest.fixture
def clock():
    return {"now": 0.0}


@pytest.fixture
def bodies(clock):
    return LargeBodies(1 << 20, lambda: clock["now"])


def holders(bodies, count, **options):
    started = [Holder(bodies, **options) for _ in range(count)]
    gevent.sleep(0.05)
    return started


def test_a_body_that_arrives_slowly_gives_up_its_place_only_to_one_that_waits(bodies, clock):
    slow = holders(bodies, MAX_PLACES)
    clock["now"] = 10 * MIN_READ_S
    gevent.sleep(0.1)
    assert not any(holder.aborted for holder in slow)  # nobody waits
    (waiting,) = holders(bodies, 1)
    assert waiting.entered.wait(1)
    assert [holder.aborted for holder in slow] == [True] + [False] * (MAX_PLACES - 1)


def test_a_body_may_take_some_time_to_arrive_and_any_time_to_be_decoded(bodies, clock):
    decoding = holders(bodies, MAX_PLACES - 1, arriving=False)
    (young,) = holders(bodies, 1)
    (waiting,) = holders(bodies, 1)
    clock["now"] = 0.9 * MIN_READ_S
    assert not waiting.entered.wait(0.1)
    clock["now"] = 1.1 * MIN_READ_S
    assert waiting.entered.wait(1)
    assert young.aborted
    assert not any(holder.aborted for holder in decoding)


def test_bodies_get_places_in_the_order_of_their_arrival(bodies):
    first = holders(bodies, MAX_PLACES)
    waiting = holders(bodies, 3)
    for holder in first[:2]:
        holder.ended.set()
    gevent.sleep(0.1)
    assert [holder.entered.is_set() for holder in waiting] == [True, True, False]
    waiting[2].greenlet.kill()  # one that gives up leaves the queue
    first[2].ended.set()
    (late,) = holders(bodies, 1)
    assert late.entered.wait(1)


@pytest.mark.parametrize(("max_body_bytes", "places"), [(1024, 16), (1 << 20, 16), (4 << 20, 4), (64 << 20, 1)])
def test_larger_bodies_have_fewer_places(max_body_bytes, places):
    assert LargeBodies(max_body_bytes, lambda: 0.0).places == places
