"""Scenarios: INI files that describe a day's fleet, load, network and faults (`hollyridge day`, `hollyridge lab`).

Sections and keys are a format: the field names of the section classes are the keys of the file.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, PositiveFloat, PositiveInt

from hollyridge.settings import assigner
from hollyridge.settings.ini import WORD_LIST, FaultsError, Section, check_section, read_file

FAULT_FORMS = {
    # kind: its forms, the first of which is the default
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
CHP_LISTEN = "127.0.0.1:3870"  # placeholder that enables CHP; the environment replaces it by its own address

Fraction = Annotated[float, Field(gt=0, le=1)]
Range = Annotated[list[float], Field(min_length=2, max_length=2), WORD_LIST]


class DaySection(Section):
    """Section `[day]`: settings, length and random seed of the day.

    Attributes:
        settings: Settings file of the assigner, relative to the scenario.
        length_s: Length of the day, in seconds.
        seed: Seed of the random generators.
        notice_ms: Range of the time after which the agents notice a change, in milliseconds.
        silent_notice_ms: The same for a task that falls silent.
    """

    settings: str
    length_s: Annotated[float, Field(gt=2, le=3600)]
    seed: int = 1
    notice_ms: Range = Field(default_factory=lambda: [300, 1500])
    silent_notice_ms: Range = Field(default_factory=lambda: [2000, 6000])


class FleetSection(Section):
    """Section `[fleet]`: tasks and proxies.

    Attributes:
        tasks: Number of tasks.
        proxies: Number of proxies.
        cores: Number of cores of a task.
        slots: Maximum number of RPCs that a task works on at once.
        queue: Maximum number of RPCs that wait at a task.
        speed: Work that a core does, in seconds per second.
        speed_spread: Maximum random deviation of a task's speed, as a fraction of it.
        cold_from: Fraction of its speed at which a cold task starts.
        cold_s: Duration of the warm-up, in seconds.
        handshake_ms: Work of a new connection, in milliseconds.
        connections: Maximum number of connections of a task.
        fronts: Protocols of the proxies; each round of proxies over the zones uses the next one in turn.
        cache_s: Time for which a key that a task has seen costs it less work, in seconds; 0 for never.
        cache_keys: Maximum number of keys in a task's cache.
        cache_gain: Fraction of the work that a cached key saves.
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
    """Section `[net]`: one-way delays and losses of the simulated network.

    Attributes:
        near_ms: Delay within a zone, in milliseconds.
        far_ms: Delay between zones, and between assigners, in milliseconds.
        orders_ms: Delay of a message between an assigner and its clients, in milliseconds.
        jitter: Maximum random deviation of a delay, as a fraction of it.
        lost: Fraction of the RPCs and answers between zones that are lost.
        apply_us: Time that a proxy takes to apply one line of a table, in microseconds.
    """

    near_ms: Annotated[float, Field(ge=0)] = 0.3
    far_ms: Annotated[float, Field(ge=0)] = 1.5
    orders_ms: Annotated[float, Field(ge=0)] = 1.5
    jitter: Annotated[float, Field(ge=0, lt=1)] = 0.3
    lost: Annotated[float, Field(ge=0, lt=1)] = 0
    apply_us: Annotated[float, Field(ge=0)] = 40


class LoadSection(Section):
    """Section `[load]`: RPCs of the clients.

    Attributes:
        rpcs_per_s: Total rate of RPCs, per second.
        work_ms: Mean work of an RPC in milliseconds, in the order of the methods in the settings.
        shares: Relative share of the RPCs, in the same order.
        client_retries: Maximum number of retries by a client.
        reckless: Whether clients retry RPCs that may have taken effect.
        try_share: Maximum duration of an attempt, as a fraction of the time left until the deadline.
        keys: Number of distinct keys of RPCs; 0 for RPCs without keys.
        zipf: Exponent of the Zipf distribution of the keys.
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
    """Section `[trouble NAME]`: one fault.

    The meaning of `size` and `extra` depends on the kind; `docs/lab.md` has a table of them.

    Attributes:
        kind: Kind of the fault, the name of the method that causes it.
        how: Form of the kind; empty for the default.
        at_s: Start, in seconds of the day.
        for_s: Duration, in seconds.
        part: Fraction of the tasks, proxies or assigners that are affected.
        zone: Name of the affected zone; if empty, a random one or all zones, depending on the kind.
        method: Name of the affected method; empty for a random one.
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
        """Return the form, by default the first one of the kind."""
        return self.how or next(iter(FAULT_FORMS[self.kind]), "")


