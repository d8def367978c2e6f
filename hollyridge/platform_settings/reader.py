"""The settings, as text of the wire or nested as a configuration has them, read into a `AssignerConfig`."""

from __future__ import annotations

from hollyridge.benchlink.wire import WireError
from hollyridge.interface import Admission, AssignerConfig, BalancingPolicy, Idempotency, IdempotencyScope, MethodConfig

REPEAT = {"repeatable": Idempotency.IDEMPOTENT, "by_key": Idempotency.TOKENED, "once": Idempotency.NON_IDEMPOTENT}
GROUP = {"all": IdempotencyScope.ALL, "zone": IdempotencyScope.ZONE, "cell": IdempotencyScope.CELL}
PICK = {"random": BalancingPolicy.RANDOM, "rotate": BalancingPolicy.ROTATE, "p2c": BalancingPolicy.P2C}
ADMIT = {"off": Admission.OFF, "fraction": Admission.FRACTION, "per_second": Admission.PER_SECOND}


class SettingsError(WireError):
    """Settings that can't be used; `faults`: what is wrong with them, each by its path."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


def micros(seconds: float) -> int:
    return round(seconds * 1_000_000)


class _Text:
    """Path=value pairs; what is missing or odd is gathered in `faults`, each by its path."""

    def __init__(self, values: dict[str, str]) -> None:
        self.values = values
        self.faults: list[str] = []

    def word(self, path: str, default: str | None = None) -> str:
        value = self.values.get(path, default)
        if value is None:
            self.faults.append(f"the settings lack {path}")
            return ""
        return value

    def number(self, path: str, default: float | None = None) -> float:
        value = self.word(path, None if default is None else str(default))
        try:
            figure = float(value)
        except ValueError:
            figure = float("nan")
        if not abs(figure) < 1e15:
            if path in self.values:
                self.faults.append(f"the setting {path} is not a number: {value[:40]}")
            return 0.0
        return figure

    def span(self, path: str, default: float | None = None) -> int:
        return micros(self.number(path, default))

    def flag(self, path: str) -> bool:
        return self.values.get(path, "false") == "true"

    def names(self, path: str) -> list[str]:
        return [name for name in self.values.get(path, "").split(",") if name]

    def choice(self, path: str, words: dict, default: str | None = None):
        value = self.word(path, default)
        if value not in words:
            if path in self.values:
                self.faults.append(f"the setting {path} has no meaning: {value[:40]}")
            return next(iter(words.values()))
        return words[value]


def pairs(raw: bytes) -> dict[str, str]:
    """The settings text of the wire as values by path."""
    rows = (line.partition("=") for line in raw.decode("utf-8", "replace").splitlines())
    return {path.strip(): value.strip() for path, _, value in rows}


def plain(value: object) -> str:
    """One value as the settings text has it.

    >>> plain(True), plain(2.5), plain("two words, or more")
    ('true', '2.5', 'two_words__or_more')
    """
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def flattened(tree: object, path: str = "") -> dict[str, str]:
    """Nested settings as values by path, as the settings text has them.

    >>> flattened({"a": {"b": [1, 2]}, "rows": [{"x": True}], "none": None})
    {'a.b': '1,2', 'rows.count': '1', 'rows.0.x': 'true'}
    """
    if tree is None:
        return {}
    start = path + "." if path else ""
    if isinstance(tree, dict):
        return {p: v for key, value in tree.items() for p, v in flattened(value, f"{start}{key}").items()}
    if isinstance(tree, list) and any(isinstance(row, (dict, list)) for row in tree):
        rows = {p: v for k, row in enumerate(tree) for p, v in flattened(row, f"{start}{k}").items()}
        return {start + "count": str(len(tree)), **rows}
    return {path: ",".join(map(plain, tree)) if isinstance(tree, list) else plain(tree)}


def read_assigner_config(raw: bytes) -> AssignerConfig:
    """What an assigner reads at start, from the wire's settings text."""
    return assigner_config_from(pairs(raw))


def assigner_config_from(values: dict[str, str]) -> AssignerConfig:
    """From values by path; unknown keys are skipped. TermsError names each that is missing or odd."""
    text = _Text(values)
    own_zone = text.names("family_info.class_own_zone")
    methods = []
    for k in range(max(0, min(int(text.number("profiles.count")), 256))):
        row = f"profiles.{k}."
        deadline = text.span(row + "deadline")
        methods.append(
            MethodConfig(
                soft_deadline_us=text.span(row + "slo"),
                deadline_us=deadline,
                criticality=text.number(row + "worth", 1.0),
                idempotency=text.choice(row + "repeat", REPEAT),
                idempotency_scope=text.choice(row + "group", GROUP, "cell"),
                idempotency_window_us=text.span(row + "window", 0.0),
                same_zone_only=k < len(own_zone) and own_zone[k] == "true",
            )
        )
    if not methods:
        text.faults.append("the settings name no method (profiles.count)")
    family = "family_info."
    transit = text.number(family + "transit", 0.0)
    config = AssignerConfig(
        methods=tuple(methods),
        zones=len(text.names("zones")) or 1,
        assigners=max(1, int(text.number("balancers", 1))),
        subscribe=text.word("discovery") == "subscribe",
        refresh_within_us=text.span("rules.ask_within", 10.0),
        report_period_us=max(1, text.span(family + "period")),
        lines_per_s=text.number(family + "lines_per_s"),
        message_overhead_lines=text.number(family + "overhead"),
        max_waiting_lines=text.number(family + "most_waiting"),
        max_messages_per_proxy=int(text.number(family + "messages_most", 0)),
        message_count_window_us=text.span(family + "counted_over", 10.0),
        transit_us=micros(transit),
        max_transit_us=text.span(family + "worst_transit", transit * 3),
        empty_table_limit_us=text.span(family + "bare"),
        drain_grace_us=text.span("rules.drain_grace"),
        removal_is_advisory=text.flag("rules.gone_is_advice"),
        cold_capacity_fraction=text.number("rules.cold_from"),
        warm_up_us=max(1, text.span("rules.warm_up")),
        overload_window_us=text.span("rules.fall"),
        overload_multiple=text.number("rules.fall_multiple"),
        balancing_policy=text.choice(family + "pick", PICK, "random"),
        proxy_ejection_failures=int(text.number(family + "outlier_after", 0)),
        initial_table_size=int(text.number(family + "initial_set", 0)),
        admission=text.choice(family + "admit", ADMIT, "off"),
        default_retry_mode=int(text.number(family + "retry_default", 0)),
        attempt_timeout_factor=text.number(family + "per_try", 1.0),
        slices=int(text.number(family + "partitions_n", 0)),
        exclusive_slices=text.flag(family + "one_owner"),
        load_metric_names=tuple(text.names("report.names")),
        cross_zone_cost=text.number("tariffs.cross_zone", 0.0),
    )
    if text.faults:
        raise SettingsError(text.faults)
    return config
