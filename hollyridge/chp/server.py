"""The service side of the pub-sub front, on gevent: snapshots by request, numbered changes to all at once.

A table's change is said once and goes to every proxy that uses it, when the first of their messages leaves the
channel; the others' turns pass without a word but take their time. Who lags is known by what it says it has
applied: it takes a snapshot in place of what it missed (so only the newest state is ever owed), and is cut off when
it has not caught up within the patience that `steering/presence.py` has for unread orders.
"""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import gevent
import zmq.green as zmq

from hollyridge.chp import codec
from hollyridge.chp.codec import ChpError
from hollyridge.chp.key_space import KeySpace
from hollyridge.core.event_loop import EventLoop
from hollyridge.delivery.update_builder import ProxyUpdate, ServerCapabilities
from hollyridge.keys.curve import Curve
from hollyridge.limits.connection_limiter import ConnectionLimiter, TokenBucket
from hollyridge.limits.log_sampling import should_log
from hollyridge.membership.leases import ForwardProxy, LeaseGranted, StaleToken
from hollyridge.peers.peer_service import PeerService
from hollyridge.sessions.access import AccessControl
from hollyridge.sessions.session_tracker import SessionTracker
from hollyridge.store.table_versions import EMPTY, Table

OPEN = AccessControl(False, ())


class ChpConfig(NamedTuple):
    """`port` is that of the snapshot socket, the publisher and the collector have the next two. `waiting_most`:
    messages that may wait in the library for one reader. `methods`: names in order."""

    host: str
    port: int
    waiting_most: int
    beat_ms: int
    proxies_most: int
    usual_rate: float
    methods: tuple[str, ...]


class SubscriberSession:
    """One joined proxy."""

    __slots__ = (
        "uid",
        "user",
        "number",
        "identity",
        "proxy",
        "home",
        "seqs",
        "marks",
        "asks",
        "credit",
        "waits_for_home",
        "owed",
        "fence",
    )

    def __init__(self, uid: str, user: str, number: int, identity: bytes, asks: TokenBucket) -> None:
        self.user = user
        self.uid, self.number, self.identity, self.asks = uid, number, identity, asks
        self.proxy, self.home = -1, f"/proxy/{uid}/"
        self.seqs: dict[str, int] = {}
        self.marks: deque[tuple[dict[str, int], int, int]] = deque()
        self.credit: set[str] = set()  # tables whose first snapshot the channel has counted already
        self.waits_for_home, self.fence = True, 0
        self.owed: dict[str, None] = {}  # snapshots on their way, the first of them now


