"""Two events that cross, in the bad order every time, over real connections: docs/crossings.md lists them.

A stand-in holds back, cuts or sends in pieces at a chosen byte and waits for a stated event; nothing rests on luck.
"""

import fcntl
import gc
import json
import os
import select
import signal
import socket
import time

import gevent
import pytest
from gevent import socket as green
from helpers import SECOND
from in_process import Hall, Script, chunked, line, watch_of
from stand_ins import Assigner, Discovery, Peer, apply_lines, message, page, server, wait_for

from hollyridge import interface as api
from hollyridge.core.logs import NonBlockingLogSink
from hollyridge.decisions.assigner import Assigner as Module
from hollyridge.delivery.update_builder import ProxyUpdate
from hollyridge.discovery.endpoint_list import EndpointListReceived, WatchFailed
from hollyridge.discovery.timing import MAX_PROPAGATION_US
from hollyridge.discovery.watch_state import WatchInput
from hollyridge.registration.members import Tick
from hollyridge.resp.codec import FrameReader, encode

TASKS = [f"s-{k}" for k in range(6)]
LIST = page(7, [server(name, k % 2) for k, name in enumerate(TASKS)])
ATTACH = {"locality": "khalda", "w": 5, "cold": 1}


def attach(node):
    return message("attach", node=node, **ATTACH)


def orders(sock):
    """All that comes on a stream until it is quiet, as fields; None where it has been closed."""
    reader, found = FrameReader(), []
    sock.settimeout(0.05)
    try:
        while chunk := sock.recv(65536):
            found += [dict(zip(one[1::2], one[2::2])) for one in reader.feed(chunk)]
    except TimeoutError:
        return found
    except ConnectionError:
        pass
    return None


def events(hall, kind):
    return [event for _, event in hall.engine.pending_events if type(event) is kind]


def turn(hall, seconds=0.0):
    """Let time pass on the hall's clock, and the machine do what is due."""
    until = hall.now + round(seconds * SECOND)
    due = hall.engine.run(hall.now)
    while due < until:
        hall.now = max(hall.now + 1, due)
        due = hall.engine.run(hall.now)
    hall.now = until


@pytest.fixture
def hall():
    hall = Hall()
    yield hall
    hall.front.stop()


@pytest.fixture
def house(tmp_path):
    """Starts an assigner; whatever was started is ended."""
    started = []

    def start(**more):
        discovery = Discovery(LIST)
        assigner = Assigner(tmp_path, discovery.address, **more)
        started.append((assigner, discovery))
        return assigner, discovery

    yield start
    for assigner, discovery in started:
        if assigner.process.poll() is None:
            assigner.process.kill()
            assigner.process.wait(10)
        discovery.stop()


# A proxy from one stream to a newer.


def test_a_receipt_that_the_older_stream_has_half_sent_counts_for_nothing_once_a_newer_stands(hall):
    older = hall.proxy(3)
    turn(hall, 1)
    (mark,) = {int(one[b"ticket"]) for one in orders(older) if b"ticket" in one}
    said = message("done", node=3, nonce=mark, latency=5)
    older.sendall(said[:-4])
    hall.until(lambda: hall.front.by_proxy[0].heard == hall.now)
    newer = hall.proxy(3)
    try:
        older.sendall(said[-4:])
    except OSError:
        pass
    hall.until(lambda: len(hall.front.streams) == 1)
    assert not events(hall, api.Ack)
    kinds = [type(event) for _, event in hall.engine.pending_events if type(event) in (api.ProxyJoined, api.ProxyLeft)]
    assert kinds == [api.ProxyLeft, api.ProxyJoined]
    newer.close()


def test_a_message_that_waits_for_the_older_stream_is_never_written_on_the_newer(hall):
    older = hall.proxy(3)
    hall.engine.run(hall.now)  # a whole table is ordered and waits
    assert len(hall.engine.queue.queue) == 1
    newer = hall.proxy(3)
    assert not hall.engine.queue.queue and orders(older) is None
    turn(hall, 2)
    first = orders(newer)[0]
    assert first[b"whole"] == b"1" and len(first[b"lines"].split(b",")) == 6


