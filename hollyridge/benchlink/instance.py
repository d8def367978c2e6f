"""One assigner of the bench, with conversion of wire records to events and of commands to wire records.

The wire identifies tasks by its own ids, the assigner by dense indices in the order of first mention.
"""

from __future__ import annotations

from collections.abc import Callable

from hollyridge import interface as api
from hollyridge.benchlink.wire import COMMAND_LAYOUTS, CommandCode, EventCode, WireError, pack
from hollyridge.decisions.assigner import Assigner
from hollyridge.platform_settings.assigner_config import read_assigner_config
from hollyridge.platform_settings.settings_reader import SettingsError, seconds_to_us

MAX_TASK_STATE = max(api.TaskState)
MAX_UPDATE_KIND = max(api.UpdateKind)
MAX_DURATION_S = 1e12  # longer durations are invalid
INVALID_DURATION_US = -1  # the assigner ignores a report with this value
MAX_NOTE_BYTES = 1000
US_PER_S = 1e6
_SET_WEIGHT_PREFIX = COMMAND_LAYOUTS[CommandCode.PUT_LINE].prefix
_SET_WEIGHT_FIELDS = COMMAND_LAYOUTS[CommandCode.PUT_LINE].fixed


class AssignerInstance:
    """An assigner with its own table of task ids.

    Attributes:
        event_decoders: Functions that convert the fields of a record to an event, by record code. They raise WireError
            if a zone, method, state or kind is out of range.

    Raises:
        WireError: The settings are invalid.
    """

    def __init__(self, seed: int, settings_text: bytes) -> None:
        try:
            config = read_assigner_config(settings_text)
        except SettingsError as error:  # settings are part of the wire protocol
            raise WireError(str(error)) from None
        self.max_zone = config.zones - 1
        self.max_method = len(config.methods) - 1
        self.assigner = Assigner(config, seed)
        self.index_by_id: dict[int, int] = {}
        self.ids: list[int] = []
        self.event_decoders = self._bind_event_decoders()

    def task_index(self, wire_id: int) -> int:
        """Return the task's index, allocated at its first mention."""
        index = self.index_by_id.get(wire_id)
        if index is None:
            index = self.index_by_id[wire_id] = len(self.ids)
            self.ids.append(wire_id)
        return index

    def encode_command(self, command: api.Command) -> bytes:
        """Return a command as a record of the wire."""
        encoder = _COMMAND_ENCODERS.get(type(command))
        if encoder is None:
            raise TypeError(f"no wire record for command type {type(command).__name__}")
        return encoder(self, command)

    def _bind_event_decoders(self) -> dict[int, Callable[[tuple], api.Event]]:
        # The table is used for each record, so the methods are bound once. Its keys are plain integers, because looking
        # up enumeration members is slower.
        return {
            int(EventCode.ROSTER_CHANGE): self._decode_endpoint_list,
            int(EventCode.WAKE): self._decode_timer,
            int(EventCode.PING_RESULT): self._decode_probe_result,
            int(EventCode.PEER_DATA): self._decode_peer_message,
            int(EventCode.JOINED): self._decode_proxy_joined,
            int(EventCode.DISCONNECTED): self._decode_proxy_left,
            int(EventCode.RECEIPT): self._decode_ack,
            int(EventCode.TRAFFIC_REPORT): self._decode_traffic_report,
            int(EventCode.OFFERED_LOAD): self._decode_offered_load,
            int(EventCode.HEAT): self._decode_slice_load,
            int(EventCode.TENURE): self._decode_slice_charge,
            int(EventCode.LEDGER_LINE): self._decode_slice_line,
        }

    # Decoders of events.

    def _decode_endpoint_list(self, fields: tuple) -> api.EndpointListUpdate:
        version, kind, entries = fields
        endpoints = tuple(map(self._decode_endpoint, entries))
        return api.EndpointListUpdate(version, _checked(kind, MAX_UPDATE_KIND, "list kind"), endpoints)

    def _decode_endpoint(self, entry: tuple) -> api.Endpoint:
        wire_id, zone, hardware_kind, cell, state, listed_weight, started_at_s = entry
        return api.Endpoint(
            self.task_index(wire_id),
            _checked(zone, self.max_zone, "zone"),
            hardware_kind,
            cell,
            _checked(state, MAX_TASK_STATE, "task state"),
            listed_weight,
            _duration_us(started_at_s),
        )

    def _decode_timer(self, fields: tuple) -> api.TimerFired:
        return api.TimerFired(fields[0])

    def _decode_probe_result(self, fields: tuple) -> api.ProbeResult:
        wire_id, status, latency_s, load = fields
        return api.ProbeResult(self.task_index(wire_id), status, _duration_us(latency_s), load)

    def _decode_peer_message(self, fields: tuple) -> api.PeerMessage:
        return api.PeerMessage(*fields)

    def _decode_proxy_joined(self, fields: tuple) -> api.ProxyJoined:
        usual_rate_per_s, has_no_table, proxy, zone = fields
        return api.ProxyJoined(usual_rate_per_s, bool(has_no_table), proxy, _checked(zone, self.max_zone, "zone"))

    def _decode_proxy_left(self, fields: tuple) -> api.ProxyLeft:
        return api.ProxyLeft(fields[0])

    def _decode_ack(self, fields: tuple) -> api.Ack:
        proxy, mark, apply_time_s = fields
        return api.Ack(proxy, mark, _duration_us(apply_time_s))

    def _decode_traffic_report(self, fields: tuple) -> api.TrafficReport:
        zone, wire_id, attempts, failed, latency_s, interval_s, load = fields
        return api.TrafficReport(
            _checked(zone, self.max_zone, "zone"),
            self.task_index(wire_id),
            attempts,
            failed,
            _duration_us(latency_s),
            _duration_us(interval_s),
            load,
        )

    def _decode_offered_load(self, fields: tuple) -> api.OfferedLoad:
        rpcs, interval_s, proxy, method, unanswered = fields
        return api.OfferedLoad(
            rpcs, _duration_us(interval_s), proxy, _checked(method, self.max_method, "method"), unanswered
        )

    def _decode_slice_load(self, fields: tuple) -> api.SliceLoad:
        key_slice, method, rpcs, unanswered, interval_s = fields
        return api.SliceLoad(key_slice, method, rpcs, unanswered, _duration_us(interval_s))

    def _decode_slice_charge(self, fields: tuple) -> api.SliceCharge:
        granted, key_slice = fields
        return api.SliceCharge(bool(granted), key_slice)

    def _decode_slice_line(self, fields: tuple) -> api.SliceLine:
        wire_id, weight, key_slice = fields
        return api.SliceLine(self.task_index(wire_id), weight, key_slice)

    # Encoders of commands.

    def _encode_set_weight(self, command: api.SetWeight) -> bytes:
        # Most commands are of this kind, so it is packed directly.
        return _SET_WEIGHT_PREFIX + _SET_WEIGHT_FIELDS.pack(command.weight, self.ids[command.task], command.table)

    def _encode_bind_table(self, command: api.BindTable) -> bytes:
        return encode_record(CommandCode.ATTACH_TABLE, *command)

    def _encode_request_ack(self, command: api.RequestAck) -> bytes:
        return encode_record(CommandCode.ASK_RECEIPT, command.mark, command.from_all)

    def _encode_set_timer(self, command: api.SetTimer) -> bytes:
        return encode_record(CommandCode.WAKE_AT, command.token, command.delay_us / US_PER_S)

    def _encode_set_admission(self, command: api.SetAdmission) -> bytes:
        return encode_record(CommandCode.SET_LEVEL, *command)

    def _encode_watch_endpoints(self, command: api.WatchEndpoints) -> bytes:
        return encode_record(CommandCode.WATCH, command.on)

    def _encode_refresh_endpoints(self, command: api.RefreshEndpoints) -> bytes:
        return encode_record(CommandCode.RELOAD)

    def _encode_set_ejected(self, command: api.SetEjected) -> bytes:
        return encode_record(CommandCode.BENCH, self.ids[command.task], command.ejected)

    def _encode_delete_table(self, command: api.DeleteTable) -> bytes:
        return encode_record(CommandCode.DROP_LINES, command.table)

    def _encode_log_note(self, command: api.LogNote) -> bytes:
        return encode_record(CommandCode.NOTE_DOWN, command.text.encode()[:MAX_NOTE_BYTES])

    def _encode_probe(self, command: api.Probe) -> bytes:
        return encode_record(CommandCode.TOUCH, self.ids[command.task])

    def _encode_peer_message(self, command: api.SendToPeer) -> bytes:
        return encode_record(CommandCode.BROADCAST_TO, command.peer, command.payload)


