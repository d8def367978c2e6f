"""Batches in, replies out: one decision module for each instance, ids to dense indices here."""

from __future__ import annotations

from typing import BinaryIO

from hollyridge import interface as api
from hollyridge.benchlink import wire
from hollyridge.decisions.assigner import Assigner
from hollyridge.platform_settings.reader import micros, read_assigner_config


class Instance:
    """One assigner with its own table of task ids."""

    def __init__(self, seed: int, conf: bytes) -> None:
        config = read_assigner_config(conf)
        self.zones, self.methods = config.zones - 1, len(config.methods) - 1
        self.assigner = Assigner(config, seed)
        self.index: dict[int, int] = {}
        self.ids: list[int] = []

    def task(self, wire_id: int) -> int:
        at = self.index.get(wire_id)
        if at is None:
            at = self.index[wire_id] = len(self.ids)
            self.ids.append(wire_id)
        return at

    def event(self, code: int, f: tuple) -> api.Event:
        """One record of the wire as a typed event."""
        if code == 1:
            entries = tuple(
                api.Endpoint(
                    self.task(e[0]),
                    in_range(e[1], self.zones, "zone"),
                    e[2],
                    e[3],
                    in_range(e[4], 2, "task state"),
                    e[5],
                    moment(e[6]),
                )
                for e in f[2]
            )
            return api.EndpointListUpdate(f[0], in_range(f[1], 3, "list kind"), entries)
        if code == 2:
            return api.TimerFired(f[0])
        if code == 3:
            return api.ProbeResult(self.task(f[0]), f[1], moment(f[2]), f[3])
        if code == 4:
            return api.PeerMessage(f[0], f[1])
        if code == 6:
            return api.ProxyJoined(f[0], bool(f[1]), f[2], in_range(f[3], self.zones, "zone"))
        if code == 7:
            return api.ProxyLeft(f[0])
        if code == 8:
            return api.Ack(f[0], f[1], moment(f[2]))
        if code == 9:
            return api.TrafficReport(
                in_range(f[0], self.zones, "zone"), self.task(f[1]), f[2], f[3], moment(f[4]), moment(f[5]), f[6]
            )
        if code == 10:
            return api.OfferedLoad(f[0], moment(f[1]), f[2], in_range(f[3], self.methods, "method"), f[4])
        if code == 11:
            return api.SliceLoad(f[0], f[1], f[2], f[3], moment(f[4]))
        if code == 12:
            return api.SliceCharge(bool(f[0]), f[1])
        return api.SliceLine(self.task(f[0]), f[1], f[2])

    def order(self, o: api.Command) -> bytes:
        """One typed order as a record of the wire."""
        kind = type(o)
        if kind is api.SetWeight:
            return record(74, o.weight, self.ids[o.task], o.table)
        if kind is api.BindTable:
            return record(72, *o)
        if kind is api.RequestAck:
            return record(71, o.mark, o.from_all)
        if kind is api.SetTimer:
            return record(73, o.token, o.delay_us / 1e6)
        if kind is api.SetAdmission:
            return record(70, *o)
        if kind is api.WatchEndpoints:
            return record(69, o.on)
        if kind is api.RefreshEndpoints:
            return record(64)
        if kind is api.SetEjected:
            return record(65, self.ids[o.task], o.ejected)
        if kind is api.DeleteTable:
            return record(75, o.table)
        if kind is api.LogNote:
            return record(66, o.text.encode()[:1000])
        if kind is api.Probe:
            return record(67, self.ids[o.task])
        if kind is api.SendToPeer:
            return record(68, o.peer, o.payload)
        raise TypeError(f"no such order: {kind.__name__}")


def moment(seconds: float) -> int:
    """Whole microseconds; what is no sensible figure becomes -1, which the module passes over."""
    return micros(seconds) if 0 <= seconds < 1e12 else -1


def in_range(value: int, most: int, what: str) -> int:
    if value > most:
        raise wire.WireError(f"{what} out of range: {value}")
    return value


def record(code: int, *fields) -> bytes:
    return wire.pack(code, fields, wire.ORDERS)


class Link:
    """All instances of this process. They share nothing."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}

    def answer(self, clock: float, number: int, body: bytes) -> bytes:
        """The reply to one batch."""
        now = micros(clock)
        gathered: dict[int, list[api.Event]] = {}
        current = None
        for code, fields in wire.unpack(body, wire.EVENTS):
            if code == 14:
                current = fields[0]
                continue
            if current is None:
                raise wire.WireError("an event that belongs to no instance")
            if code == 5:
                self.instances.pop(current, None)
                gathered.pop(current, None)
                continue
            if code == 0:
                self.instances[current] = Instance(*fields)
                gathered[current] = []
                continue
            instance = self.instances.get(current)
            if instance is None:
                raise wire.WireError(f"an event for instance {current}, which has not started")
            gathered.setdefault(current, []).append(instance.event(code, fields))
        out = []
        for who, events in gathered.items():
            instance = self.instances[who]
            try:
                orders = [instance.order(o) for o in instance.assigner.decide(now, events)]
            except Exception as trouble:  # the wire wants any failure of the decisions told, not raised
                text = f"{type(trouble).__name__}: {trouble}"
                orders = [record(76, text.encode()[:200])]
            if orders:
                out.append(record(77, who))
                out.extend(orders)
        reply = b"".join(out)
        return wire.REPLY_HEAD.pack(len(reply), len(out), number) + reply


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    link = Link()
    while (frame := wire.read_frame(source)) is not None:
        sink.write(link.answer(*frame))
        sink.flush()
