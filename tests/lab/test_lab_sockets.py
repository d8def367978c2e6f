"""The simulated pub-sub sockets behave as the library's pages have it."""

import pytest
import zmq

from hollyridge.lab.stand_ins import sockets
from hollyridge.lab.stand_ins.world import VirtualWorld


def test_simulated_sockets():
    """As the library's pages have it: a publisher drops for a full reader, a router says so; what waits is found."""
    world = VirtualWorld()
    net, got = sockets.Network(world, lambda: 0.001), []
    blocked = []
    ours, theirs = sockets.Context(net), sockets.Context(net, cut=lambda endpoint: bool(blocked))
    router, publisher = ours.socket(zmq.ROUTER), ours.socket(zmq.PUB)
    dealer, reader = theirs.socket(zmq.DEALER), theirs.socket(zmq.SUB)
    dealer.identity = b"me"
    reader.rcvhwm = 2
    dealer.connect("tcp://127.1.0.9:0;127.0.0.1:1")
    reader.connect("tcp://127.1.0.9:0;127.0.0.1:2")
    dealer.send_multipart([b"nobody hears"])
    router.bind("tcp://127.0.0.1:1")
    publisher.bind("tcp://127.0.0.1:2")
    with pytest.raises(zmq.ZMQError):
        ours.socket(zmq.ROUTER).bind("tcp://127.0.0.1:1")
    reader.subscribe(b"a")

    def talk():
        dealer.send_multipart([b"hello"])
        parts = router.recv_multipart(copy=False)
        got.append(([bytes(p) for p in parts], parts[-1].get("Peer-Address")))
        for number in range(9):
            publisher.send_multipart([b"a%d" % number])
            publisher.send_multipart([b"b%d" % number])
        with pytest.raises(zmq.ZMQError):
            router.send_multipart([b"who", b"x"])
        poller = sockets.Poller(world)
        poller.register(reader, zmq.POLLIN)
        assert poller.poll(100)
        assert poller.poll(0)
        world.sleep(0.01)
        got.append(len(reader.queue))
        blocked.append(True)
        dealer.send_multipart([b"lost"])
        router.send_multipart([b"me", b"lost too"])
        world.sleep(0.01)
        got.append((len(router.queue), len(dealer.queue)))
        ours.end()
        assert not net.bound

    world.spawn(talk)
    world.run(1.0)
    assert got == [([b"me", b"hello"], "127.1.0.9"), 4, (0, 0)]
