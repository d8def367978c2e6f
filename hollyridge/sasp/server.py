"""The service side of SASP: streams of load balancers, members and agents, on gevent sockets.

What a load balancer holds is kept as a sheet of its own; orders change the sheet, and one writer a stream says what
changed since it last spoke. So a reader that stands still holds up nobody, and costs one sheet, not a queue.
"""

from __future__ import annotations

import fcntl
import socket as plain
import struct
import termios
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent.event import Event

from hollyridge.core.event_loop import EventLoop
from hollyridge.core.stream_server import ProtocolStreamServer, connection_lost_reason
from hollyridge.delivery.update_builder import ProxyUpdate, ServerCapabilities
from hollyridge.keys.tls import peer_common_name
from hollyridge.limits.connection_limiter import ConnectionLimiter, TokenBucket
from hollyridge.limits.log_sampling import should_log
from hollyridge.membership.leases import ForwardProxy, LeaseGranted, StaleToken
from hollyridge.peers.peer_service import PeerService
from hollyridge.registration import members
from hollyridge.sasp import codec, ownership_extension
from hollyridge.sasp.codec import BalancerFlags, Code, WeightFlags
from hollyridge.sasp.weight_advice import GroupWeights
from hollyridge.sessions.access import AccessControl
from hollyridge.sessions.session_tracker import SessionTracker
from hollyridge.store.table_versions import EMPTY, Table


class SaspConfig(NamedTuple):
    """What the front is told at start. `groups`: the method whose table a group shows, by group name; times in
    seconds, sizes in bytes."""

    host: str
    port: int
    fleet: str
    members_group: str
    groups: dict[str, int]
    balancers_register: bool
    message_most: int
    send_buffer: int
    frame_s: float
    hello_s: float
    members_each: int
    usual_rate: float


class SaspProxyView:
    """One group of one load balancer: what it is to hold, and what of that it was not yet told."""

    __slots__ = ("advice", "value", "told", "whole", "table")

    def __init__(self) -> None:
        self.advice = GroupWeights()
        self.value: Table | None = None  # None until the module has given it a table
        self.told = EMPTY
        self.whole, self.table = False, -1

    @property
    def due(self) -> bool:
        return self.value is not None and (self.whole or self.value is not self.told)


class Connection:
    """One connection, whoever is at its other end."""

    def __init__(self, number: int, sock, address: tuple, answers: TokenBucket) -> None:
        self.number, self.sock, self.address, self.answers = number, sock, address, answers
        self.uid = self.bearer = ""
        self.proxy = -1
        self.flags = 0
        self.sheets: dict[str, SaspProxyView] = {}
        self.speaks_of_members = False
        self.replies: deque[bytes] = deque()
        self.due, self.given = Event(), Event()
        self.sent = self.next_id = 0
        self.marks: deque[tuple[int, int, int]] = deque()  # (bytes sent by then, mark, when ordered)
        self.pending: list[tuple[int, int]] = []  # marks that the next message or answer will cover
        self.version = 0
        self.closed = ""
        self.question, self.fence, self.fence_due = (0, False), 0, False

    @property
    def push(self) -> bool:
        return bool(self.flags & BalancerFlags.PUSH)


OPEN = AccessControl(False, ())


