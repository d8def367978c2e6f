"""The service side of the platform's protocol, on gevent: connections, joining, and orders that never block.

A reader that leaves its orders unread is owed one message at most: what comes meanwhile merges into the newest state.
"""

from __future__ import annotations

import os
import socket as plain
from typing import NamedTuple

import gevent
from gevent.event import Event

from hollyridge import interface as api
from hollyridge.core.event_loop import EventLoop
from hollyridge.core.stream_server import ProtocolStreamServer, connection_lost_reason
from hollyridge.delivery.update_builder import ProxyUpdate, ServerCapabilities, merge_updates
from hollyridge.limits.log_sampling import should_log
from hollyridge.limits.pending_connections import PendingConnections
from hollyridge.resp import messages
from hollyridge.resp.codec import MESSAGE_MOST, FrameReader, RespError, encode
from hollyridge.resp.update_encoder import ProxyView, UpdateEncoder

BEAT = encode([b"hb_ok"])
STRANGERS_MOST = 4096  # bytes of a message from who has not joined
UNSENT_MOST = 65536  # bytes of answers to signs of life that a peer may leave unread
CHUNK = 32768
SEND_BUFFER = 32768
PENDING_LEAST = 8  # connections that may wait to join however many have: `kept` descriptors leave room for them
MARKS_MOST = 4096  # marks that one stream may owe an answer to


class RespConfig(NamedTuple):
    """`descriptors`: that the process may hold; `kept`: of these for everything but connections here. `patience`:
    microseconds that a connection may take to join."""

    host: str
    port: int
    descriptors: int
    kept: int
    patience: int
    names: messages.ProtocolNames


class Connection:
    """One connection, whoever is at its other end."""

    __slots__ = (
        "number",
        "sock",
        "address",
        "zone",
        "node",
        "proxy",
        "sheet",
        "planned",
        "unsent",
        "owed",
        "closed",
        "heard",
        "marks",
    )

    def __init__(self, number: int, sock, address: tuple, now: int) -> None:
        self.number, self.sock, self.address, self.heard = number, sock, address, now
        self.zone = self.node = self.proxy = -1  # a collector has a zone only
        self.sheet, self.planned = ProxyView(), ProxyView()  # as written, and as written once all that waits has left
        self.unsent = b""
        self.owed: ProxyUpdate | None = None
        self.marks: dict[int, None] = {}  # written on this stream and not told of yet, oldest first
        self.closed = ""

    @property
    def joined(self) -> bool:
        return self.zone >= 0


