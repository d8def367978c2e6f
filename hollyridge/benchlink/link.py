"""Batch processing: distribution of a batch's events to the assigners of this process, and the reply."""

from __future__ import annotations

from typing import BinaryIO

from hollyridge import interface as api
from hollyridge.benchlink import wire
from hollyridge.benchlink.instance import AssignerInstance, encode_record
from hollyridge.platform_settings.settings_reader import seconds_to_us

MAX_FAILURE_BYTES = 200  # maximum length of the text that reports a failure to the bench

# Plain integers, because they are compared with the code of each record.
CONTEXT = int(wire.EventCode.CONTEXT)
ENLIST = int(wire.EventCode.ENLIST)
KILLED = int(wire.EventCode.KILLED)


class Link:
    """All assigners of this process, by instance number of the bench; they share no state."""

    def __init__(self) -> None:
        self.instances: dict[int, AssignerInstance] = {}

    def process_batch(self, clock_s: float, number: int, body: bytes) -> bytes:
        """Return the reply to one batch.

        Args:
            clock_s: Time of the batch, in seconds.
            number: Number of the batch.
            body: Records of the batch.

        Raises:
            WireError: A record is malformed, or belongs to no assigner that has started.
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
        """Start and end assigners as a batch requires, and return its events by assigner in order of first mention."""
        events_by_instance: dict[int, list[api.Event]] = {}
        current_instance: int | None = None
        for code, fields in wire.unpack(body, wire.EVENT_LAYOUTS):
            if code == CONTEXT:
                current_instance = fields[0]
            elif current_instance is None:
                raise wire.WireError(f"record with code {code} before the first CONTEXT record")
            elif code == KILLED:
                self.instances.pop(current_instance, None)
                events_by_instance.pop(current_instance, None)
            elif code == ENLIST:
                self.instances[current_instance] = AssignerInstance(*fields)
                events_by_instance[current_instance] = []
            else:
                instance = self.instances.get(current_instance)
                if instance is None:
                    raise wire.WireError(
                        f"record with code {code} for instance {current_instance}, which has not started"
                    )
                events_by_instance.setdefault(current_instance, []).append(instance.event_decoders[code](fields))
        return events_by_instance

    @staticmethod
    def _decide(instance: AssignerInstance, now_us: int, events: list[api.Event]) -> list[bytes]:
        """Return the records of one assigner's commands."""
        try:
            return [instance.encode_command(command) for command in instance.assigner.decide(now_us, events)]
        except Exception as error:  # the wire protocol reports any failure of the decisions as a record
            text = f"{type(error).__name__}: {error}"
            return [encode_record(wire.CommandCode.BAIL_OUT, text.encode()[:MAX_FAILURE_BYTES])]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends.

    Raises:
        WireError: The input is malformed or invalid.
    """
    link = Link()
    while (frame := wire.read_frame(source)) is not None:
        sink.write(link.process_batch(*frame))
        sink.flush()
