"""UDP transport on loopback sockets."""

import pytest
from assigner_fleet import wait_for

from hollyridge.peers.codec import MAX_PACKET_BYTES
from hollyridge.peers.datagram_transport import DatagramTransport


@pytest.fixture
def receiver():
    received = []
    transport = DatagramTransport("127.0.0.1", 0, lambda address, raw: received.append((address, raw)))
    transport.received = received
    yield transport
    transport.stop()


@pytest.fixture
def sender():
    transport = DatagramTransport("127.0.0.1", 0, lambda address, raw: None)
    yield transport
    transport.stop()


def test_a_datagram_arrives_with_its_senders_address(sender, receiver):
    sender.send(f"127.0.0.1:{receiver.port}", b"content")
    assert wait_for(lambda: receiver.received)
    assert receiver.received == [(f"127.0.0.1:{sender.port}", b"content")]


def test_the_receiver_can_detect_a_datagram_that_is_too_long(sender, receiver):
    sender.send(f"127.0.0.1:{receiver.port}", b"x" * (MAX_PACKET_BYTES + 100))
    assert wait_for(lambda: receiver.received)
    assert len(receiver.received[0][1]) > MAX_PACKET_BYTES


@pytest.mark.parametrize("address", ["127.0.0.1:0", "127.0.0.1:x", "nowhere", "127.0.0.1:99999"])
def test_datagrams_that_can_not_be_sent_are_counted(sender, address):
    sender.send(address, b"content")
    assert sender.unsent == 1


def test_binding_to_an_address_in_use_fails(receiver):
    with pytest.raises(OSError, match="in use"):
        DatagramTransport("127.0.0.1", receiver.port, lambda address, raw: None)
