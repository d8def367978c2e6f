"""Scenarios: INI files that describe a day's fleet, load, network and faults (`hollyridge day`, `hollyridge lab`).

Sections and keys are a format: field names of the sections are the keys of the file.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, PositiveFloat, PositiveInt

from hollyridge.settings import assigner
from hollyridge.settings.ini import WORD_LIST, FaultsError, Section, check_section, read_file

FAULT_FORMS = {
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
CHP_LISTEN = "127.0.0.1:3870"  # stands for any address: the environment puts its own in place

Fraction = Annotated[float, Field(gt=0, le=1)]
Pair = Annotated[list[float], Field(min_length=2, max_length=2), WORD_LIST]


class DaySection(Section):
    """The day itself.

    Attributes:
        settings: The assigner's settings file, relative to the scenario.
        notice_ms: Range of the time after which the agent notices a change.
        silent_notice_ms: The same where a task falls silent.
    """

    settings: str
    length_s: Annotated[float, Field(gt=2, le=3600)]
    seed: int = 1
    notice_ms: Pair = Field(default_factory=lambda: [300, 1500])
    silent_notice_ms: Pair = Field(default_factory=lambda: [2000, 6000])


class FleetSection(Section):
    """Tasks and proxies.

    Attributes:
        slots: RPCs that a task works on at once; `queue` more wait.
        speed: Work that a core does in a second, in seconds.
        cold_from: Fraction of its speed that a cold task begins with; it is warm after `cold_s`.
        connections: How many a task takes.
        fronts: Protocols that the proxies speak, zone after zone in turn.
        cache_s: For how long a task works less for a key that it met; 0 for never.
        cache_gain: The fraction of the work that it saves then.
        shared: Whether the assigners share the proxies.
    """

    tasks: PositiveInt = 12
    proxies: PositiveInt = 9
    cores: PositiveInt = 2
    slots: PositiveInt = 6
    queue: PositiveInt = 20
    speed: PositiveFloat = 1.0
    speed_spread: Annotated[float, Field(ge=0, lt=1)] = 0.2
    cold_from: Fraction = 0.25
    cold_s: PositiveFloat = 10
    handshake_ms: Annotated[float, Field(ge=0)] = 5
    connections: PositiveInt = 200
    fronts: Annotated[list[Literal["sasp", "clone"]], WORD_LIST] = Field(default_factory=lambda: ["sasp"])
    cache_s: Annotated[float, Field(ge=0)] = 0
    cache_keys: PositiveInt = 200
    shared: bool = False
    cache_gain: Annotated[float, Field(ge=0, lt=1)] = 0.2


class NetSection(Section):
    """One-way delays of the simulated network.

    Attributes:
        near_ms: Within a zone.
        far_ms: Between zones, and between assigners.
        orders_ms: Of a message between an assigner and its clients.
        jitter: How far a delay varies, as a fraction of it.
        lost: Fraction of the RPCs and answers between zones that are lost.
        apply_us: Time that a proxy takes to apply one line of a table.
    """

    near_ms: Annotated[float, Field(ge=0)] = 0.3
    far_ms: Annotated[float, Field(ge=0)] = 1.5
    orders_ms: Annotated[float, Field(ge=0)] = 1.5
    jitter: Annotated[float, Field(ge=0, lt=1)] = 0.3
    lost: Annotated[float, Field(ge=0, lt=1)] = 0
    apply_us: Annotated[float, Field(ge=0)] = 40


class LoadSection(Section):
    """What clients send.

    Attributes:
        work_ms: Mean work of an RPC, in the order of the methods in the settings.
        shares: Share of the RPCs, in the same order.
        reckless: Whether clients retry RPCs that may have taken effect.
        try_share: Fraction of the time left that one attempt may take.
        keys: Number of keys that RPCs have; 0 for RPCs without a key.
        zipf: Exponent of the keys' popularity.
    """

    rpcs_per_s: PositiveFloat = 90
    work_ms: Annotated[list[PositiveFloat], WORD_LIST] = Field(default_factory=lambda: [100])
    shares: Annotated[list[PositiveFloat], WORD_LIST] = Field(default_factory=lambda: [1])
    client_retries: Annotated[int, Field(ge=0, le=10)] = 2
    reckless: bool = False
    try_share: Fraction = 0.7
    keys: Annotated[int, Field(ge=0, le=1_000_000)] = 0
    zipf: Annotated[float, Field(ge=0, le=3)] = 0.8


class FaultSection(Section):
    """One fault, `[trouble NAME]` in the file.

    What `size` and `extra` mean depends on the kind; `docs/lab.md` has the table.
    """

    kind: Literal[tuple(FAULT_FORMS)]
    how: str = ""
    at_s: Annotated[float, Field(ge=0)]
    for_s: Annotated[float, Field(ge=0)] = 0
    part: Fraction = 1.0
    size: Annotated[float, Field(ge=0)] = 1.0
    extra: Annotated[float, Field(ge=0)] = 1.0
    zone: str = ""
    method: str = ""

    @property
    def form(self) -> str:
        """The form of its kind that it takes."""
        return self.how or next(iter(FAULT_FORMS[self.kind]), "")


MODELS = {"day": DaySection, "fleet": FleetSection, "load": LoadSection, "net": NetSection}


@dataclass
class Scenario:
    """A scenario that was read and checked.

    Attributes:
        faults: By name, in the order of the file.
        overrides: Settings of the assigner that differ for this day, by section and key.
        config: The assigner's configuration with these.
    """

    path: Path
    day: DaySection
    fleet: FleetSection
    load: LoadSection
    net: NetSection
    faults: dict[str, FaultSection]
    overrides: dict[tuple[str, str], str]
    config: assigner.ServiceConfig


def load(
    path: Path | str, settings: str = "", fronts: tuple[str, ...] = (), times: float = 1.0, assigners: int = 0
) -> Scenario:
    """Read and check a scenario and the settings it names.

    Args:
        path: The scenario's file.
        settings: A settings file in place of the one that it names.
        fronts: Protocols in place of the scenario's.
        times: Factor for fleet and load; the channel grows as a push to all of the fleet needs.
        assigners: Their number in place of the settings'.

    Raises:
        FaultsError: With every problem found.
    """
    return _Loader(Path(path), settings).load(fronts, times, assigners)


class _Loader:
    """Reads one scenario and collects its problems.

    Attributes:
        sections: Checked sections by name; None for one that is wrong.
    """

    def __init__(self, path: Path, settings: str) -> None:
        self.path = path
        self.settings = settings
        self.problems: list[str] = []
        self.sections: dict[str, Section | None] = {}
        self.faults: dict[str, FaultSection] = {}
        self.overrides: dict[tuple[str, str], str] = {}

    def load(self, fronts: tuple[str, ...], times: float, assigners: int) -> Scenario:
        self._read()
        self._replace_fronts(fronts)
        self._scale_fleet(times)
        if assigners:
            self.overrides["assigner", "assigners"] = str(assigners)
        config = self._load_config(times)
        if config is not None and self.sections["load"] is not None:
            self._check_methods(config)
            for name, fault in self.faults.items():
                self._check_fault(name, fault, config)
        if self.problems:
            raise FaultsError(self.problems)
        return Scenario(self.path, *(self.sections[name] for name in MODELS), self.faults, self.overrides, config)

    def _read(self) -> None:
        parser = read_file(self.path)
        for name in parser.sections():
            self._read_named(name, dict(parser[name]))
        for name, model in MODELS.items():
            values = dict(parser[name]) if parser.has_section(name) else {}
            self.sections[name] = check_section(name, model, values, self.problems)

    def _read_named(self, section: str, values: dict[str, str]) -> None:
        """Read `[trouble NAME]` or `[set SECTION]`."""
        kind, _, name = section.partition(" ")
        if kind == "trouble" and name:
            fault = check_section(section, FaultSection, values, self.problems)
            if fault is not None:
                self.faults[name.strip()] = fault
        elif kind == "set" and name:
            self.overrides.update(((name.strip(), key), value) for key, value in values.items())
        elif section not in MODELS:
            self.problems.append(f"[{section}]: no such section")

    def _replace_fronts(self, fronts: tuple[str, ...]) -> None:
        fleet = self.sections["fleet"]
        if fleet is not None and fronts:
            self.sections["fleet"] = fleet.model_copy(update={"fronts": list(fronts)})

    def _scale_fleet(self, times: float) -> None:
        fleet, traffic = self.sections["fleet"], self.sections["load"]
        if fleet is None or traffic is None or times == 1.0:
            return
        counts = {key: max(1, round(getattr(fleet, key) * times)) for key in ("tasks", "proxies")}
        self.sections["load"] = traffic.model_copy(update={"rpcs_per_s": traffic.rpcs_per_s * times})
        self.sections["fleet"] = fleet.model_copy(update=counts)

    def _load_config(self, times: float) -> assigner.ServiceConfig | None:
        """The assigner's configuration for a fleet of that size; None if there is a problem with it."""
        if self.sections["day"] is None:
            return None
        try:
            config = self._read_settings()
            if times == 1.0:
                return config
            for key in ("lines_per_s", "most_waiting"):  # as many proxies are sent as many more lines
                self.overrides["channel", key] = str(getattr(config.channel, key) * times * times)
            return self._read_settings()
        except FaultsError as error:
            self.problems += [f"{self.sections['day'].settings}: {problem}" for problem in error.faults]
            return None

    def _read_settings(self) -> assigner.ServiceConfig:
        fleet = self.sections["fleet"]
        chp_listen = CHP_LISTEN if fleet is not None and "clone" in fleet.fronts else ""
        path = self.settings or self.path.parent / self.sections["day"].settings
        return assigner.load(path, {**self.overrides, ("clone", "listen"): chp_listen})

    def _check_methods(self, config: assigner.ServiceConfig) -> None:
        for key in ("work_ms", "shares"):
            if len(getattr(self.sections["load"], key)) != len(config.methods):
                self.problems.append(f"[load] {key}: {len(config.methods)} figures wanted, one a method")

    def _check_fault(self, name: str, fault: FaultSection, config: assigner.ServiceConfig) -> None:
        forms = FAULT_FORMS[fault.kind]
        if fault.zone and fault.zone not in config.zones:
            self.problems.append(f"[trouble {name}] zone: no such zone in the settings")
        if fault.method and fault.method not in config.methods:
            self.problems.append(f"[trouble {name}] method: no such method in the settings")
        if fault.how and fault.how not in forms:
            self.problems.append(f"[trouble {name}] how: {', '.join(forms) or 'it has one form only'}")
        if fault.at_s >= self.sections["day"].length_s:
            self.problems.append(f"[trouble {name}] at_s: after the day's end")