SECTION_MODELS = {"day": DaySection, "fleet": FleetSection, "load": LoadSection, "net": NetSection}


@dataclass
class Scenario:
    """A validated scenario.

    Attributes:
        path: File of the scenario.
        day: Section `[day]`.
        fleet: Section `[fleet]`.
        load: Section `[load]`.
        net: Section `[net]`.
        faults: Faults by name, in the order of the file.
        overrides: Settings of the assigner that this day replaces, by (section, key).
        config: Configuration of the assigner with the overrides.
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
    """Read and validate a scenario and the settings that it names.

    Args:
        path: File of the scenario.
        settings: Settings file that replaces the one named in the scenario; empty for none.
        fronts: Protocols that replace those of the scenario; empty for none.
        times: Factor for fleet and load; the channel is scaled so that a push to the whole fleet takes as long.
        assigners: Number of assigners that replaces that of the settings; 0 for none.

    Raises:
        FaultsError: The scenario or the settings are invalid; the error has every problem found.
    """
    return _Loader(Path(path), settings).load(fronts, times, assigners)


class _Loader:
    """Loader of one scenario, which collects all problems.

    Attributes:
        problems: Problems found, one line each.
        sections: Validated sections by name; None for an invalid one.
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
        return Scenario(
            self.path, *(self.sections[name] for name in SECTION_MODELS), self.faults, self.overrides, config
        )

    def _read(self) -> None:
        parser = read_file(self.path)
        for name in parser.sections():
            self._read_named_section(name, dict(parser[name]))
        for name, model in SECTION_MODELS.items():
            values = dict(parser[name]) if parser.has_section(name) else {}
            self.sections[name] = check_section(name, model, values, self.problems)

    def _read_named_section(self, section: str, values: dict[str, str]) -> None:
        """Read `[trouble NAME]` or `[set SECTION]`."""
        kind, _, name = section.partition(" ")
        if kind == "trouble" and name:
            fault = check_section(section, FaultSection, values, self.problems)
            if fault is not None:
                self.faults[name.strip()] = fault
        elif kind == "set" and name:
            self.overrides.update(((name.strip(), key), value) for key, value in values.items())
        elif section not in SECTION_MODELS:
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
        """Return the assigner's configuration for a fleet scaled by `times`; None if it is invalid."""
        if self.sections["day"] is None:
            return None
        try:
            config = self._read_settings()
            if times == 1.0:
                return config
            # Both the number of proxies and the number of lines that each is sent are multiplied by `times`.
            for key in ("lines_per_s", "most_waiting"):
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
                self.problems.append(
                    f"[load] {key}: {len(config.methods)} figures wanted, one per method, "
                    f"found {len(getattr(self.sections['load'], key))}"
                )

    def _check_fault(self, name: str, fault: FaultSection, config: assigner.ServiceConfig) -> None:
        forms = FAULT_FORMS[fault.kind]
        if fault.zone and fault.zone not in config.zones:
            self.problems.append(f"[trouble {name}] zone: no such zone in the settings: {fault.zone!r:.80}")
        if fault.method and fault.method not in config.methods:
            self.problems.append(f"[trouble {name}] method: no such method in the settings: {fault.method!r:.80}")
        if fault.how and fault.how not in forms:
            self.problems.append(
                f"[trouble {name}] how: {fault.how!r:.80} found, expected {', '.join(forms) or 'no key for this kind'}"
            )
        if fault.at_s >= self.sections["day"].length_s:
            self.problems.append(
                f"[trouble {name}] at_s: {fault.at_s} found, "
                f"expected less than length_s = {self.sections['day'].length_s}"
            )
