"""The settings text of the wire, read into a `Bootstrap`."""

from __future__ import annotations

from hollyridge.benchlink.wire import WireError
from hollyridge.interface import Admission, Bootstrap, Group, MethodTerms, Pick, Repeat

REPEAT = {"repeatable": Repeat.IDEMPOTENT, "by_key": Repeat.TOKENED, "once": Repeat.NON_IDEMPOTENT}
GROUP = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
PICK = {"random": Pick.RANDOM, "rotate": Pick.ROTATE, "p2c": Pick.P2C}
ADMIT = {"off": Admission.OFF, "fraction": Admission.FRACTION, "per_second": Admission.PER_SECOND}


def micros(seconds: float) -> int:
    return round(seconds * 1_000_000)


class _Text:
    """Path=value pairs; a missing or odd value is named in the error."""

    def __init__(self, text: bytes) -> None:
        pairs = (line.partition("=") for line in text.decode("utf-8", "replace").splitlines())
        self.values = {path.strip(): value.strip() for path, _, value in pairs}

    def word(self, path: str, default: str | None = None) -> str:
        value = self.values.get(path, default)
        if value is None:
            raise WireError(f"the settings lack {path}")
        return value

    def number(self, path: str, default: float | None = None) -> float:
        value = self.word(path, None if default is None else str(default))
        try:
            figure = float(value)
        except ValueError:
            figure = float("nan")
        if not abs(figure) < 1e15:
            raise WireError(f"the setting {path} is not a number: {value[:40]}")
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
            raise WireError(f"the setting {path} has no meaning: {value[:40]}")
        return words[value]


def read_bootstrap(raw: bytes) -> Bootstrap:
    """What an assigner reads at start; unknown keys are skipped, a missing required one is named."""
    text = _Text(raw)
    own_zone = text.names("family_info.class_own_zone")
    methods = []
    for k in range(int(text.number("profiles.count"))):
        row = f"profiles.{k}."
        deadline = text.span(row + "deadline")
        methods.append(MethodTerms(
            soft_deadline=text.span(row + "slo"),
            deadline=deadline,
            criticality=text.number(row + "worth", 1.0),
            repeat=text.choice(row + "repeat", REPEAT),
            group=text.choice(row + "group", GROUP, "cell"),
            window=text.span(row + "window", 0.0),
            own_zone=k < len(own_zone) and own_zone[k] == "true",
        ))
    if not methods:
        raise WireError("the settings name no method (profiles.count)")
    family = "family_info."
    transit = text.number(family + "transit", 0.0)
    return Bootstrap(
        methods=tuple(methods),
        zones=len(text.names("zones")) or 1,
        assigners=max(1, int(text.number("balancers", 1))),
        subscribe=text.word("discovery") == "subscribe",
        ask_within=text.span("rules.ask_within", 10.0),
        period=max(1, text.span(family + "period")),
        lines_per_s=text.number(family + "lines_per_s"),
        overhead=text.number(family + "overhead"),
        most_waiting=text.number(family + "most_waiting"),
        messages_most=int(text.number(family + "messages_most", 0)),
        counted_over=text.span(family + "counted_over", 10.0),
        transit=micros(transit),
        worst_transit=text.span(family + "worst_transit", transit * 3),
        bare=text.span(family + "bare"),
        drain_grace=text.span("rules.drain_grace"),
        gone_is_advice=text.flag("rules.gone_is_advice"),
        cold_from=text.number("rules.cold_from"),
        warm_up=max(1, text.span("rules.warm_up")),
        fall=text.span("rules.fall"),
        fall_multiple=text.number("rules.fall_multiple"),
        pick=text.choice(family + "pick", PICK, "random"),
        outlier_after=int(text.number(family + "outlier_after", 0)),
        initial_set=int(text.number(family + "initial_set", 0)),
        admission=text.choice(family + "admit", ADMIT, "off"),
        retry_default=int(text.number(family + "retry_default", 0)),
        per_try=text.number(family + "per_try", 1.0),
        partitions=int(text.number(family + "partitions_n", 0)),
        one_owner=text.flag(family + "one_owner"),
        load_names=tuple(text.names("report.names")),
        cross_zone_price=text.number("tariffs.cross_zone", 0.0),
    )