def encode_record(code: CommandCode, *fields: object) -> bytes:
    """Return one outgoing record as bytes."""
    return pack(code, fields, COMMAND_LAYOUTS)


def _duration_us(seconds: float) -> int:
    return seconds_to_us(seconds) if 0 <= seconds < MAX_DURATION_S else INVALID_DURATION_US


def _checked(value: int, max_value: int, field: str) -> int:
    if value > max_value:
        raise WireError(f"{field} {value} is out of range, expected at most {max_value}")
    return value


_COMMAND_ENCODERS: dict[type, Callable[[AssignerInstance, api.Command], bytes]] = {
    api.SetWeight: AssignerInstance._encode_set_weight,
    api.BindTable: AssignerInstance._encode_bind_table,
    api.RequestAck: AssignerInstance._encode_request_ack,
    api.SetTimer: AssignerInstance._encode_set_timer,
    api.SetAdmission: AssignerInstance._encode_set_admission,
    api.WatchEndpoints: AssignerInstance._encode_watch_endpoints,
    api.RefreshEndpoints: AssignerInstance._encode_refresh_endpoints,
    api.SetEjected: AssignerInstance._encode_set_ejected,
    api.DeleteTable: AssignerInstance._encode_delete_table,
    api.LogNote: AssignerInstance._encode_log_note,
    api.Probe: AssignerInstance._encode_probe,
    api.SendToPeer: AssignerInstance._encode_peer_message,
}