class RespServer(ProtocolStreamServer):
    """Serves `terms` for the machine of `loop`."""

    COLLECTORS = 2  # connections of one zone's: a new one may come before the old one is seen to end

    def __init__(self, loop: EventLoop, terms: RespConfig, config: api.AssignerConfig, log) -> None:
        super().__init__(loop, terms.host, terms.port)
        self.log = log
        self.capabilities = ServerCapabilities(admission=True, retries=True, ejection=True, acks=True, line_copies=1)
        self.reading = messages.MessageReader(terms.names, config)
        self.scribe = UpdateEncoder(terms.names.methods, self.name_of)
        self.room = max(16, terms.descriptors - terms.kept)  # connections in all
        self.pending = PendingConnections(terms.patience)
        self.collectors: dict[int, list[Connection]] = {}
        self.came = Event()
        self.named: set[int] | None = None  # tasks that some stream was told of last; None once that may have changed
        self.counts = dict.fromkeys(
            (
                "connections",
                "messages_in",
                "bytes_out",
                "spoilt",
                "unreadable",
                "refused",
                "overdue",
                "merged",
                "slow",
                "stray_receipts",
            ),
            0,
        )
        self.why: dict[str, int] = {}

    # Life.

    def start(self) -> int:
        """Listen; returns the port. OSError if the address is taken."""
        self.server.start()
        gevent.spawn(self.sweep)
        return self.server.server_port

    def sweep(self) -> None:
        """Close who has not joined in time."""
        while True:
            at = self.pending.next_deadline
            if at is None:
                self.came.clear()
                self.came.wait()
                continue
            gevent.sleep(max(0.01, (at - self.clock()) / 1e6))
            for number in self.pending.overdue(self.clock()):
                self.turn_out(number, "did not join in time")

    def turn_out(self, number: int, why: str) -> None:
        stream = self.streams.get(number)
        if stream is not None:
            self.counts["overdue"] += 1
            self.refuse(stream, why)

    def refuse(self, stream: Connection, why: str) -> None:
        if stream.closed:
            return
        self.send(stream, encode([b"reject", b"why", why.encode()[:200]]))
        self.close(stream, why)

    def tell(self, why: str, stream: Connection) -> None:
        """A line at the 1st, 2nd, 4th, 8th ... of each reason."""
        if len(self.why) >= 256 and why not in self.why:
            why = "other"
        times = self.why[why] = self.why.get(why, 0) + 1
        if should_log(times):
            self.log.warning("not taken", why=why, peer=stream.address[0], node=stream.node, times=times)

    def serve(self, sock, address: tuple) -> None:
        now = self.clock()
        self.number += 1
        self.counts["connections"] += 1
        stream = self.streams[self.number] = Connection(self.number, sock, address, now)
        taken = len(self.streams) - 1 - len(self.pending.waiting)
        for number in self.pending.add(now, stream.number, max(PENDING_LEAST, self.room - taken)):
            self.turn_out(number, "no room for more who have not joined")
        self.came.set()
        try:
            sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
            sock.setsockopt(plain.SOL_SOCKET, plain.SO_SNDBUF, SEND_BUFFER)
            self.read_on(stream)
        except OSError as trouble:
            stream.closed = stream.closed or connection_lost_reason(trouble)
        except RespError as trouble:
            self.counts["unreadable"] += 1
            self.tell(f"unreadable: {trouble}", stream)
            if not stream.joined:
                self.refuse(stream, str(trouble))
            stream.closed = stream.closed or str(trouble)
        finally:
            stream.closed = stream.closed or "closed by the other side"
            self.end(stream)
            try:
                sock.shutdown(plain.SHUT_WR)
            except OSError:
                pass
            sock.close()

    def end(self, stream: Connection) -> None:
        """Tell of the stream's end; an older stream of a proxy that has a newer one ends nothing."""
        self.pending.remove(stream.number)
        self.named = None
        stream.owed, stream.unsent = None, b""
        if stream in self.collectors.get(stream.zone, ()):
            self.collectors[stream.zone].remove(stream)
        if self.forget(self.clock(), stream):
            self.loop.wake()

    # In.

    def read_on(self, stream: Connection) -> None:
        reader = FrameReader(STRANGERS_MOST)
        while not stream.closed:
            chunk = stream.sock.recv(CHUNK)
            if not chunk or stream.closed:
                return
            stream.heard = self.clock()
            self.pending.heard_from(stream.number)
            for message in reader.feed(chunk):
                self.counts["messages_in"] += 1
                self.take(stream, message)
                if stream.closed:
                    return
            if reader.fault is not None:
                raise reader.fault
            if stream.joined:
                reader.most = MESSAGE_MOST
            gevent.sleep(0)  # however much one sends, others have their turn

    def take(self, stream: Connection, message: list[bytes]) -> None:
        try:
            word = self.reading.read(message)
            kind = type(word)
            if kind is messages.Heartbeat:
                if len(stream.unsent) < UNSENT_MOST:
                    self.send(stream, BEAT)
            elif kind is messages.JoinRequest:
                self.hello(stream, word)
            elif kind is messages.CollectorHello:
                self.collector(stream, word)
            elif not stream.joined:
                raise messages.MalformedMessageError("a report before any joining")
            else:
                self.news(stream, word)
        except messages.MalformedMessageError as trouble:
            self.counts["spoilt"] += 1
            self.tell(f"{message[0][:20].decode('utf-8', 'replace')}: {trouble}", stream)
            if not stream.joined:
                self.counts["refused"] += 1
                self.refuse(stream, str(trouble))

    def hello(self, stream: Connection, word: messages.JoinRequest) -> None:
        if stream.joined:
            raise messages.MalformedMessageError("joined already")
        now = self.clock()
        if len(self.streams) - len(self.pending.waiting) >= self.room:  # it would take the last descriptors
            raise messages.MalformedMessageError("no room for another stream")
        self.pending.remove(stream.number)
        proxy = self.engine.join(now, self, word.node, word.zone, word.rate, word.cold)
        if proxy is None:
            raise messages.MalformedMessageError("no room for another proxy")
        stream.zone, stream.node, stream.proxy = word.zone, word.node, proxy
        self.by_proxy[proxy] = stream
        self.loop.wake()

    def collector(self, stream: Connection, word: messages.CollectorHello) -> None:
        if stream.joined:
            raise messages.MalformedMessageError("joined already")
        self.pending.remove(stream.number)
        stream.zone = word.zone
        row = self.collectors.setdefault(word.zone, [])
        row.append(stream)
        if len(row) > self.COLLECTORS:
            self.close(min(row, key=lambda one: one.heard), "a newer collector of its zone came")

    def news(self, stream: Connection, word: messages.InboundMessage) -> None:
        now, engine = self.clock(), self.engine
        if type(word) is messages.TrafficSample:
            if stream.proxy >= 0:
                raise messages.MalformedMessageError("not for a proxy to say")
            task = engine.task_indices.lookup(
                word.endpoint
            )  # also one that has just gone: its last tries are news of then
            if task is None:
                raise messages.MalformedMessageError("names no task that was listed")
            engine.submit(
                now, api.TrafficReport(word.zone, task, word.tries, word.bad, word.latency, word.over, word.load)
            )
        else:
            proxy = engine.proxy_indices.index.get(word.node)
            if stream.proxy >= 0 and stream.node != word.node:
                raise messages.MalformedMessageError("speaks for another proxy")
            if proxy is None or proxy not in self.by_proxy:
                return  # it has left meanwhile
            if type(word) is messages.OfferedLoadSample:
                engine.submit(now, api.OfferedLoad(word.rpcs, word.over, proxy, word.method, word.unanswered))
            elif stream.proxy < 0:
                raise messages.MalformedMessageError("not for a collector to say")
            elif word.mark in stream.marks:
                del stream.marks[word.mark]
                engine.acknowledge(now, proxy, word.mark, word.took)
            else:  # of an earlier stream, perhaps to an earlier process whose marks had the same numbers
                self.counts["stray_receipts"] += 1
        self.loop.wake()

    # Out.

    def name_of(self, task: int) -> str:
        return self.engine.task_indices.names[task]

    def count_lines(self, proxy: int, update: ProxyUpdate) -> tuple[int, int]:
        stream = self.by_proxy[proxy]
        lines = self.scribe.lines(stream.planned, update)
        return lines, sum(1 + len(value) for value in stream.planned.told.values())

    def write(self, proxy: int, update: ProxyUpdate) -> None:
        stream = self.by_proxy.get(proxy)
        if stream is None or stream.closed:
            return
        if stream.unsent:
            stream.owed = update if stream.owed is None else merge_updates(stream.owed, update)
            self.counts["merged"] += 1
            return
        self.send(stream, self.written(stream, update))

    def written(self, stream: Connection, update: ProxyUpdate) -> bytes:
        self.named = None
        if update.mark >= 0:
            stream.marks[update.mark] = None
            if len(stream.marks) > MARKS_MOST:
                del stream.marks[next(iter(stream.marks))]
        return self.scribe.write(stream.sheet, update)

    def holds(self, task: int) -> bool:
        """Whether a stream was told of this task last, however long it has taken nothing: its index is not free."""
        if self.named is None:  # once for all tasks of a list, however many indices are asked about
            tables = {id(table): table for stream in self.by_proxy.values() for table in stream.sheet.told.values()}
            self.named = {task for table in tables.values() for task in table.lines}
        return task in self.named

    def send(self, stream: Connection, data: bytes) -> None:
        """Without waiting; what the other side does not take yet is sent by a greenlet of its own."""
        if stream.unsent:
            stream.unsent += data
            return
        try:
            sent = os.write(stream.sock.fileno(), data)
        except BlockingIOError:
            sent = 0
        except OSError:  # its reader will see that too
            self.close(stream, "connection lost")
            return
        self.counts["bytes_out"] += sent
        if sent < len(data):
            self.counts["slow"] += 1
            stream.unsent = data[sent:]
            gevent.spawn(self.flush, stream)

    def flush(self, stream: Connection) -> None:
        try:
            while stream.unsent and not stream.closed:
                sent = stream.sock.send(stream.unsent)  # waits, and ends with an error when the socket is closed
                self.counts["bytes_out"] += sent
                stream.unsent = stream.unsent[sent:]
                if not stream.unsent and stream.owed is not None:
                    update, stream.owed = stream.owed, None
                    stream.unsent = self.written(stream, update)
        except OSError:
            self.close(stream, "connection lost")

    def detach(self, proxy: int, why: str) -> None:
        stream = self.by_proxy.pop(proxy, None)
        if stream is not None:
            self.close(stream, why)

    def redirect(self, proxy: int, to: str, why: str) -> None:
        self.detach(proxy, why)  # the protocol names nobody to go to

    def status(self) -> dict:
        return {
            **self.counts,
            "streams": len(self.streams),
            "proxies": len(self.by_proxy),
            "waiting": len(self.pending.waiting),
        }