class SaspServer(ProtocolStreamServer):
    """Serves `terms` for the machine of `loop`. `zone_of(host)` is the zone of an address, -1 for none.
    `secure(sock)` makes an accepted socket a TLS one (OSError where that fails); `access`
    says what its bearer may. `fleet`: the assigners that share the proxies with this one."""

    REPLIES = 64  # answers that may wait for a reader before its requests are read no more
    LOOK = 0.02  # s between two looks at what the other side has acknowledged

    def __init__(
        self,
        loop: EventLoop,
        terms: SaspConfig,
        presence: SessionTracker,
        keeper: ConnectionLimiter,
        zone_of: Callable[[str], int],
        log,
        access: AccessControl = OPEN,
        secure: Callable | None = None,
        fleet: PeerService | None = None,
        zone_name: Callable[[int], str] = str,
    ) -> None:
        self.fleet, self.zone_name = fleet, zone_name
        self.access, self.secure = access, secure
        super().__init__(loop, terms.host, terms.port)
        self.terms, self.presence, self.keeper, self.zone_of = terms, presence, keeper, zone_of
        self.log = log
        self.capabilities = ServerCapabilities(
            admission=False, retries=False, ejection=False, acks=True, line_copies=len(terms.groups)
        )
        self.bearers: dict[int, codec.Member] = {}  # task: its member
        self.agents: dict[tuple, bool] = {}
        self.unsettled: dict[int, Connection] = {}
        self.counts = dict.fromkeys(
            ("connections", "refused", "frames_in", "frames_out", "bad_frames", "closed", "asked_too_often"), 0
        )

    # Life.

    def start(self) -> int:
        """Listen; returns the port. OSError if the address is taken."""
        self.server.start()
        gevent.spawn(self.look)
        self.log.info("sasp listens", host=self.terms.host, port=self.server.server_port)
        return self.server.server_port

    def close(self, stream: Connection, why: str) -> None:
        if not stream.closed:
            self.counts["closed"] += 1
            super().close(stream, why)
            stream.due.set()

    def serve(self, sock, address: tuple) -> None:
        now = self.clock()
        why = self.keeper.admit(now, address[0])
        if why:
            self.counts["refused"] += 1
            if should_log(self.counts["refused"]):
                self.log.warning("connection refused", peer=address[0], why=why, times=self.counts["refused"])
            sock.close()
            return
        self.number += 1
        self.counts["connections"] += 1
        stream = self.streams[self.number] = Connection(self.number, sock, address, self.keeper.reply_bucket())
        writer = None
        try:
            sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
            sock.setsockopt(plain.SOL_SOCKET, plain.SO_SNDBUF, self.terms.send_buffer)
            sock.setsockopt(plain.SOL_SOCKET, plain.SO_KEEPALIVE, 1)
            for option, value in ((plain.TCP_KEEPIDLE, 5), (plain.TCP_KEEPINTVL, 2), (plain.TCP_KEEPCNT, 3)):
                sock.setsockopt(plain.IPPROTO_TCP, option, value)
            if self.secure is not None:
                sock = stream.sock = self.secure(sock)
                stream.bearer = peer_common_name(sock)
            writer = gevent.spawn(self.write_on, stream)
            self.read_on(stream)
        except OSError as trouble:
            stream.closed = stream.closed or connection_lost_reason(trouble)
        except codec.SaspError as trouble:
            self.counts["bad_frames"] += 1
            stream.closed = stream.closed or f"bad frame: {trouble}"
        finally:
            stream.closed = stream.closed or "closed by the other side"
            stream.due.set()
            self.keeper.release(address[0])
            self.end(stream)
            if writer is not None:
                writer.kill(block=False)
            sock.close()

    def end(self, stream: Connection) -> None:
        now = self.clock()
        self.unsettled.pop(stream.number, None)
        self.presence.end(stream.number)
        if self.forget(now, stream) and self.fleet is not None:
            self.fleet.end_proxy(stream.uid)
        if stream.speaks_of_members:
            self.engine.update_endpoints(now, members.StreamLost(stream.number))
        self.log.info("stream ended", peer=stream.address[0], uid=stream.uid or None, why=stream.closed)
        self.loop.wake()

    # In.

    def read_on(self, stream: Connection) -> None:
        framer, pace = codec.Framer(self.terms.message_most), self.keeper.request_bucket()
        begun = opened = self.clock()
        while not stream.closed:
            if framer.partial:  # a frame that was begun must end, however slowly bytes drip
                left = self.terms.frame_s - (self.clock() - begun) / 1e6
                stream.sock.settimeout(max(0.001, left))
            elif not stream.uid and not stream.speaks_of_members:
                left = self.terms.hello_s - (self.clock() - opened) / 1e6
                stream.sock.settimeout(max(0.001, left))
            else:
                stream.sock.settimeout(None)
            try:
                chunk = stream.sock.recv(65536)
            except TimeoutError:
                stream.closed = "a frame was begun and not ended" if framer.partial else "said nothing"
                return
            if not chunk:
                return
            if not framer.partial:
                begun = self.clock()
            for frame in framer.feed(chunk):
                while not pace.take(self.clock()) and not stream.closed:
                    gevent.sleep(0.02)  # the sender is slowed by its own full window
                while len(stream.replies) >= self.REPLIES and not stream.closed:
                    gevent.sleep(0.02)
                self.counts["frames_in"] += 1
                self.take(stream, frame)
                begun = self.clock()
            if framer.partial and len(framer.held) == len(chunk):
                begun = self.clock()

    def take(self, stream: Connection, frame: bytes) -> None:
        try:
            number, message = codec.decode(frame)
        except codec.SaspError as trouble:
            self.counts["bad_frames"] += 1
            if trouble.reply is None:
                raise
            self.log.warning("bad request", peer=stream.address[0], uid=stream.uid or None, why=str(trouble))
            self.answer(stream, trouble.reply)
            return
        now = self.clock()
        self.presence.polled(now, stream.number)
        if self.fleet is not None and stream.proxy >= 0:
            self.fleet.acknowledge_token(stream.uid, stream.fence)
        for _, mark, at in stream.marks if not stream.push else ():  # it took the last answer: it asks again
            self.engine.acknowledge(now, stream.proxy, mark, now - at)
        if not stream.push:
            stream.marks.clear()
        kind = type(message)
        if kind is codec.GetWeights:
            reply = self.weights(stream, message)
        elif kind is codec.SetBalancer:
            reply = codec.reply_to(message, self.set_balancer(stream, message))
        elif kind is codec.Register:
            reply = codec.reply_to(message, self.register(stream, message))
        elif kind is codec.Deregister:
            reply = codec.reply_to(message, self.deregister(stream, message))
        elif kind is codec.SetMembers:
            reply = codec.reply_to(message, self.set_members(stream, message))
        else:
            raise codec.SaspError(f"{kind.__name__} is not for the service to hear")
        if getattr(reply, "code", 0):
            self.log.info(
                "request refused",
                peer=stream.address[0],
                uid=stream.uid or None,
                request=kind.__name__,
                code=int(reply.code),
            )
        try:
            self.answer(stream, codec.encode(number, reply))
        except ValueError as trouble:
            self.log.warning("answer too long", peer=stream.address[0], why=str(trouble))
            self.answer(stream, codec.encode(number, codec.reply_to(message, Code.NOT_FROM_YOU)))
        self.loop.wake()

    def answer(self, stream: Connection, frame: bytes) -> None:
        stream.replies.append(frame)
        stream.due.set()

    # Load balancers.

    def name(self, stream: Connection, uid: str) -> int:
        """The name a stream goes by, once for all."""
        if not uid or len(uid.encode()) > 64 or uid == self.terms.fleet or stream.speaks_of_members:
            return Code.UID_SIZE if not uid or len(uid.encode()) > 64 else Code.NOT_FROM_YOU
        if stream.uid and stream.uid != uid:
            return Code.UNKNOWN_BALANCER
        if self.refused(stream, self.access.may_be(stream.bearer, uid)):
            return Code.NOT_FROM_YOU
        stream.uid = uid
        return Code.OK

    def refused(self, stream: Connection, why: str) -> bool:
        if why:
            self.log.warning("not allowed", peer=stream.address[0], why=why)
        return bool(why)

    def recheck(self) -> None:
        """The table of who may what has changed: end the streams of those who lost what they have."""
        for stream in list(self.streams.values()):
            why = self.access.known(stream.bearer)
            why = why or stream.uid and self.access.may_be(stream.bearer, stream.uid)
            if why:
                self.close(stream, f"keys withdrawn: {why}")

    def set_balancer(self, stream: Connection, message: codec.SetBalancer) -> int:
        code = self.name(stream, message.uid)
        if code == Code.OK:
            stream.flags = message.flags
            if stream.sheets:
                code = self.attend(stream)
        return code

    def attend(self, stream: Connection) -> int:
        """Count it as joined, if it is not yet."""
        now = self.clock()
        if self.fleet is not None and stream.proxy < 0:
            zone = self.zone_of(stream.address[0])
            told = self.fleet.request_lease(stream.uid, self.zone_name(zone), *stream.question)
            if type(told) is not LeaseGranted:
                self.turn_away(stream, told)
                return Code.NOT_FROM_YOU
            stream.fence, stream.fence_due = told.fencing_token, told.fencing_token > 0
        came = self.presence.start(now, stream.number, stream.uid, stream.push)
        if came.turned_away:
            return Code.NOT_FROM_YOU
        if came.close >= 0 and came.close in self.streams:
            older = self.streams[came.close]
            self.close(older, "its name came again on a newer stream")
            self.unbind(now, older)
        if came.joined:
            zone = self.zone_of(stream.address[0])
            proxy = -1 if zone < 0 else self.engine.join(now, self, stream.uid, zone, self.terms.usual_rate)
            if proxy is None or proxy < 0:
                self.presence.end(stream.number)
                return Code.NOT_FROM_YOU
            stream.proxy = proxy
            self.by_proxy[proxy] = stream
            self.log.info("joined", uid=stream.uid, proxy=proxy, zone=zone, push=stream.push)
        return Code.OK

    def turn_away(self, stream: Connection, told: StaleToken | ForwardProxy) -> None:
        """Say who should be asked, ahead of the answer; whoever it had here before is left."""
        older = self.streams.get(self.presence.by_uid.get(stream.uid, -1))
        if type(told) is ForwardProxy:
            self.say_where(stream, told.owner)
            if older is not None and older is not stream:
                self.let_go(older, "its newer stream was sent on")

    def say_where(self, stream: Connection, name: str) -> None:
        to = self.fleet.address_of(name, "sasp")
        if to:
            word = ownership_extension.write_reply(stream.uid, ownership_extension.Redirected(to))
            self.answer(stream, codec.encode(stream.version & 0xFFFFFFFF, codec.SendWeights((word,))))

    def let_go(self, stream: Connection, why: str) -> None:
        """Who orders its proxy has been decided already."""
        self.unbind(self.clock(), stream)
        self.close(stream, why)

    def unbind(self, now: int, stream: Connection) -> None:
        """Its proxy, if it has one, is ordered by this stream no more."""
        if stream.proxy >= 0:
            self.by_proxy.pop(stream.proxy, None)
            self.engine.leave(now, stream.proxy)
            stream.proxy = -1

    def redirect(self, proxy: int, to: str, why: str) -> None:
        stream = self.by_proxy.get(proxy)
        if stream is None:
            return
        if to:  # it hangs up itself once it has read that; if not, its next question is not heard here
            self.say_where(stream, to)
            self.unbind(self.clock(), stream)
            self.presence.end(stream.number)
        else:
            self.let_go(stream, why)

    def subscribe(self, stream: Connection, groups: list[codec.Group]) -> int:
        for group in groups:
            if len(group.name.encode()) > 64:
                return Code.GROUP_NAME_SIZE
            if group.name not in self.terms.groups:
                return Code.INVALID_GROUP
            code = self.name(stream, group.uid)
            if code != Code.OK:
                return code
        for group in groups:
            sheet = stream.sheets.setdefault(group.name, SaspProxyView())
            if sheet.value is None and stream.proxy >= 0:  # a later group of a proxy that has its tables
                bound = self.engine.update_builder.bindings.get(stream.proxy, {}).get(self.terms.groups[group.name])
                if bound is not None:
                    self.lay(stream, sheet, bound, self.engine.update_builder.store.latest(bound))
        return self.attend(stream) if groups else Code.OK

    def weights(self, stream: Connection, message: codec.GetWeights) -> codec.GetWeightsReply:
        code = self.subscribe(stream, list(message.groups))
        if code == Code.OK and not stream.answers.take(self.clock()):
            self.counts["asked_too_often"] += 1
            code = Code.NOT_FROM_YOU
        if code != Code.OK:
            return codec.GetWeightsReply(code, self.presence.interval, ())
        if stream.proxy >= 0 and not stream.given.is_set():  # one that asks only once should not go without
            self.loop.wake()
            stream.given.wait(self.presence.first_answer / 1e6)
        rows = []
        for group in message.groups:
            entries = self.entries(stream, stream.sheets[group.name], whole=True)
            rows.append(codec.WeightsOf(group, entries))
        self.engine.queue.charge(self.clock(), sum(len(r.weights) for r in rows) + self.engine.queue.overhead_lines)
        if not stream.push:
            stream.marks.extend((0, *row) for row in stream.pending)
            stream.pending.clear()
        return codec.GetWeightsReply(Code.OK, self.presence.interval, tuple(rows))

    # Members and their agents.

    def speaks(self, stream: Connection, by_balancer: bool, group: codec.Group) -> int:
        """Whether this stream may say something about members of this group."""
        if by_balancer:
            return Code.OK if self.terms.balancers_register and stream.uid == group.uid else Code.NOT_FROM_YOU
        if stream.uid:
            return Code.NOT_FROM_YOU
        if group.uid != self.terms.fleet:
            known = group.uid in self.presence.by_uid
            return Code.NOT_FROM_YOU if known else Code.NOT_CONTACTED_YET
        return Code.OK if group.name == self.terms.members_group else Code.INVALID_GROUP

    CODES = {
        None: Code.OK,
        members.Refusal.ALREADY_REGISTERED: Code.ALREADY_REGISTERED,
        members.Refusal.NOT_REGISTERED: Code.NOT_REGISTERED,
        members.Refusal.FULL: Code.NOT_FROM_YOU,
        members.Refusal.NO_ZONE: Code.NOT_FROM_YOU,
        members.Refusal.TWICE: Code.DUPLICATE_MEMBER,
    }

    def register(self, stream: Connection, message: codec.Register) -> int:
        if message.by_balancer:
            asked = [ownership_extension.read_request(row.group.name) for row in message.groups]
            if self.fleet is not None and asked and asked[0] is not None and stream.proxy < 0:
                stream.question = asked[0]
                return self.name(stream, message.groups[0].group.uid)
            code = self.subscribe(stream, [row.group for row in message.groups])
            if code != Code.OK or not any(row.members for row in message.groups):
                return code
        for group, _ in message.groups:
            code = self.speaks(stream, message.by_balancer, group)
            if code != Code.OK:
                return code
        now = self.clock()
        rows = [member for _, some in message.groups for member in some]
        if len(rows) > self.terms.members_each:
            return Code.NOT_FROM_YOU
        if any(self.refused(stream, self.access.may_register(stream.bearer, member.host)) for member in rows):
            return Code.NOT_FROM_YOU
        own = len(rows) == 1 and rows[0].host == stream.address[0]
        applicants, entered = [], []
        for member in rows:
            new = member.key not in self.engine.task_indices.index
            zone = self.zone_of(member.host)
            task = self.engine.task_indices.allocate(now, member.key) if zone >= 0 else -1
            task = -1 if task is None else task
            if task >= 0:
                entered += [member.key] * new
                self.bearers[task] = member._replace(label="")
            applicants.append(
                members.MemberRequest(member.key, max(task, 0) if zone < 0 else task, zone, member.label, own)
            )
        refusal = self.engine.update_endpoints(now, members.Registered(stream.number, tuple(applicants)))
        if refusal not in (None, members.Refusal.ALREADY_REGISTERED):
            for key in entered:
                self.engine.task_indices.release(now, key)
        else:
            stream.speaks_of_members = True
            for row in applicants:
                self.agents[row.key] = message.by_balancer
        return self.CODES[refusal]

    def deregister(self, stream: Connection, message: codec.Deregister) -> int:
        if message.by_balancer:
            for group, some in message.groups:
                if group.uid != stream.uid or group.name not in stream.sheets:
                    return Code.UNKNOWN_GROUP if group.uid == stream.uid else Code.UNKNOWN_BALANCER
                if not some:
                    del stream.sheets[group.name]
            if not stream.sheets and stream.proxy >= 0:
                self.presence.end(stream.number)
                self.unbind(self.clock(), stream)
            if not any(some for _, some in message.groups):
                return Code.OK
        for group, _ in message.groups:
            code = self.speaks(stream, message.by_balancer, group)
            if code != Code.OK:
                return code
        keys = tuple(member.key for _, some in message.groups for member in some)
        everyone = not message.by_balancer and any(not some for _, some in message.groups)
        what = members.Deregistered(stream.number, None if everyone else keys)
        return self.CODES[self.engine.update_endpoints(self.clock(), what)]

    def set_members(self, stream: Connection, message: codec.SetMembers) -> int:
        code = Code.OK
        for group, states in message.groups:
            code = self.speaks(stream, message.by_balancer, group)
            if code != Code.OK:
                return code
            for state in states:
                what = members.Quiesced(stream.number, state.member.key, state.quiesce)
                refusal = self.engine.update_endpoints(self.clock(), what)
                code = self.CODES[refusal] or code
        return code

    # Out: what the core asks of a front.

    def count_lines(self, proxy: int, update: ProxyUpdate) -> tuple[int, int]:
        stream = self.by_proxy.get(proxy)
        if stream is None:
            return 0, 0
        bound = self.engine.update_builder.bindings.get(proxy, {})
        tables = [bound.get(method) for name, method in self.terms.groups.items() if name in stream.sheets]
        whole = sum(len(self.engine.update_builder.store.latest(table)) for table in tables if table is not None)
        if not stream.flags & BalancerFlags.NO_CHANGE:  # it is sent its groups in full, whatever changed
            return whole, whole
        return sum(lines * tables.count(table) for table, lines in update.line_counts), whole

    def write(self, proxy: int, update: ProxyUpdate) -> None:
        stream = self.by_proxy.get(proxy)
        if stream is None:
            return
        stream.version = update.decision
        values = dict(update.tables)
        for name, method in self.terms.groups.items():
            sheet = stream.sheets.get(name)
            if sheet is None:
                continue
            for table, mask in update.bindings:
                if mask >> method & 1:
                    self.lay(stream, sheet, table, values.get(table) or self.engine.update_builder.store.latest(table))
            if sheet.value is not None and sheet.table in values:
                sheet.value = values[sheet.table]
        if update.mark >= 0:
            stream.pending.append((update.mark, update.decided_at_us))
            del stream.pending[:-32]  # a later mark covers the earlier ones
        stream.due.set()

    def lay(self, stream: Connection, sheet: SaspProxyView, table: int, value: Table) -> None:
        sheet.table, sheet.value, sheet.whole = table, value, True
        stream.given.set()
        stream.due.set()

    def detach(self, proxy: int, why: str) -> None:
        stream = self.by_proxy.get(proxy)
        if stream is not None:
            self.close(stream, why)

    def entries(self, stream: Connection, sheet: SaspProxyView, whole: bool) -> tuple[codec.Weight, ...]:
        if sheet.value is None:
            return ()
        now, engine = self.clock(), self.engine
        whole = whole or sheet.whole or not stream.flags & BalancerFlags.NO_CHANGE
        changed = () if whole else engine.update_builder.store.change(sheet.table, sheet.told, sheet.value).lines
        told = sheet.advice.advise(
            sheet.value.lines,
            [task for task, _ in changed],
            whole,
            lambda task: engine.is_warming_up(now, task),
            engine.is_closed,
        )
        sheet.told, sheet.whole = sheet.value, False
        entries = []
        for task, figure in told.figures.items():
            member = self.bearers[task]
            flags = WeightFlags.CONTACT * engine.is_running(task) | WeightFlags.QUIESCE * engine.is_closed(task)
            flags |= WeightFlags.CONFIDENT * engine.is_confident(now, task)
            flags |= WeightFlags.REGISTERED_BY_BALANCER * self.agents.get(member.key, False)
            entries.append(codec.Weight(member, figure, int(flags)))
        return tuple(entries)

    def compose(self, stream: Connection) -> list[bytes]:
        """Frames for all that a pushed stream was not told yet; several only where one would be too long."""
        rows, frames, size = [], [], 0
        if stream.fence_due and any(sheet.due for sheet in stream.sheets.values()):
            stream.fence_due = False
            lease = self.fleet.config.lease.duration_us / 1e6
            rows.append(
                ownership_extension.write_reply(
                    stream.uid, ownership_extension.Owned(stream.fence, lease, self.fleet.config.name)
                )
            )
        for name, sheet in stream.sheets.items():
            if not sheet.due:
                continue
            group = codec.Group(stream.uid, name)
            entries = self.entries(stream, sheet, whole=False)  # none where only levels changed
            for at in range(0, len(entries), 900):
                part = codec.WeightsOf(group, entries[at : at + 900])
                if rows and size + len(part.weights) > 1500:
                    frames.append(self.frame(stream, rows))
                    rows, size = [], 0
                rows.append(part)
                size += len(part.weights)
        return frames + [self.frame(stream, rows)] * bool(rows)

    def frame(self, stream: Connection, rows: list) -> bytes:
        return codec.encode(stream.version & 0xFFFFFFFF, codec.SendWeights(tuple(rows)))

    def write_on(self, stream: Connection) -> None:
        try:
            while not stream.closed:
                stream.due.wait()
                stream.due.clear()
                while stream.replies and not stream.closed:
                    self.put(stream, stream.replies.popleft())
                if stream.push and stream.proxy >= 0:
                    marks, stream.pending = stream.pending, []
                    for frame in self.compose(stream):
                        self.put(stream, frame)
                    stream.marks.extend((stream.sent, mark, at) for mark, at in marks)
        except OSError as trouble:
            self.close(stream, connection_lost_reason(trouble))

    def put(self, stream: Connection, frame: bytes) -> None:
        view = memoryview(frame)
        self.unsettled[stream.number] = stream
        self.counts["frames_out"] += 1
        while view and not stream.closed:
            try:
                took = stream.sock.send(view)
            except TimeoutError:  # the reader's time limit, which the socket shares; the frame has its own
                continue
            stream.sent += took
            view = view[took:]

    # Looking after streams.

    def look(self) -> None:
        """What was acknowledged, who is overdue."""
        turn = 0
        while True:
            gevent.sleep(self.LOOK)
            now = self.clock()
            for number, stream in list(self.unsettled.items()):
                try:
                    waits = struct.unpack("i", fcntl.ioctl(stream.sock.fileno(), termios.TIOCOUTQ, b"\0" * 4))[0]
                except OSError:
                    self.unsettled.pop(number, None)
                    continue
                taken = stream.sent - waits if self.secure is None else stream.sent * (waits == 0)
                self.presence.check_backlog(now, number, taken, waits > 0)
                if stream.push:
                    while stream.marks and stream.marks[0][0] <= taken:
                        _, mark, at = stream.marks.popleft()
                        self.engine.acknowledge(now, stream.proxy, mark, now - at)
                        self.loop.wake()
                if waits == 0:
                    self.unsettled.pop(number, None)
            turn += 1
            if turn % 5 == 0:
                for number, why in self.presence.overdue(now):
                    if number in self.streams:
                        self.close(self.streams[number], why)
                for task in [
                    t
                    for t in self.bearers
                    if len(self.bearers) > 4 * len(self.engine.task_indices) + 1024
                    and self.engine.task_indices.names[t] not in self.engine.task_indices.index
                    and not self.engine.update_builder.mentions(t)
                ]:
                    self.agents.pop(self.bearers.pop(task).key, None)

    def status(self) -> dict:
        return {**self.counts, "streams": len(self.streams), "refused_why": self.keeper.refused}
