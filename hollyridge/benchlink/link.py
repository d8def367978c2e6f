"""Batches in, replies out: the assigners of this process, each with the events that are meant for it."""

from __future__ import annotations

from typing import BinaryIO

from hollyridge import interface as api
from hollyridge.benchlink import wire
from hollyridge.benchlink.instance import AssignerInstance, encode_record
from hollyridge.platform_settings.settings_reader import seconds_to_us

MAX_FAILURE_BYTES = 200  # of the text that tells the bench of a failure

# As plain integers: they are compared with each record's code.
CONTEXT = int(wire.EventCode.CONTEXT)
ENLIST = int(wire.EventCode.ENLIST)
KILLED = int(wire.EventCode.KILLED)


class Link:
    """All assigners of this process by the bench's number. They share nothing."""

    def __init__(self) -> None:
        self.instances: dict[int, AssignerInstance] = {}

    def answer(self, clock_s: float, number: int, body: bytes) -> bytes:
        """The reply to one batch.

        Raises:
            WireError: A record can't be read, or belongs to no assigner that has started.
        """
        now_us = seconds_to_us(clock_s)
        records: list[bytes] = []
        for instance_number, events in self._read_events(body).items():
            commands = self._decide(self.instances[instance_number], now_us, events)
            if commands:
                records.append(encode_record(wire.CommandCode.ON_BEHALF, instance_number))
                records.extend(commands)
        reply = b"".join(records)
        return wire.REPLY_HEAD.pack(len(reply), len(records), number) + reply

    def _read_events(self, body: bytes) -> dict[int, list[api.Event]]:
        """The events of a batch by assigner, in the order of first mention; starts and ends assigners on the way."""
        events_by_instance: dict[int, list[api.Event]] = {}
        current: int | None = None
        for code, fields in wire.unpack(body, wire.EVENT_LAYOUTS):
            if code == CONTEXT:
                current = fields[0]
            elif current is None:
                raise wire.WireError("an event that belongs to no instance")
            elif code == KILLED:
                self.instances.pop(current, None)
                events_by_instance.pop(current, None)
            elif code == ENLIST:
                self.instances[current] = AssignerInstance(*fields)
                events_by_instance[current] = []
            else:
                instance = self.instances.get(current)
                if instance is None:
                    raise wire.WireError(f"an event for instance {current}, which has not started")
                events_by_instance.setdefault(current, []).append(instance.event_decoders[code](fields))
        return events_by_instance

    @staticmethod
    def _decide(instance: AssignerInstance, now_us: int, events: list[api.Event]) -> list[bytes]:
        """The records of one assigner's commands."""
        try:
            return [instance.encode_command(command) for command in instance.assigner.decide(now_us, events)]
        except Exception as error:  # boundary of the decisions: the wire wants any failure of theirs as a record
            text = f"{type(error).__name__}: {error}"
            return [encode_record(wire.CommandCode.BAIL_OUT, text.encode()[:MAX_FAILURE_BYTES])]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends.

    Raises:
        WireError: The input is not this wire, or can't be used.
    """
    link = Link()
    while (frame := wire.read_frame(source)) is not None:
        sink.write(link.answer(*frame))
        sink.flush()