def test_a_receipt_for_a_mark_of_an_earlier_stream_is_not_taken_for_one_of_this(hall):
    """An earlier process gave its marks the same numbers: what it wrote says nothing of this one's channel."""
    sock = hall.proxy(3)
    hall.engine.run(hall.now)
    sock.sendall(message("done", node=3, nonce=1, latency=5) + message("hb"))
    hall.until(lambda: hall.front.counts["messages_in"] == 3)
    assert not events(hall, api.Ack) and hall.front.counts["stray_receipts"] == 1
    turn(hall, 1)
    assert any(one.get(b"ticket") == b"1" for one in orders(sock))
    sock.sendall(message("done", node=3, nonce=1, latency=5) * 2 + message("hb"))  # and once only
    hall.until(lambda: hall.front.counts["messages_in"] == 6)
    assert len(events(hall, api.Ack)) == 1


@pytest.mark.parametrize("first", ["older", "newer"])
def test_both_ends_of_two_streams_of_one_proxy_in_either_order(hall, first):
    older, newer = hall.proxy(3), hall.proxy(3)
    for sock in (older, newer) if first == "older" else (newer, older):
        sock.close()
    hall.until(lambda: not hall.front.streams)
    assert not hall.engine.servers and not hall.front.by_proxy and not hall.engine.proxy_details
    again = hall.proxy(3)
    turn(hall, 2)
    assert orders(again)[0][b"whole"] == b"1"


# Connections that have not joined, and room.


def test_a_proxy_whose_first_message_comes_in_pieces_keeps_its_place_in_a_crowd():
    hall = Hall(descriptors=24 + 20)
    slow = green.create_connection(("127.0.0.1", hall.port))
    slow.sendall(attach(9)[:11])
    hall.until(lambda: hall.front.pending.waiting and not hall.front.pending.silent)
    crowd = [green.create_connection(("127.0.0.1", hall.port)) for _ in range(60)]
    hall.until(lambda: hall.front.counts["connections"] == 61)
    slow.sendall(attach(9)[11:])
    hall.until(lambda: 9 in hall.engine.proxy_indices.index)
    hall.until(lambda: len(hall.front.streams) <= 20)
    assert hall.front.counts["overdue"] >= 40 and len(hall.front.by_proxy) == 1
    for sock in crowd:
        sock.close()
    hall.until(lambda: len(hall.front.streams) == 1)
    hall.front.stop()


def test_the_descriptors_that_nobody_uses_are_room_for_those_who_are_joining():
    """Room was what 150 proxies of the fleet would leave, however few came: 8, in which 20 push each other out."""
    hall = Hall(descriptors=24 + 60)
    slow = [green.create_connection(("127.0.0.1", hall.port)) for _ in range(20)]
    for node, sock in enumerate(slow):
        sock.sendall(attach(node)[:11])
    hall.until(lambda: len(hall.front.pending.waiting) == 20 and not hall.front.pending.silent)
    for node, sock in enumerate(slow):
        sock.sendall(attach(node)[11:])
    hall.until(lambda: len(hall.front.by_proxy) == 20)
    assert hall.front.counts["overdue"] == 0
    hall.front.stop()


def test_more_proxies_than_descriptors_are_refused_and_take_nothing_from_the_rest():
    hall = Hall(descriptors=24 + 16)
    socks = []
    for node in range(16):
        socks.append(hall.proxy(node))
    late = green.create_connection(("127.0.0.1", hall.port))
    late.sendall(attach(20))
    assert late.recv(100).startswith(b"*3\r\n$6\r\nreject") and late.recv(100) == b""
    hall.until(lambda: len(hall.front.streams) == 16)
    socks[0].close()
    hall.until(lambda: len(hall.front.streams) == 15)
    hall.proxy(20)
    assert len(hall.front.by_proxy) == 16
    hall.front.stop()


BAD = [
    b"GET / HTTP/1.1\r\n\r\n",
    b"*1\r\n$99999999\r\n",
    b"*2\r\n$2\r\nhb\r\n",
    b"",
    message("assign", lines="s-1:1"),
    message("attach", node=400, **ATTACH),
    message("telemetry", locality="mars"),
    b"*3\r\n$6\r\nattach\r\n$4\r\nno",
]


