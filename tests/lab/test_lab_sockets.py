"""The simulated ZeroMQ sockets behave as documented by ZeroMQ."""

import pytest
import zmq

from hollyridge.lab.stand_ins import sockets
from hollyridge.lab.stand_ins.world import VirtualWorld


def test_simulated_sockets_deliver_drop_and_raise():
    """A publisher drops messages to a full subscriber, a router raises an error for an unknown peer.

    A connected socket is found by a peer that binds its endpoint later.
    """
    world = VirtualWorld()
    network, received = sockets.Network(world, lambda: 0.001), []
    blocked = []
    server, client = sockets.Context(network), sockets.Context(network, cut=lambda endpoint: bool(blocked))
    router, publisher = server.socket(zmq.ROUTER), server.socket(zmq.PUB)
    dealer, subscriber = client.socket(zmq.DEALER), client.socket(zmq.SUB)
    dealer.identity = b"me"
    subscriber.rcvhwm = 2
    dealer.connect("tcp://127.1.0.9:0;127.0.0.1:1")
    subscriber.connect("tcp://127.1.0.9:0;127.0.0.1:2")
    dealer.send_multipart([b"nobody hears"])
    router.bind("tcp://127.0.0.1:1")
    publisher.bind("tcp://127.0.0.1:2")
    with pytest.raises(zmq.ZMQError):
        server.socket(zmq.ROUTER).bind("tcp://127.0.0.1:1")
    subscriber.subscribe(b"a")

    def exchange_messages():
        dealer.send_multipart([b"hello"])
        parts = router.recv_multipart(copy=False)
        received.append(([bytes(p) for p in parts], parts[-1].get("Peer-Address")))
        for number in range(9):
            publisher.send_multipart([b"a%d" % number])
            publisher.send_multipart([b"b%d" % number])
        with pytest.raises(zmq.ZMQError):
            router.send_multipart([b"who", b"x"])
        poller = sockets.Poller(world)
        poller.register(subscriber, zmq.POLLIN)
        assert poller.poll(100)
        assert poller.poll(0)
        world.sleep(0.01)
        received.append(len(subscriber.queue))
        blocked.append(True)
        dealer.send_multipart([b"lost"])
        router.send_multipart([b"me", b"lost too"])
        world.sleep(0.01)
        received.append((len(router.queue), len(dealer.queue)))
        server.end()
        assert not network.bound

    world.spawn(exchange_messages)
    world.run(1.0)
    assert received == [([b"me", b"hello"], "127.1.0.9"), 4, (0, 0)]
