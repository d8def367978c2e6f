"""Construction of the assigner's configuration from the platform's settings; unknown keys are ignored."""

from __future__ import annotations

from collections.abc import Mapping

from hollyridge.interface import Admission, AssignerConfig, BalancingPolicy, Idempotency, IdempotencyScope, MethodConfig
from hollyridge.platform_settings.settings_reader import SettingsError, SettingsReader, seconds_to_us
from hollyridge.platform_settings.settings_text import parse_settings_text

# The values of settings that are enumerations, by their text.
IDEMPOTENCY_BY_TEXT = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.TOKENED,
    "once": Idempotency.NON_IDEMPOTENT,
}
SCOPE_BY_TEXT = {"all": IdempotencyScope.ALL, "zone": IdempotencyScope.ZONE, "cell": IdempotencyScope.CELL}
POLICY_BY_TEXT = {"random": BalancingPolicy.RANDOM, "rotate": BalancingPolicy.ROTATE, "p2c": BalancingPolicy.P2C}
ADMISSION_BY_TEXT = {"off": Admission.OFF, "fraction": Admission.FRACTION, "per_second": Admission.PER_SECOND}

MAX_METHODS = 256  # further methods are ignored
MAX_TRANSIT_FACTOR = 3  # longest transit time as a multiple of the usual one, if the settings give only the usual one


def read_assigner_config(raw: bytes) -> AssignerConfig:
    """Return the configuration from the settings text of the bench's wire.

    Raises:
        SettingsError: Settings are missing or invalid; the error names each of them.
    """
    return build_assigner_config(parse_settings_text(raw))


def build_assigner_config(values: Mapping[str, str]) -> AssignerConfig:
    """Return the configuration from texts by path.

    Raises:
        SettingsError: Settings are missing or invalid; the error names each of them.
    """
    reader = SettingsReader(values)
    methods = _read_methods(reader)
    if not methods:
        reader.faults.append("the settings define no method: profiles.count must be at least 1")
    config = _read_config(reader, methods)
    if reader.faults:
        raise SettingsError(reader.faults)
    return config


def _read_methods(reader: SettingsReader) -> tuple[MethodConfig, ...]:
    same_zone_flags = reader.names("family_info.class_own_zone")
    method_count = int(reader.number("profiles.count"))
    return tuple(
        _read_method(reader, f"profiles.{index}.", index < len(same_zone_flags) and same_zone_flags[index] == "true")
        for index in range(max(0, min(method_count, MAX_METHODS)))
    )


def _read_method(reader: SettingsReader, prefix: str, same_zone_only: bool) -> MethodConfig:
    # The deadline is read first because faults are listed in the order of reading.
    deadline_us = reader.duration_us(prefix + "deadline")
    return MethodConfig(
        soft_deadline_us=reader.duration_us(prefix + "slo"),
        deadline_us=deadline_us,
        criticality=reader.number(prefix + "worth", 1.0),
        idempotency=reader.choice(prefix + "repeat", IDEMPOTENCY_BY_TEXT),
        idempotency_scope=reader.choice(prefix + "group", SCOPE_BY_TEXT, "cell"),
        idempotency_window_us=reader.duration_us(prefix + "window", 0.0),
        same_zone_only=same_zone_only,
    )


def _read_config(reader: SettingsReader, methods: tuple[MethodConfig, ...]) -> AssignerConfig:
    family = "family_info."
    transit_s = reader.number(family + "transit", 0.0)
    return AssignerConfig(
        methods=methods,
        zones=len(reader.names("zones")) or 1,
        assigners=max(1, int(reader.number("balancers", 1))),
        subscribe=reader.text("discovery") == "subscribe",
        refresh_within_us=reader.duration_us("rules.ask_within", 10.0),
        report_period_us=max(1, reader.duration_us(family + "period")),
        lines_per_s=reader.number(family + "lines_per_s"),
        message_overhead_lines=reader.number(family + "overhead"),
        max_waiting_lines=reader.number(family + "most_waiting"),
        max_messages_per_proxy=int(reader.number(family + "messages_most", 0)),
        message_count_window_us=reader.duration_us(family + "counted_over", 10.0),
        transit_us=seconds_to_us(transit_s),
        max_transit_us=reader.duration_us(family + "worst_transit", transit_s * MAX_TRANSIT_FACTOR),
        empty_table_limit_us=reader.duration_us(family + "bare"),
        drain_grace_us=reader.duration_us("rules.drain_grace"),
        removal_is_advisory=reader.flag("rules.gone_is_advice"),
        cold_capacity_fraction=reader.number("rules.cold_from"),
        warm_up_us=max(1, reader.duration_us("rules.warm_up")),
        overload_window_us=reader.duration_us("rules.fall"),
        overload_multiple=reader.number("rules.fall_multiple"),
        balancing_policy=reader.choice(family + "pick", POLICY_BY_TEXT, "random"),
        proxy_ejection_failures=int(reader.number(family + "outlier_after", 0)),
        initial_table_size=int(reader.number(family + "initial_set", 0)),
        admission=reader.choice(family + "admit", ADMISSION_BY_TEXT, "off"),
        default_retry_mode=int(reader.number(family + "retry_default", 0)),
        attempt_timeout_factor=reader.number(family + "per_try", 1.0),
        slices=int(reader.number(family + "partitions_n", 0)),
        exclusive_slices=reader.flag(family + "one_owner"),
        load_metric_names=tuple(reader.names("report.names")),
        cross_zone_cost=reader.number("tariffs.cross_zone", 0.0),
    )