def test_bad_input_in_any_pieces_leaves_no_descriptor_greenlet_or_index_behind():
    hall = Hall()
    good = hall.proxy(1)

    def held():
        """Descriptors by number and what they are, and greenlets that are not over. What earlier tests left to be
        collected may go meanwhile: only what is new was left behind here."""
        gc.collect()
        found = set()
        for number in os.listdir("/proc/self/fd"):
            try:
                found.add((number, os.readlink(f"/proc/self/fd/{number}")))
            except OSError:  # the one that lists them
                pass
        return found, {one for one in gc.get_objects() if isinstance(one, gevent.Greenlet) and not one.dead}

    before = None
    for _ in range(3):
        for raw in BAD:
            for cut in (1, 5, len(raw)):
                sock = green.create_connection(("127.0.0.1", hall.port))
                for piece in filter(None, (raw[:cut], raw[cut:])):
                    try:
                        sock.sendall(piece)
                    except OSError:
                        break
                    gevent.sleep(0)
                sock.close()
        hall.until(lambda: len(hall.front.streams) == 1)
        before = before or held()
    hall.until(lambda: not any(now - then for now, then in zip(held(), before)))  # the last ones are just ending
    assert not hall.front.pending.waiting and not hall.front.pending.silent and len(hall.engine.proxy_indices) == 1
    turn(hall, 1)
    assert orders(good)
    hall.front.stop()


def test_a_collector_goes_from_one_connection_to_the_next_and_the_older_ones_end_ends_nothing(hall):
    def collector():
        sock = green.create_connection(("127.0.0.1", hall.port))
        before = hall.front.counts["messages_in"]
        sock.sendall(message("telemetry", locality="khalda"))
        hall.until(lambda: hall.front.counts["messages_in"] == before + 1)
        hall.now += 1
        return sock

    socks = [collector() for _ in range(3)]
    assert socks[0].recv(10) == b""  # the one that was silent longest made room
    hall.until(lambda: len(hall.front.streams) == 2)
    said = message("upstream_stats", locality="khalda", endpoint="s-1", total=4, errors=0, rtt=9, interval=1000)
    for sock in socks[1:]:
        sock.sendall(said)
    hall.until(lambda: len(events(hall, api.TrafficReport)) == 2)
    socks[1].close()
    hall.until(lambda: len(hall.front.collectors[0]) == 1)
    socks[2].sendall(said)
    hall.until(lambda: len(events(hall, api.TrafficReport)) == 3)


# Tasks, their indices, and a module that fails.


def test_an_index_is_not_given_to_another_task_while_a_stream_that_stands_still_was_told_of_its_bearer(hall):
    """The change from one bearer to the other would be none: the proxy would keep sending to the one that left."""
    hall.proxy(3)
    turn(hall, 2)
    table = hall.engine.update_builder.store.latest(0)
    stream = hall.front.by_proxy[0]
    assert 5 in stream.sheet.told[0].lines
    stream.unsent = b"x"  # the reader stands still from here: what comes is owed
    hall.tell(2, TASKS[:5])
    turn(hall, 100)
    assert 5 in stream.sheet.told[0].lines and 5 not in hall.engine.update_builder.store.latest(0).lines
    hall.tell(3, [*TASKS[:5], "s-new"])
    assert hall.engine.task_indices.index["s-new"] == 6
    assert table is not hall.engine.update_builder.store.latest(0)
    hall.front.close(stream, "it ended")
    hall.until(lambda: not hall.front.by_proxy)
    hall.tell(4, TASKS[:5])
    turn(hall, 100)
    hall.tell(5, [*TASKS[:5], "s-newer"])
    assert hall.engine.task_indices.index["s-newer"] == 5  # nobody can mean the old one any more


def test_a_task_that_a_whole_list_leaves_out_leaves_nothing_behind(hall):
    for week in range(2, 30):
        hall.tell(week, [f"week-{week}-{k}" for k in range(6)])
        turn(hall, 40)
        assert sorted(hall.engine.endpoints) == sorted(hall.engine.task_indices.index.values())
        assert not any(hall.engine.is_running(task) for task in range(100) if task not in hall.engine.endpoints)
    assert len(hall.engine.task_indices.names) <= 18


class Flaky(Module):
    def decide(self, now, told):
        if any(type(event) is api.ProxyLeft for event in told):
            raise RuntimeError("a fault of the module")
        return super().decide(now, told)