class ChpServer:
    """Serves `terms` for the machine of `loop`. `name_of(task)` is a task's `host:port`. With `curve`
    only holders of known keys get through, and `access` says who may go by which name. `epoch` names this run.
    `fleet`: the assigners that share the proxies with this one."""

    def __init__(
        self,
        loop: EventLoop,
        terms: ChpConfig,
        presence: SessionTracker,
        keeper: ConnectionLimiter,
        zone_of: Callable[[str], int],
        name_of: Callable[[int], str],
        log,
        context: zmq.Context,
        curve: Curve | None = None,
        access: AccessControl = OPEN,
        epoch: str = "",
        fleet: PeerService | None = None,
        zone_name: Callable[[int], str] = str,
    ) -> None:
        self.fleet, self.zone_name = fleet, zone_name
        self.loop, self.engine, self.clock = loop, loop.engine, loop.clock
        self.terms, self.presence, self.keeper = terms, presence, keeper
        self.zone_of, self.name_of, self.log, self.access, self.curve = zone_of, name_of, log, access, curve
        self.capabilities = ServerCapabilities(admission=True, retries=True, ejection=True, acks=True, line_copies=1)
        self.ledger = KeySpace(epoch or os.urandom(8).hex(), terms.beat_ms)
        self.ledger.set(codec.OUT, 0, {})
        self.readers: dict[str, SubscriberSession] = {}
        self.by_proxy: dict[int, SubscriberSession] = {}
        self.by_number: dict[int, SubscriberSession] = {}
        self.by_identity: dict[bytes, SubscriberSession] = {}
        self.published: dict[int, Table] = {}
        self.number = 0
        self.counts = dict.fromkeys(
            (
                "asked",
                "snapshots",
                "published",
                "bytes_out",
                "bad",
                "refused",
                "cut",
                "sent_on",
                "acks",
                "waited",
                "unreachable",
            ),
            0,
        )
        self.sockets = {}
        for name, kind in (("snapshot", zmq.ROUTER), ("publisher", zmq.PUB), ("collector", zmq.PULL)):
            sock = self.sockets[name] = context.socket(kind)
            sock.linger = 0
            sock.sndhwm = sock.rcvhwm = terms.waiting_most
            sock.maxmsgsize = codec.PART_MOST
            if curve is not None:
                curve.secure(sock)
        self.sockets["snapshot"].router_mandatory = True
        self.jobs: list = []

    # Life.

    def start(self) -> int:
        """Listen; returns the first of the three ports. OSError if one is taken."""
        try:
            for at, sock in enumerate(self.sockets.values()):
                sock.bind(f"tcp://{self.terms.host}:{self.terms.port + at}")
        except zmq.ZMQError as trouble:
            raise OSError(trouble.errno, f"{trouble}: ports {self.terms.port} to {self.terms.port + 2}") from None
        self.jobs = [self.loop.spawn(job) for job in (self.answer, self.collect, self.beat)]
        self.log.info("clone listens", host=self.terms.host, port=self.terms.port)
        return self.terms.port

    def recheck(self) -> None:
        """The table of who may what has changed: who lost its name is served no more."""
        for reader in list(self.by_number.values()):
            why = self.access.may_be(reader.user, reader.uid)
            if why:
                self.leave(self.clock(), reader, f"keys withdrawn: {why}")

    def rebind(self) -> None:
        """New connections meet the key that `curve` has now; those that stand go on."""
        for at, sock in enumerate(self.sockets.values()):
            endpoint = f"tcp://{self.terms.host}:{self.terms.port + at}"
            sock.unbind(endpoint)
            self.curve.secure(sock)
            for _ in range(50):  # the listener is closed by another thread of the library
                try:
                    sock.bind(endpoint)
                    break
                except zmq.ZMQError:
                    self.loop.sleep(0.02)
            else:
                self.log.error("cannot listen again", endpoint=endpoint)

    def stop(self) -> None:
        gevent.killall(self.jobs, block=False)
        for sock in self.sockets.values():
            sock.close()

    # What comes in.

    def parts(self, sock) -> tuple[list[bytes], str, str]:
        """Parts of a message, the peer's address and the user its key stands for."""
        frames = sock.recv_multipart(copy=False)
        said = []
        for name in ("Peer-Address", "User-Id"):
            try:
                said.append(frames[-1].get(name))
            except zmq.ZMQError:
                said.append("")
        return [bytes(frame) for frame in frames], said[0], said[1]

    def answer(self) -> None:
        while True:
            parts, address, user = self.parts(self.sockets["snapshot"])
            try:
                message = codec.decode(parts[1:])
                if type(message) is not codec.Icanhaz:
                    raise ChpError("only ICANHAZ is answered here")
                self.asked(parts[0], message.subtree, address, user)
            except ChpError as trouble:
                self.bad(address, str(trouble))

    def bad(self, address: str, why: str) -> None:
        self.counts["bad"] += 1
        if should_log(self.counts["bad"]):
            self.log.warning("bad message", peer=address, why=why, times=self.counts["bad"])

    def asked(self, identity: bytes, subtree: str, address: str, user: str) -> None:
        self.counts["asked"] += 1
        now, steps = self.clock(), subtree.split("/")
        if len(steps) != 4 or steps[0] or steps[3] or steps[1] not in ("proxy", "table", "out"):
            raise ChpError("no such subtree")
        if steps[1] == "proxy":
            self.hello(now, identity, steps[2], address, user)
            return
        reader = self.by_identity.get(identity)
        if reader is None or subtree != codec.OUT and subtree not in self.wanted(reader):
            self.counts["refused"] += 1
            return
        if subtree in reader.credit:
            reader.credit.discard(subtree)
        elif not reader.asks.take(now):
            self.counts["refused"] += 1
            return
        else:  # a repair: the channel has not counted it
            size = len(self.ledger.held.get(subtree, ()))
            self.engine.queue.charge(now, size + self.engine.queue.overhead_lines)
        self.send(reader, subtree)

    def wanted(self, reader: SubscriberSession) -> set[str]:
        return {f"/table/{table}/" for table in self.engine.update_builder.bindings.get(reader.proxy, {}).values()}

    def hello(self, now: int, identity: bytes, uid: str, address: str, user: str) -> None:
        why = self.access.may_be(user, uid)
        if not uid or len(uid) > 64 or why:
            raise ChpError(why or "no proxy has such a name")
        reader = self.readers.get(uid)
        if reader is not None and reader.identity == identity:  # it lost something of its own subtree
            if not reader.waits_for_home and reader.asks.take(now):
                self.send(reader, reader.home)
            return
        zone = self.zone_of(address)
        if zone < 0 or len(self.readers) >= self.terms.proxies_most:
            self.counts["refused"] += 1
            return
        fence = 0
        if self.fleet is not None:
            told = self.fleet.request_lease(uid, self.zone_name(zone), *codec.question_of(identity))
            if type(told) is not LeaseGranted:
                self.turn_away(now, identity, uid, told)
                return
            fence = told.fencing_token
        self.number += 1
        came = self.presence.start(now, self.number, uid, push=False)
        if came.turned_away:
            self.counts["refused"] += 1
            return
        if reader is not None:
            self.leave(now, reader, "its name came again in a newer session", ours=True)
        reader = self.readers[uid] = SubscriberSession(uid, user, self.number, identity, self.keeper.reply_bucket())
        reader.fence = fence
        proxy = self.engine.join(now, self, uid, zone, self.terms.usual_rate)
        if proxy is None:
            del self.readers[uid]
            self.presence.end(self.number)
            return
        reader.proxy = proxy
        self.by_proxy[proxy] = self.by_number[reader.number] = self.by_identity[identity] = reader
        self.log.info("joined", uid=uid, proxy=proxy, zone=zone, front="clone")
        self.loop.wake()

    def turn_away(self, now: int, identity: bytes, uid: str, told: StaleToken | ForwardProxy) -> None:
        """Say who should be asked, in the place of a table."""
        self.counts["sent_on"] += 1
        reader = self.readers.get(uid)
        if type(told) is ForwardProxy:
            if reader is not None:
                self.leave(now, reader, "its newer session was sent on")
            home = f"/proxy/{uid}/"
            self.ledger.set(home, 0, {home + "go": self.go(told.owner)})
            for message in self.ledger.snapshot(home):
                self.pass_on_to(identity, codec.encode(message))
            self.ledger.drop(home)

    def go(self, name: str) -> bytes:
        return codec.json(codec.Go(self.fleet.address_of(name, "clone"), name))

    def redirect(self, proxy: int, to: str, why: str) -> None:
        reader = self.by_proxy.get(proxy)
        if reader is not None:
            if to:
                self.publish(
                    self.ledger.set(
                        reader.home, 0, {**self.ledger.held.get(reader.home, {}), reader.home + "go": self.go(to)}
                    )
                )
            self.leave(self.clock(), reader, why, ours=True)

    def leave(self, now: int, reader: SubscriberSession, why: str, ours: bool = False) -> None:
        """`ours`: who orders it has been decided already."""
        if self.fleet is not None and not ours:
            self.fleet.end_proxy(reader.uid)
        if self.readers.get(reader.uid) is reader:
            del self.readers[reader.uid]
        self.by_number.pop(reader.number, None)
        self.by_identity.pop(reader.identity, None)
        self.presence.end(reader.number)
        self.ledger.drop(reader.home)
        if self.by_proxy.get(reader.proxy) is reader:
            del self.by_proxy[reader.proxy]
            self.engine.leave(now, reader.proxy)
        self.log.info("stream ended", uid=reader.uid, why=why, front="clone")
        self.loop.wake()

    def collect(self) -> None:
        while True:
            parts, address, user = self.parts(self.sockets["collector"])
            try:
                message = codec.decode(parts, collector=True)
                steps = getattr(message, "key", "").split("/")
                if len(steps) != 4 or steps[1] != "proxy" or steps[3] != "ack":
                    raise ChpError("no such key can be set")
                why = self.access.may_be(user, steps[2])
                if why:
                    raise ChpError(why)
                reader = self.readers.get(steps[2])
                if reader is not None and message.uuid == codec.uuid_of(reader.identity.hex()):
                    self.ack(self.clock(), reader, codec.value_of(codec.Ack, message.value))
            except ChpError as trouble:
                self.bad(address, str(trouble))

    def ack(self, now: int, reader: SubscriberSession, word: codec.Ack) -> None:
        """What it has applied: a sign of life, a receipt, and how far it lags."""
        self.counts["acks"] += 1
        self.presence.polled(now, reader.number)
        if self.fleet is not None:
            self.fleet.acknowledge_token(reader.uid, word.asked if reader.fence else 0)
            if reader.number not in self.by_number:
                return
        if word.epoch and word.epoch != self.ledger.epoch:
            return
        reader.seqs = word.seqs
        while reader.marks and self.reached(reader, reader.marks[0][0]):
            _, mark, at = reader.marks.popleft()
            self.engine.acknowledge(now, reader.proxy, mark, now - at)
            self.loop.wake()

    @staticmethod
    def reached(reader: SubscriberSession, needed: dict[str, int]) -> bool:
        return all(reader.seqs.get(subtree, -1) >= seq for subtree, seq in needed.items())

    def beat(self) -> None:
        """Heartbeats, and a look at who lags or is silent."""
        while True:
            self.loop.sleep(self.terms.beat_ms / 1000)
            now = self.clock()
            self.publish([codec.Hugz()])
            self.publish([self.ledger.beat(subtree) for subtree in list(self.ledger.heads)])
            for reader in list(self.by_number.values()):
                needed = self.heads_of(reader)
                behind = bool(needed) and not self.reached(reader, needed)
                taken = sum(reader.seqs.get(subtree, 0) for subtree in needed)
                self.presence.check_backlog(now, reader.number, taken, behind)
            for number, why in self.presence.overdue(now):
                reader = self.by_number.get(number)
                if reader is not None:
                    self.counts["cut"] += 1
                    self.leave(now, reader, why)

    def heads_of(self, reader: SubscriberSession) -> dict[str, int]:
        """The newest head of each subtree that it uses."""
        subtrees = [reader.home, codec.OUT, *self.wanted(reader)]
        return {one: self.ledger.heads[one].seq for one in subtrees if one in self.ledger.heads}

    # What goes out.

    def publish(self, messages: list) -> None:
        sock = self.sockets["publisher"]
        for message in messages:
            parts = codec.encode(message)
            self.counts["published"] += 1
            self.counts["bytes_out"] += sum(map(len, parts))
            sock.send_multipart(parts)  # never blocks: a full reader loses it, sees the gap, and asks

    def send(self, reader: SubscriberSession, subtree: str) -> None:
        """Answer with a snapshot, after those that this reader still waits for."""
        if subtree not in reader.owed:
            reader.owed[subtree] = None
            if len(reader.owed) == 1:
                self.loop.spawn(self.deliver, reader)

    def deliver(self, reader: SubscriberSession) -> None:
        """One after the other, as fast as the reader takes them; a full pipe holds up nobody else."""
        while reader.owed and self.readers.get(reader.uid) is reader:
            subtree = next(iter(reader.owed))
            self.counts["snapshots"] += 1
            for message in self.ledger.snapshot(subtree):
                parts = codec.encode(message)
                while not self.pass_on(reader, parts):
                    self.counts["waited"] += 1
                    self.loop.sleep(0.01)
                    if self.readers.get(reader.uid) is not reader:
                        return
            del reader.owed[subtree]

    def pass_on(self, reader: SubscriberSession, parts: list[bytes]) -> bool:
        return self.pass_on_to(reader.identity, parts)

    def pass_on_to(self, identity: bytes, parts: list[bytes]) -> bool:
        try:
            self.sockets["snapshot"].send_multipart([identity, *parts], flags=zmq.NOBLOCK)
        except zmq.Again:
            return False
        except zmq.ZMQError:  # its connection is gone: it will say hello again, or be overdue
            self.counts["unreachable"] += 1
            return True
        self.counts["bytes_out"] += sum(map(len, parts))
        return True

    def count_lines(self, proxy: int, update: ProxyUpdate) -> tuple[int, int]:
        tables = set(self.engine.update_builder.bindings.get(proxy, {}).values())
        return (
            sum(lines for _, lines in update.line_counts),
            sum(1 + len(self.engine.update_builder.store.latest(table)) for table in tables),
        )

    def write(self, proxy: int, update: ProxyUpdate) -> None:
        reader = self.by_proxy.get(proxy)
        if update.ejections:
            out = sorted(self.engine.update_builder.ejected)
            self.publish(
                self.ledger.set(
                    codec.OUT,
                    update.decision,
                    {codec.OUT + self.name_of(task): codec.json(codec.Out()) for task in out},
                )
            )
        for table, value in update.tables:
            self.say(table, value)
        if reader is None:
            return
        if update.bindings:
            bound = self.engine.update_builder.bindings.get(proxy, {})
            keys = {
                f"{reader.home}bind/{self.terms.methods[k]}": codec.json(codec.Bind(table))
                for k, table in sorted(bound.items())
            }
            for table in set(bound.values()):
                if f"/table/{table}/" not in self.ledger.heads:
                    self.say(table, self.engine.update_builder.store.latest(table))
            reader.credit.update(f"/table/{table}/" for table, _ in update.bindings)
            if reader.fence:
                lease = self.fleet.config.lease.duration_us // 1000
                keys[reader.home + "own"] = codec.json(codec.Own(reader.fence, self.fleet.config.name, lease))
            told = self.ledger.set(reader.home, update.decision, keys)
            if reader.waits_for_home:
                reader.waits_for_home = False
                self.send(reader, reader.home)
            else:
                self.publish(told)
        if update.mark >= 0:
            reader.marks.append((self.heads_of(reader), update.mark, update.decided_at_us))
            while len(reader.marks) > 32:
                reader.marks.popleft()

    def say(self, table: int, value: Table) -> None:
        """Publish a table's newest value, once. A closed task is left out whatever an older order says."""
        if value.version <= self.published.get(table, EMPTY).version and table in self.published:
            return
        self.published[table] = value
        start = f"/table/{table}/"
        keys = {
            f"{start}line/{self.name_of(task)}": codec.json(codec.Line(round(weight, 6)))
            for task, weight in value.lines.items()
            if not self.engine.is_closed(task)
        }
        keys.update(
            (f"{start}level/{mask}", codec.json(codec.Level(round(amount, 4), retry)))
            for mask, (amount, retry) in value.levels.items()
        )
        self.publish(self.ledger.set(start, value.version, keys))

    def detach(self, proxy: int, why: str) -> None:
        reader = self.by_proxy.get(proxy)
        if reader is not None:
            self.leave(self.clock(), reader, why)

    def status(self) -> dict:
        return {**self.counts, "readers": len(self.readers), "subtrees": len(self.ledger.heads)}
