"""Signals, the configuration and the log of a started process, crossed with what it is doing."""

import fcntl
import json
import os
import select
import signal
import socket
import time

from crossing_helpers import TASKS, attach_message
from stand_ins import Discovery, Peer, page, server, wait_for

from hollyridge.core.logs import NonBlockingLogSink


def test_a_reload_during_the_start_is_made_once_the_assigner_serves(start_node, tmp_path):
    """The configuration is a pipe at first: the program stands still in the reading of it until it is told."""
    assigner, _discovery = start_node()
    assigner.process.kill()
    assigner.process.wait(10)
    other, path, newer = Discovery(page(9, [server("s-9")])), tmp_path / "pipe", tmp_path / "newer"
    os.mkfifo(path)
    assigner.path = tmp_path / "link"
    assigner.path.symlink_to(path)
    newer.write_text(json.dumps({**assigner.document, "discovery": other.address}))
    started = assigner.start()
    with path.open("w") as pipe:  # comes back once the program reads
        (tmp_path / "next").symlink_to(newer)
        (tmp_path / "next").replace(assigner.path)
        assigner.signal(signal.SIGHUP)
        pipe.write(json.dumps(assigner.document))
    assigner.wait_until_ready()
    proxy = Peer(assigner.port, 1)
    proxy.wait_for_table({"s-9"})
    assert started.poll() is None
    assert assigner.stop()[0] == 0
    other.stop()


def test_a_half_replaced_configuration_is_read_again(start_node):
    assigner, _discovery = start_node()
    assigner.wait_until_ready()
    other = Discovery(page(9, [server("s-9")]))
    text = json.dumps({**assigner.document, "discovery": other.address})
    assigner.write(text[: len(text) // 2])
    assigner.signal(signal.SIGHUP)
    assigner.wait_for_log("configuration_rejected")
    assigner.write(text)
    proxy = Peer(assigner.port, 1)
    proxy.wait_for_table({"s-9"})
    assert assigner.read_log().count("configuration_reloaded") == 1
    other.stop()


def test_two_reloads_at_once_end_at_the_last_address(start_node):
    assigner, _discovery = start_node()
    assigner.wait_until_ready()
    others = [Discovery(page(8 + k, [server(f"s-{k}")])) for k in (1, 2)]
    for other in others:
        assigner.write(json.dumps({**assigner.document, "discovery": other.address}))
        assigner.signal(signal.SIGHUP)
    proxy = Peer(assigner.port, 1)
    proxy.wait_for_table({"s-2"})
    wait_for(lambda: len(others[1].requests) == 1)
    for other in others:
        other.stop()


def test_sigterm_with_an_update_half_written_and_unread_connections_ends_at_once(start_node):
    assigner, discovery = start_node(known=page(7, [server(f"s-{'x' * 150}{k}", k % 2) for k in range(2000)]))
    discovery.mode = "refuse"
    assigner.wait_until_ready()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(("127.0.0.1", assigner.port))
    sock.sendall(attach_message(1))
    sock.settimeout(8)
    assert sock.recv(1)  # an order of hundreds of kilobytes has begun, and stands
    os.kill(assigner.process.pid, signal.SIGSTOP)
    waiting = [socket.create_connection(("127.0.0.1", assigner.port)) for _ in range(5)]
    for client in waiting:
        client.sendall(attach_message(2))
    assigner.signal(signal.SIGTERM)
    os.kill(assigner.process.pid, signal.SIGCONT)
    begun = time.monotonic()
    assert assigner.process.wait(10) == 0
    assert time.monotonic() - begun < 0.7
    for client in (sock, *waiting):
        client.settimeout(5)
        try:
            while client.recv(65536):
                pass
        except ConnectionError:
            pass
        client.close()
    again = assigner.start()  # under its name and address, at once
    assigner.wait_until_ready()
    assert again.poll() is None


def test_a_killed_process_restarts_at_once_under_its_former_connections(start_node):
    assigner, _discovery = start_node()
    assigner.wait_until_ready()
    proxies = [Peer(assigner.port, node) for node in range(6)]
    for proxy in proxies:
        proxy.wait_for_table(TASKS)
    late = socket.create_connection(("127.0.0.1", assigner.port))
    assigner.process.kill()  # behind the accept of `late`, or before it
    assigner.process.wait(10)
    assigner.start()
    assigner.wait_until_ready()
    late.close()
    for proxy in proxies:
        assert proxy.closed(2)
    again = Peer(assigner.port, 3)
    again.send("done", node=3, nonce=1, latency=1)  # of the earlier process
    again.wait_for_table(TASKS)


def test_a_log_that_nobody_reads_stops_nothing():
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
    sink = NonBlockingLogSink(writer)
    for k in range(200):
        print(f"line {k} " + "x" * 90, file=sink, flush=True)
    dropped = sink.dropped
    assert 100 < dropped < 200
    os.read(reader, 65536)
    print("and on", file=sink, flush=True)
    assert os.read(reader, 65536).decode().splitlines() == [
        f"{dropped} lines of this log were dropped: nobody read them",
        "and on",
    ]
    assert sink.dropped == 0
    print("y" * 9000, file=sink, flush=True)  # longer than there is room: torn, and the next one on a line of its own
    os.read(reader, 65536)
    print("whole", file=sink, flush=True)
    assert os.read(reader, 65536).decode().splitlines()[-1] == "whole"
    os.close(reader)
    for _ in range(3):
        print("its reader has gone", file=sink, flush=True)
    assert sink.dropped == 3
    os.close(writer)


def test_an_assigner_whose_log_nobody_reads_goes_on_serving(start_node):
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
    assigner, discovery = start_node(log=writer)
    assigner.wait_until_ready()
    proxy = Peer(assigner.port, 1)
    proxy.wait_for_table(TASKS)
    for version in range(8, 60):  # each is a line in the log
        discovery.publish(page(version, [server("s-1", 1, "terminating" if version % 2 else "in_service")], full=False))
    discovery.publish(page(90, [server("s-2", 0, "terminating"), server("s-1", 1)], full=False))
    proxy.wait_for_table(set(TASKS) - {"s-2"})
    assert not select.select([], [writer], [], 0)[1]  # it was full, and is
    assert assigner.stop()[0] == 0
    os.close(reader)
    os.close(writer)