def test_after_a_failure_of_the_module_no_proxy_keeps_a_line_of_before_though_messages_were_lost():
    hall = Hall(make=Flaky)
    socks = {node: hall.proxy(node) for node in (1, 2, 3)}
    turn(hall, 2)
    held = {node: {} for node in socks}

    def obey():
        for node, sock in socks.items():
            for one in orders(sock) or ():
                apply_lines(held[node], one)

    obey()
    assert all(len(rows) == 6 for rows in held.values())
    hall.tell(2, TASKS[:4])
    hall.engine.run(hall.now)
    assert hall.engine.queue.queue  # removals wait, and are lost with the channel
    socks.pop(3).close()
    held.pop(3)
    hall.until(lambda: len(hall.front.by_proxy) == 2)
    hall.engine.run(hall.now)
    assert hall.engine.counts["module_failures"] == 1
    turn(hall, 3)
    obey()
    assert all(set(rows) == set(TASKS[:4]) for rows in held.values())
    hall.front.stop()


# Discovery.


def test_a_watch_that_beats_but_never_brings_its_first_list_is_dropped():
    beats = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    script = Script([beats, *[b"1\r\n\n\r\n"] * 100], chunked(line(4, ("a",))))
    watch, engine = watch_of(script, beat=100_000)
    job = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while not any(type(one) is EndpointListReceived for one in engine.told):
            assert not watch.state.watching
            gevent.sleep(0.005)
    assert len(script.asked) == 2 and watch.counts["beats"] > 2
    job.kill()


def test_bytes_that_end_no_line_do_not_keep_a_watch_alive():
    script = Script([chunked(line(4, ("a",))), *[b"1\r\nx\r\n"] * 1000], chunked(line(5, ("b",), full=False)))
    watch, engine = watch_of(script, beat=100_000)
    job = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while [one.event.version for one in engine.told if type(one) is EndpointListReceived] != [4, 5]:
            gevent.sleep(0.005)
    assert len(script.asked) == 2 and watch.counts["ended"] == 1
    job.kill()


