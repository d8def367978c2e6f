"""Scripts of days (`hollyridge day`): an INI file with the fleet, the load and the troubles."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, PositiveFloat, PositiveInt

from hollyridge.settings import assigner
from hollyridge.settings.ini import WORD_LIST, FaultsError, Section, check, read_file

KINDS = {
    # kind: the forms it has, the first where none is named
    "release": (),
    "restart_in_place": (),
    "vanish": (),
    "hang": (),
    "errors": (),
    "pauses": (),
    "ageing": (),
    "method_fails": ("error", "silence"),
    "handshake_slow": (),
    "grow": (),
    "surge": (),
    "shift": (),
    "false_loads": ("low", "zero", "stuck", "busy"),
    "late_sums": (),
    "zone_lost": ("tasks", "all"),
    "zone_cut": ("tasks", "all"),
    "slow_link": ("zone", "pair"),
    "streams_broken": (),
    "slow_orders": (),
    "unread": (),
    "proxies_killed": (),
    "proxies_stalled": ("apart", "zone"),
    "assigner_killed": (),
    "assigner_stalled": (),
    "peers_cut": ("halves", "one_way", "lossy"),
}
Part = Annotated[float, Field(gt=0, le=1)]
Two = Annotated[list[float], Field(min_length=2, max_length=2), WORD_LIST]


class DaySection(Section):
    """`settings` is the assigner's file, relative to the script."""

    settings: str
    length_s: Annotated[float, Field(gt=2, le=3600)]
    seed: int = 1
    notice_ms: Two = [300, 1500]
    silent_notice_ms: Two = [2000, 6000]


class FleetSection(Section):
    tasks: PositiveInt = 12
    proxies: PositiveInt = 9
    cores: PositiveInt = 2
    slots: PositiveInt = 6
    queue: PositiveInt = 20
    speed: PositiveFloat = 1.0
    speed_spread: Annotated[float, Field(ge=0, lt=1)] = 0.2
    cold_from: Part = 0.25
    cold_s: PositiveFloat = 10
    handshake_ms: Annotated[float, Field(ge=0)] = 5
    connections: PositiveInt = 200
    fronts: Annotated[list[Literal["sasp", "clone"]], WORD_LIST] = ["sasp"]
    cache_s: Annotated[float, Field(ge=0)] = 0
    cache_keys: PositiveInt = 200
    shared: bool = False
    cache_gain: Annotated[float, Field(ge=0, lt=1)] = 0.2


class NetSection(Section):
    """One way, in the simulated world; a frame of orders takes `orders_ms`."""

    near_ms: Annotated[float, Field(ge=0)] = 0.3
    far_ms: Annotated[float, Field(ge=0)] = 1.5
    orders_ms: Annotated[float, Field(ge=0)] = 1.5
    jitter: Annotated[float, Field(ge=0, lt=1)] = 0.3
    lost: Annotated[float, Field(ge=0, lt=1)] = 0
    apply_us: Annotated[float, Field(ge=0)] = 40


class LoadSection(Section):
    """`work_ms` and `shares` in the order of the methods in the settings."""

    rpcs_per_s: PositiveFloat = 90
    work_ms: Annotated[list[PositiveFloat], WORD_LIST] = [100]
    shares: Annotated[list[PositiveFloat], WORD_LIST] = [1]
    client_retries: Annotated[int, Field(ge=0, le=10)] = 2
    reckless: bool = False
    try_share: Part = 0.7
    keys: Annotated[int, Field(ge=0, le=1_000_000)] = 0
    zipf: Annotated[float, Field(ge=0, le=3)] = 0.8


class TroubleSection(Section):
    """What `size` and `extra` mean hangs on the kind; `docs/lab.md` has the table."""

    kind: Literal[tuple(KINDS)]
    how: str = ""
    at_s: Annotated[float, Field(ge=0)]
    for_s: Annotated[float, Field(ge=0)] = 0
    part: Part = 1.0
    size: Annotated[float, Field(ge=0)] = 1.0
    extra: Annotated[float, Field(ge=0)] = 1.0
    zone: str = ""
    method: str = ""

    @property
    def form(self) -> str:
        return self.how or next(iter(KINDS[self.kind]), "")


