"""Crossings of signals, configuration changes and an unread log with the work of a running process."""

import fcntl
import json
import os
import select
import signal
import socket
import time

from crossing_helpers import TASKS, attach_message
from stand_ins import DiscoveryServer, RespClient, list_page, server, wait_for

from hollyridge.core.logs import NonBlockingLogSink


def test_a_reload_signal_during_startup_is_handled_once_the_assigner_serves(start_node, tmp_path):
    """The first configuration file is a pipe, so that the process blocks in reading it until the test writes."""
    assigner, _discovery = start_node()
    assigner.process.kill()
    assigner.process.wait(10)
    other, path, newer = DiscoveryServer(list_page(9, [server("s-9")])), tmp_path / "pipe", tmp_path / "newer"
    os.mkfifo(path)
    assigner.path = tmp_path / "link"
    assigner.path.symlink_to(path)
    newer.write_text(json.dumps({**assigner.document, "discovery": other.address}))
    started = assigner.start()
    with path.open("w") as pipe:  # returns once the process has opened the pipe for reading
        (tmp_path / "next").symlink_to(newer)
        (tmp_path / "next").replace(assigner.path)
        assigner.signal(signal.SIGHUP)
        pipe.write(json.dumps(assigner.document))
    assigner.wait_until_ready()
    proxy = RespClient(assigner.port, 1)
    proxy.wait_for_table({"s-9"})
    assert started.poll() is None
    assert assigner.stop()[0] == 0
    other.stop()


def test_a_half_replaced_configuration_is_read_again(start_node):
    assigner, _discovery = start_node()
    assigner.wait_until_ready()
    other = DiscoveryServer(list_page(9, [server("s-9")]))
    text = json.dumps({**assigner.document, "discovery": other.address})
    assigner.write(text[: len(text) // 2])
    assigner.signal(signal.SIGHUP)
    assigner.wait_for_log("configuration_rejected")
    assigner.write(text)
    proxy = RespClient(assigner.port, 1)
    proxy.wait_for_table({"s-9"})
    assert assigner.read_log().count("configuration_reloaded") == 1
    other.stop()


def test_after_two_reloads_at_once_the_last_address_is_used(start_node):
    assigner, _discovery = start_node()
    assigner.wait_until_ready()
    others = [DiscoveryServer(list_page(8 + k, [server(f"s-{k}")])) for k in (1, 2)]
    for other in others:
        assigner.write(json.dumps({**assigner.document, "discovery": other.address}))
        assigner.signal(signal.SIGHUP)
    proxy = RespClient(assigner.port, 1)
    proxy.wait_for_table({"s-2"})
    wait_for(lambda: len(others[1].requests) == 1)
    for other in others:
        other.stop()


def test_sigterm_during_a_half_written_update_and_unread_connections_stops_the_process_at_once(start_node):
    assigner, discovery = start_node(known=list_page(7, [server(f"s-{'x' * 150}{k}", k % 2) for k in range(2000)]))
    discovery.mode = "refuse"
    assigner.wait_until_ready()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(("127.0.0.1", assigner.port))
    sock.sendall(attach_message(1))
    sock.settimeout(8)
    assert sock.recv(1)  # an update of hundreds of kilobytes has been sent in part and is stalled
    os.kill(assigner.process.pid, signal.SIGSTOP)
    waiting = [socket.create_connection(("127.0.0.1", assigner.port)) for _ in range(5)]
    for client in waiting:
        client.sendall(attach_message(2))
    assigner.signal(signal.SIGTERM)
    os.kill(assigner.process.pid, signal.SIGCONT)
    start = time.monotonic()
    assert assigner.process.wait(10) == 0
    assert time.monotonic() - start < 0.7
    for client in (sock, *waiting):
        client.settimeout(5)
        try:
            while client.recv(65536):
                pass
        except ConnectionError:
            pass
        client.close()
    restarted = assigner.start()  # at once, with the same name and address
    assigner.wait_until_ready()
    assert restarted.poll() is None


def test_a_killed_process_can_restart_while_its_former_connections_remain(start_node):
    assigner, _discovery = start_node()
    assigner.wait_until_ready()
    proxies = [RespClient(assigner.port, node) for node in range(6)]
    for proxy in proxies:
        proxy.wait_for_table(TASKS)
    late = socket.create_connection(("127.0.0.1", assigner.port))
    assigner.process.kill()  # before or after `late` is accepted
    assigner.process.wait(10)
    assigner.start()
    assigner.wait_until_ready()
    late.close()
    for proxy in proxies:
        assert proxy.closed(2)
    rejoined = RespClient(assigner.port, 3)
    rejoined.send("done", node=3, nonce=1, latency=1)  # an ack for a mark of the earlier process
    rejoined.wait_for_table(TASKS)


def test_writes_to_an_unread_log_do_not_block():
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
    # This line is longer than the room in the pipe: it is cut, and the next one starts on a new line.
    print("y" * 9000, file=sink, flush=True)
    os.read(reader, 65536)
    print("whole", file=sink, flush=True)
    assert os.read(reader, 65536).decode().splitlines()[-1] == "whole"
    os.close(reader)
    for _ in range(3):
        print("the reader is closed", file=sink, flush=True)
    assert sink.dropped == 3
    os.close(writer)


def test_an_assigner_with_an_unread_log_continues_to_serve(start_node):
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
    assigner, discovery = start_node(log=writer)
    assigner.wait_until_ready()
    proxy = RespClient(assigner.port, 1)
    proxy.wait_for_table(TASKS)
    for version in range(8, 60):  # each writes a line to the log
        discovery.publish(
            list_page(version, [server("s-1", 1, "terminating" if version % 2 else "in_service")], full=False)
        )
    discovery.publish(list_page(90, [server("s-2", 0, "terminating"), server("s-1", 1)], full=False))
    proxy.wait_for_table(set(TASKS) - {"s-2"})
    assert not select.select([], [writer], [], 0)[1]  # the pipe is full
    assert assigner.stop()[0] == 0
    os.close(reader)
    os.close(writer)