def test_a_first_list_that_comes_slowly_is_heard_out():
    whole = chunked(line(4, *[(f"s-{k}",) for k in range(40)]))
    script = Script([whole[at : at + len(whole) // 20] for at in range(0, len(whole), len(whole) // 20)])
    watch, engine = watch_of(script, beat=200_000)
    assert 0.3 < (len(script.acts[0]) - 1) * Script.PAUSE < 0.6  # longer than an answer may take that does not move
    job = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while not any(type(one) is EndpointListReceived for one in engine.told):
            gevent.sleep(0.005)
    assert len(script.asked) == 1
    job.kill()


def test_two_moves_at_once_leave_one_watch_at_the_last_address():
    """The first move still waits for the old call to end when the second comes, and the new call stands by then."""
    here = Script(["hang", b""])
    there = Script([chunked(line(7, ("a",))), *[b"1\r\n\n\r\n"] * 100], [chunked(line(7, ("a",)))])
    watch, engine = watch_of(here, beat=2_000_000)
    job = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while not here.asked:
            gevent.sleep(0.005)
        end, stood = watch.on_connection_closed, gevent.event.Event()

        def ended(call):
            end(call)
            stood.wait()  # the old call is not dead before the new one stands

        watch.on_connection_closed = ended
        moves = [
            gevent.spawn(watch.change_address, ("127.0.0.1", script.server.server_port)) for script in (here, there)
        ]
        while not there.asked:
            gevent.sleep(0.005)
        while not any(type(one) is EndpointListReceived for one in engine.told):
            gevent.sleep(0.005)
        watch.on_connection_closed = end
        stood.set()
        gevent.joinall(moves)
        gevent.sleep(0.05)
    assert watch.state.connected and watch.state.watching and watch.connection is not None
    assert len(there.asked) == 1 and len(here.asked) == 1
    assert sum(type(one) is WatchFailed for one in engine.told) == 1
    job.kill()


def test_a_move_while_a_call_is_dialled_that_never_comes_up():
    deaf = socket.create_server(("127.0.0.1", 0), backlog=0)
    filler = [socket.socket() for _ in range(4)]
    for sock in filler:  # fills the backlog: the next connection is neither taken nor refused
        sock.setblocking(False)
        sock.connect_ex(deaf.getsockname())
    there = Script([chunked(line(7, ("a",)))])
    watch, engine = watch_of(there, beat=4_000_000)
    address, watch.address = watch.address, deaf.getsockname()
    job = gevent.spawn(watch.run)
    gevent.sleep(0)
    begun = time.monotonic()
    with gevent.Timeout(5):
        while not watch.state.connected:
            gevent.sleep(0.001)
        gevent.sleep(0.01)
        watch.change_address(address)
        while not any(type(one) is EndpointListReceived for one in engine.told):
            gevent.sleep(0.005)
    assert time.monotonic() - begun < 1.5 and len(there.asked) == 1 and watch.counts["calls"] == 2
    job.kill()
    for sock in (deaf, *filler):
        sock.close()


def test_discovery_that_counts_anew_is_heard_again_and_a_copy_that_lags_brings_nothing_back():
    news = [line(50, ("a",), ("b",)), line(3, ("b",), ("c",)), line(4, ("c", 0, "terminated"), ("d",), full=False)]
    script = Script([chunked(news[0])], [chunked(news[1], news[2]), *[b"1\r\n\n\r\n"] * 100])
    watch, engine = watch_of(script, beat=2_000_000)
    changes = []
    engine.update_endpoints = lambda now, what: changes.append(watch.endpoint_list.handle(now, what).change)
    job = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while watch.endpoint_list.older_events < 2:
            gevent.sleep(0.005)
    listing, now = watch.endpoint_list, watch.clock()
    assert set(listing.entries) == {"a", "b"} and listing.version == 50  # for now: it may be a copy that lags
    due = listing.next_deadline(now)
    assert listing.handle(due - 1, Tick()).change is None
    change = listing.handle(due, Tick()).change
    assert due <= now + MAX_PROPAGATION_US and change.kind == api.UpdateKind.FULL and set(listing.entries) == {"b", "d"}
    assert listing.version == 4 and listing.next_deadline(due) is None
    job.kill()


def test_a_copy_that_lags_and_comes_up_in_time_brings_back_nothing_that_left():
    script = Script(
        [chunked(line(50, ("a",), ("b",)), line(51, ("b", 0, "terminated"), full=False))],
        [chunked(line(49, ("a",), ("b",)), line(51, ("b", 0, "terminated"), full=False))],
    )
    watch, engine = watch_of(script, beat=2_000_000)
    seen = []
    engine.update_endpoints = lambda now, what: seen.append(
        (watch.endpoint_list.handle(now, what).change, set(watch.endpoint_list.entries))
    )
    job = gevent.spawn(watch.run)
    with gevent.Timeout(5):
        while watch.endpoint_list.version_resets + (watch.endpoint_list.older_events > 0) < 2:
            gevent.sleep(0.005)
    assert seen[-1][1] == {"a"} and not any("b" in rows for _, rows in seen[2:])
    assert watch.endpoint_list.version == 51 and watch.endpoint_list.next_deadline(0) is None
    job.kill()


# Signals, the configuration, the log.


def test_a_reload_that_comes_while_the_program_starts_is_made_once_it_serves(house, tmp_path):
    """The configuration is a pipe at first: the program stands still in the reading of it until it is told."""
    assigner, discovery = house()
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
    assigner.ready()
    proxy = Peer(assigner.port, 1)
    proxy.holds({"s-9"})
    assert started.poll() is None and assigner.stop()[0] == 0
    other.stop()


def test_a_file_that_is_half_replaced_when_the_signal_comes_is_read_again(house):
    assigner, discovery = house()
    assigner.ready()
    other = Discovery(page(9, [server("s-9")]))
    text = json.dumps({**assigner.document, "discovery": other.address})
    assigner.write(text[: len(text) // 2])
    assigner.signal(signal.SIGHUP)
    assigner.says("configuration not taken")
    assigner.write(text)
    proxy = Peer(assigner.port, 1)
    proxy.holds({"s-9"})
    assert assigner.logged().count("configuration read again") == 1
    other.stop()


def test_two_reloads_at_once_end_at_the_last_address(house):
    assigner, discovery = house()
    assigner.ready()
    others = [Discovery(page(8 + k, [server(f"s-{k}")])) for k in (1, 2)]
    for other in others:
        assigner.write(json.dumps({**assigner.document, "discovery": other.address}))
        assigner.signal(signal.SIGHUP)
    proxy = Peer(assigner.port, 1)
    proxy.holds({"s-2"})
    wait_for(lambda: len(others[1].asked) == 1)
    for other in others:
        other.stop()


def test_sigterm_with_an_order_half_written_and_connections_not_yet_read_ends_at_once(house):
    assigner, discovery = house(known=page(7, [server(f"s-{'x' * 150}{k}", k % 2) for k in range(2000)]))
    discovery.mood = "refuse"
    assigner.ready()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(("127.0.0.1", assigner.port))
    sock.sendall(attach(1))
    sock.settimeout(8)
    assert sock.recv(1)  # an order of hundreds of kilobytes has begun, and stands
    os.kill(assigner.process.pid, signal.SIGSTOP)
    waiting = [socket.create_connection(("127.0.0.1", assigner.port)) for _ in range(5)]
    for one in waiting:
        one.sendall(attach(2))
    assigner.signal(signal.SIGTERM)
    os.kill(assigner.process.pid, signal.SIGCONT)
    begun = time.monotonic()
    assert assigner.process.wait(10) == 0 and time.monotonic() - begun < 0.7
    for one in (sock, *waiting):
        one.settimeout(5)
        try:
            while one.recv(65536):
                pass
        except ConnectionError:
            pass
        one.close()
    again = assigner.start()  # under its name and address, at once
    assigner.ready()
    assert again.poll() is None


def test_a_killed_process_starts_again_at_once_under_the_streams_of_before(house):
    assigner, discovery = house()
    assigner.ready()
    proxies = [Peer(assigner.port, node) for node in range(6)]
    for proxy in proxies:
        proxy.holds(TASKS)
    late = socket.create_connection(("127.0.0.1", assigner.port))
    assigner.process.kill()  # behind the accept of `late`, or before it
    assigner.process.wait(10)
    assigner.start()
    assigner.ready()
    late.close()
    for proxy in proxies:
        assert proxy.closed(2)
    again = Peer(assigner.port, 3)
    again.say("done", node=3, nonce=1, latency=1)  # of the earlier process
    again.holds(TASKS)


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


def test_a_program_whose_log_nobody_reads_goes_on_serving(house):
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
    assigner, discovery = house(log=writer)
    assigner.ready()
    proxy = Peer(assigner.port, 1)
    proxy.holds(TASKS)
    for version in range(8, 60):  # each is a line in the log
        discovery.say(page(version, [server("s-1", 1, "terminating" if version % 2 else "in_service")], full=False))
    discovery.say(page(90, [server("s-2", 0, "terminating"), server("s-1", 1)], full=False))
    proxy.holds(set(TASKS) - {"s-2"})
    assert not select.select([], [writer], [], 0)[1]  # it was full, and is
    assert assigner.stop()[0] == 0
    os.close(reader)
    os.close(writer)


def test_two_receipts_and_an_owed_message_behind_a_reader_that_stands_still(hall):
    """An order half written, another owed: the newer stream gets neither's rest, and their marks prove nothing."""
    older = hall.proxy(3, buffer=4096)
    stream = hall.front.by_proxy[0]
    value = hall.engine.update_builder.store.put(1, 0, {task: 1.0 + task for task in range(6)})
    stream.unsent = b"*2\r\n$6\r\nassign"
    hall.front.write(0, ProxyUpdate(0, 1, hall.now, ((0, 3),), ((0, value),), (), 77))
    assert stream.owed is not None and 77 not in stream.marks
    newer = hall.proxy(3)
    hall.until(lambda: len(hall.front.streams) == 1)
    assert stream.owed is None and not stream.unsent
    newer.sendall(message("done", node=3, nonce=77, latency=5) + encode([b"hb"]))
    hall.until(lambda: hall.front.counts["messages_in"] == 4)
    assert not events(hall, api.Ack)
    older.close()


def test_an_end_that_comes_after_a_newer_call_stands_ends_nothing():
    watch, engine = watch_of(Script())
    watch.state.handle(watch.clock(), WatchInput.CONNECT_STARTED)
    old, watch.connection = gevent.spawn(watch.run_connection), gevent.spawn(gevent.sleep, 1)
    old.kill()
    watch.on_connection_closed(old)
    assert watch.state.connected and watch.connection is not None and not engine.told
    watch.connection.kill()