class Scenario:
    def __init__(
        self,
        path: Path,
        day: DaySection,
        fleet: FleetSection,
        load: LoadSection,
        net: NetSection,
        troubles: dict[str, TroubleSection],
        overrides: dict[tuple[str, str], str],
        terms: assigner.ServiceConfig,
    ) -> None:
        self.path, self.day, self.fleet, self.load, self.net = path, day, fleet, load, net
        self.troubles, self.overrides, self.terms = troubles, overrides, terms


def load(
    path: Path | str, settings: str = "", fronts: tuple[str, ...] = (), times: float = 1.0, assigners: int = 0
) -> Scenario:
    """Read and check a script and the settings it names, or `settings` in their place; `fronts` and `assigners` take
    the place of the script's. Fleet and load are `times` as large, and the channel as a push to all of it needs.
    Raises FaultsError with all that is wrong."""
    path = Path(path)
    parser, faults = read_file(path), []
    found, troubles, overrides = {}, {}, {}
    models = {"day": DaySection, "fleet": FleetSection, "load": LoadSection, "net": NetSection}
    for name in parser.sections():
        first, _, rest = name.partition(" ")
        if first == "trouble" and rest:
            trouble = check(name, TroubleSection, dict(parser[name]), faults)
            if trouble is not None:
                troubles[rest.strip()] = trouble
        elif first == "set" and rest:  # [set SECTION]: other figures than the settings have, for this day
            overrides.update(((rest.strip(), key), value) for key, value in parser[name].items())
        elif name not in models:
            faults.append(f"[{name}]: no such section")
    for name, model in models.items():
        values = dict(parser[name]) if parser.has_section(name) else {}
        found[name] = check(name, model, values, faults)
    terms = None
    if found["fleet"] is not None and fronts:
        found["fleet"] = found["fleet"].model_copy(update={"fronts": list(fronts)})
    if found["fleet"] is not None and found["load"] is not None and times != 1.0:
        fleet, rate = found["fleet"], found["load"].rpcs_per_s * times
        found["load"] = found["load"].model_copy(update={"rpcs_per_s": rate})
        found["fleet"] = fleet.model_copy(
            update={key: max(1, round(getattr(fleet, key) * times)) for key in ("tasks", "proxies")}
        )
    if assigners:
        overrides["assigner", "assigners"] = str(assigners)
    listen = "127.0.0.1:3870" if found["fleet"] is not None and "clone" in found["fleet"].fronts else ""

    def assigner_terms() -> assigner.ServiceConfig:
        return assigner.load(
            settings or path.parent / found["day"].settings, {**overrides, ("clone", "listen"): listen}
        )

    if found["day"] is not None:
        try:
            terms = assigner_terms()
            if times != 1.0:
                overrides.update(
                    {
                        ("channel", key): str(getattr(terms.channel, key) * times * times)
                        for key in ("lines_per_s", "most_waiting")
                    }
                )
                terms = assigner_terms()
        except FaultsError as trouble:
            faults += [f"{found['day'].settings}: {fault}" for fault in trouble.faults]
    if terms is not None and found["load"] is not None:
        for key in ("work_ms", "shares"):
            if len(getattr(found["load"], key)) != len(terms.methods):
                faults.append(f"[load] {key}: {len(terms.methods)} figures wanted, one a method")
        for name, trouble in troubles.items():
            if trouble.zone and trouble.zone not in terms.zones:
                faults.append(f"[trouble {name}] zone: no such zone in the settings")
            if trouble.method and trouble.method not in terms.methods:
                faults.append(f"[trouble {name}] method: no such method in the settings")
            if trouble.how and trouble.how not in KINDS[trouble.kind]:
                faults.append(f"[trouble {name}] how: {', '.join(KINDS[trouble.kind]) or 'it has one form only'}")
            if trouble.at_s >= found["day"].length_s:
                faults.append(f"[trouble {name}] at_s: after the day's end")
    if faults:
        raise FaultsError(faults)
    return Scenario(path, found["day"], found["fleet"], found["load"], found["net"], troubles, overrides, terms)
