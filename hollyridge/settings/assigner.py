"""The settings of an assigner (`hollyridge serve`), and the terms that come of them."""

from __future__ import annotations

import ipaddress
import math
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Literal

from pydantic import AfterValidator, Field, PositiveFloat, PositiveInt, field_validator

from hollyridge import interface as api
from hollyridge.chp.server import ChpConfig
from hollyridge.core.engine import EngineLimits
from hollyridge.core.persistence import PersistenceConfig
from hollyridge.core.solver_service import SolverConfig
from hollyridge.keys.tls import TlsFiles
from hollyridge.membership.leases import LeaseConfig
from hollyridge.membership.swim import SwimConfig
from hollyridge.otlp.intake import OtlpConfig
from hollyridge.peers.peer_service import PeerConfig
from hollyridge.registration.members import RegistrationConfig
from hollyridge.sasp.server import SaspConfig
from hollyridge.sasp.weight_advice import shown_methods
from hollyridge.sessions.access import Principal
from hollyridge.settings.address import split
from hollyridge.settings.ini import SEVERAL, FaultsError, Section, check, read_file, words
from hollyridge.store.learned_estimates import fleet_of


def listens(value: str) -> str:
    split(value)
    return value


Listen = Annotated[str, AfterValidator(listens)]
Part = Annotated[float, Field(gt=0, le=1)]
NotNegative = Annotated[float, Field(ge=0)]


class AssignerSection(Section):
    name: str = "assigner"
    seed: int = 0
    assigners: PositiveInt = 1
    report_period_s: Annotated[float, Field(ge=0.05, le=60)] = 1.0


class ChannelSection(Section):
    """Lines are entries as sent; a message costs `head_lines` beyond its own."""

    lines_per_s: PositiveFloat = 3000
    head_lines: NotNegative = 3
    most_waiting: PositiveFloat = 6000
    messages_most: Annotated[int, Field(ge=0)] = 30
    messages_over_s: PositiveFloat = 10
    transit_s: PositiveFloat = 0.02
    worst_transit_s: PositiveFloat = 0.5


class PromisesSection(Section):
    """The figures of the rules."""

    bare_s: Annotated[float, Field(ge=1)] = 5
    drain_grace_s: Annotated[float, Field(ge=1)] = 3
    warm_up_s: PositiveFloat = 16
    cold_from: Part = 0.2
    fall_multiple: Annotated[float, Field(ge=1)] = 4
    fall_s: PositiveFloat = 2


class ProxiesSection(Section):
    pick: Literal["p2c", "rotate", "random"] = "p2c"
    outlier_after: Annotated[int, Field(ge=0)] = 0
    first_table: Annotated[int, Field(ge=0)] = 5
    usual_rate: NotNegative = 10
    most: Annotated[int, Field(ge=1, le=60000)] = 2000
    tasks_most: Annotated[int, Field(ge=1, le=100000)] = 5000
    cross_zone_price: NotNegative = 0.1


class MethodSection(Section):
    group: str = ""
    soft_deadline_ms: PositiveFloat
    deadline_ms: PositiveFloat
    criticality: PositiveFloat = 1
    repeats: Literal["idempotent", "tokened", "non-idempotent"] = "non-idempotent"
    dropped_by: Literal["all", "zone", "cell"] = "all"
    window_ms: NotNegative = 0


class SaspSection(Section):
    listen: Listen = "127.0.0.1:3860"
    fleet: Annotated[str, Field(min_length=1, max_length=64)] = "fleet"
    members_group: Annotated[str, Field(min_length=1, max_length=64)] = "tasks"
    balancers_register: bool = False
    connections_most: PositiveInt = 4000
    connections_each: PositiveInt = 1000
    connects_per_s: PositiveFloat = 500
    requests_per_s: PositiveFloat = 50
    message_most_bytes: Annotated[int, Field(ge=1024, le=1 << 20)] = 1 << 18
    send_buffer_bytes: Annotated[int, Field(ge=4096, le=1 << 22)] = 1 << 16
    frame_s: PositiveFloat = 5
    hello_s: PositiveFloat = 10
    members_each: PositiveInt = 5000


class OtlpSection(Section):
    listen: Listen = "127.0.0.1:4318"
    body_most_bytes: Annotated[int, Field(ge=1024, le=1 << 26)] = 1 << 20
    body_s: PositiveFloat = 5
    connections_most: PositiveInt = 1000
    points_per_s: PositiveFloat = 50000
    series_most: PositiveInt = 200000
    series_each: PositiveInt = 20000
    rate_most: PositiveFloat = 1e6
    lines_per_period: PositiveInt = 2000


class CloneSection(Section):
    """The pub-sub front; `listen` is the first of three ports, empty for none."""

    listen: str = ""
    waiting_most: Annotated[int, Field(ge=100, le=1_000_000)] = 20000
    beat_ms: Annotated[int, Field(ge=50, le=10000)] = 500

    @field_validator("listen")
    @classmethod
    def listens(cls, value: str) -> str:
        if value and split(value)[1] > 65533:
            raise ValueError("three ports are needed from here on")
        return value


class KeysSection(Section):
    """Files, relative to the settings: `tls_*` for SASP and OTLP (all three or none), `curve` for pub-sub."""

    tls_certificate: str = ""
    tls_key: str = ""
    tls_clients: str = ""
    curve: str = ""


class AccessSection(Section):
    """What a bearer may: names of proxies (patterns), networks of members, zones to report for."""

    curve: Annotated[str, Field(pattern=r"^(.{40})?$")] = ""
    proxies: str = ""
    members: str = ""
    reports: str = ""


class RosterSection(Section):
    """How long members are held whose stream broke, and how long a start waits for the list to settle."""

    hold_own_s: PositiveFloat = 1
    hold_agent_s: PositiveFloat = 30
    settle_s: PositiveFloat = 0.5
    settle_most_s: PositiveFloat = 3


class LogSection(Section):
    format: Literal["console", "json"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"
    status_every_s: NotNegative = 10


class KeptSection(Section):
    """What was learnt is kept in `file`, relative to the settings, and told after a restart; empty: nothing is."""

    file: str = ""
    every_s: Annotated[float, Field(ge=0.2, le=3600)] = 10


class SolverSection(Section):
    """The weight solver beside the loop. `handshake`: work of a new connection in average RPCs; `connections`: that a
    task takes (0: not known)."""

    on: bool = False
    handshake: NotNegative = 0.05
    connections: Annotated[int, Field(ge=0)] = 0
    deadline_s: PositiveFloat = 0.5


class PeersSection(Section):
    """Assigners that share a fleet; `listen` empty: this one shares nothing. `known_as`: where the others reach it, if
    that is another address. `key` is a file with 32 bytes as hex,
    `round_trip_ms` the longest usual one between peers; `settle_s`: a member stands so long before proxies move to
    it."""

    listen: str = ""
    known_as: str = ""
    name: Annotated[str, Field(max_length=64)] = ""
    seeds: Annotated[list[str], SEVERAL] = []
    key: str = ""
    zone: str = ""
    weight: Annotated[float, Field(ge=0, le=1e6)] = 1.0
    round_trip_ms: Annotated[float, Field(ge=1, le=5000)] = 20
    lease_s: Annotated[float, Field(ge=0.5, le=60)] = 3
    settle_s: Annotated[float, Field(ge=0, le=3600)] = 10
    members_most: Annotated[int, Field(ge=1, le=64)] = 64


SECTIONS = {
    "assigner": AssignerSection,
    "channel": ChannelSection,
    "promises": PromisesSection,
    "proxies": ProxiesSection,
    "sasp": SaspSection,
    "clone": CloneSection,
    "otlp": OtlpSection,
    "keys": KeysSection,
    "roster": RosterSection,
    "log": LogSection,
    "solver": SolverSection,
    "peers": PeersSection,
    "kept": KeptSection,
}
REPEATS = {
    "idempotent": api.Idempotency.IDEMPOTENT,
    "tokened": api.Idempotency.TOKENED,
    "non-idempotent": api.Idempotency.NON_IDEMPOTENT,
}
DROPPED_BY = {"all": api.IdempotencyScope.ALL, "zone": api.IdempotencyScope.ZONE, "cell": api.IdempotencyScope.CELL}
PICKS = {"random": api.BalancingPolicy.RANDOM, "rotate": api.BalancingPolicy.ROTATE, "p2c": api.BalancingPolicy.P2C}


def fleet_key(path: Path) -> bytes:
    """OSError or ValueError where the file holds no key."""
    secret = bytes.fromhex(path.read_text())
    if len(secret) < 32:
        raise ValueError("32 bytes as hex are wanted")
    return secret


def micros(seconds: float) -> int:
    return round(seconds * 1_000_000)


class ServiceConfig:
    """All that a checked file says, by section, and what each part is told of it.

    Attributes: `assigner`, `channel`, `promises`, `proxies`, `sasp`, `otlp`, `roster`, `log` (sections),
    `methods` (name to section, in file order), `zones` (name to networks, in file order).
    """

    def __init__(
        self,
        sections: dict[str, Section],
        methods: dict[str, MethodSection],
        zones: dict[str, list],
        bearers: list[Principal],
        folder: Path,
    ) -> None:
        self.__dict__.update(sections)
        self.bearers, self.folder = bearers, folder
        self.methods, self.zones = methods, zones
        self.zone_names = list(zones)
        self.method_names = list(methods)

    def groups(self) -> dict[str, int]:
        """Group name to the method whose table it shows."""
        return shown_methods([(m.group or name, m.criticality) for name, m in self.methods.items()])

    def bootstrap(self) -> api.AssignerConfig:
        """What the module reads. A line of a table goes to a proxy once a group, so the module is told of a
        channel that is so many times narrower. Levels and ways to try again travel where the pub-sub front is on;
        SASP refuses them."""
        copies, channel, promises, proxies = len(self.groups()), self.channel, self.promises, self.proxies
        methods = tuple(
            api.MethodConfig(
                soft_deadline_us=micros(m.soft_deadline_ms / 1e3),
                deadline_us=micros(m.deadline_ms / 1e3),
                criticality=m.criticality,
                idempotency=REPEATS[m.repeats],
                idempotency_scope=DROPPED_BY[m.dropped_by],
                idempotency_window_us=micros(m.window_ms / 1e3),
                same_zone_only=False,
            )
            for m in self.methods.values()
        )
        return api.AssignerConfig(
            methods=methods,
            zones=len(self.zones),
            assigners=self.assigner.assigners,
            subscribe=False,
            refresh_within_us=micros(10),
            report_period_us=micros(self.assigner.report_period_s),
            lines_per_s=channel.lines_per_s / copies,
            message_overhead_lines=channel.head_lines / copies,
            max_waiting_lines=channel.most_waiting / copies,
            max_messages_per_proxy=channel.messages_most,
            message_count_window_us=micros(channel.messages_over_s),
            transit_us=micros(channel.transit_s),
            max_transit_us=micros(channel.worst_transit_s),
            empty_table_limit_us=micros(promises.bare_s),
            drain_grace_us=micros(promises.drain_grace_s),
            removal_is_advisory=False,
            cold_capacity_fraction=promises.cold_from,
            warm_up_us=micros(promises.warm_up_s),
            overload_window_us=micros(promises.fall_s),
            overload_multiple=promises.fall_multiple,
            balancing_policy=PICKS[proxies.pick],
            proxy_ejection_failures=proxies.outlier_after,
            initial_table_size=proxies.first_table,
            admission=api.Admission.FRACTION if self.clone.listen else api.Admission.SILENT,
            default_retry_mode=0,
            attempt_timeout_factor=1.0,
            slices=0,
            exclusive_slices=False,
            load_metric_names=("util", "queue"),
            cross_zone_cost=proxies.cross_zone_price,
        )

    def members_terms(self) -> RegistrationConfig:
        roster = self.roster
        return RegistrationConfig(
            micros(self.promises.warm_up_s),
            micros(roster.hold_own_s),
            micros(roster.hold_agent_s),
            micros(roster.settle_s),
            micros(roster.settle_most_s),
            self.proxies.tasks_most,
        )

    def limits(self) -> EngineLimits:
        channel, otlp = self.channel, self.otlp
        return EngineLimits(
            channel.lines_per_s,
            channel.head_lines,
            channel.most_waiting,
            2 * self.proxies.tasks_most,
            self.proxies.most,
            otlp.series_most,
            otlp.series_each,
            otlp.rate_most,
            otlp.lines_per_period,
            8 * otlp.lines_per_period,
        )

    def solver_terms(self) -> SolverConfig | None:
        solver = self.solver
        return SolverConfig(solver.handshake, solver.connections or math.inf, solver.deadline_s) if solver.on else None

    def keeping_terms(self) -> PersistenceConfig | None:
        kept = self.kept
        return (
            PersistenceConfig(self.folder / kept.file, kept.every_s, fleet_of(self.zone_names, self.method_names))
            if kept.file
            else None
        )

    def fleet_terms(self) -> PeerConfig | None:
        """Probes and suspicion as ratios to the stated round trip: an answer within three, a probe every ten."""
        peers = self.peers
        if not peers.listen:
            return None
        return self.fleet_terms_of(
            peers.name or self.assigner.name,
            split(peers.listen),
            tuple(peers.seeds),
            fleet_key(self.folder / peers.key),
            peers.zone,
            peers.known_as,
        )

    def fleet_terms_of(
        self, name: str, listen: tuple[str, int], seeds: tuple[str, ...], secret: bytes, zone: str, known_as: str = ""
    ) -> PeerConfig:
        """The paces of the settings for a member that goes by this name."""
        peers = self.peers
        trip, lease = micros(peers.round_trip_ms / 1e3), micros(peers.lease_s)
        pace = SwimConfig(10 * trip, 3 * trip, peers.members_most)
        return PeerConfig(
            name,
            listen,
            known_as or "{}:{}".format(*listen),
            seeds,
            secret,
            zone,
            peers.weight,
            pace,
            LeaseConfig(lease, micros(peers.settle_s), micros(self.assigner.report_period_s)),
        )

    def tls_files(self) -> TlsFiles | None:
        names = self.keys.tls_certificate, self.keys.tls_key, self.keys.tls_clients
        return TlsFiles(*(str(self.folder / name) for name in names)) if all(names) else None

    def curve_file(self) -> str:
        return str(self.folder / self.keys.curve) if self.keys.curve else ""

    def sasp_terms(self) -> SaspConfig:
        s = self.sasp
        return SaspConfig(
            *split(s.listen),
            s.fleet,
            s.members_group,
            self.groups(),
            s.balancers_register,
            s.message_most_bytes,
            s.send_buffer_bytes,
            s.frame_s,
            s.hello_s,
            s.members_each,
            self.proxies.usual_rate,
        )

    def clone_terms(self) -> ChpConfig:
        return ChpConfig(
            *split(self.clone.listen),
            self.clone.waiting_most,
            self.clone.beat_ms,
            self.proxies.most,
            self.proxies.usual_rate,
            tuple(self.method_names),
        )

    def otlp_terms(self) -> OtlpConfig:
        o = self.otlp
        return OtlpConfig(*split(o.listen), o.body_most_bytes, o.body_s, o.connections_most, o.points_per_s)

    def zone_finder(self) -> Callable[[str], int]:
        """Zone of an address by the most particular network that holds it; -1 for none."""
        nets = sorted(
            ((net, z) for z, some in enumerate(self.zones.values()) for net in some), key=lambda row: -row[0].prefixlen
        )
        known: dict[str, int] = {}

        def find(host: str) -> int:
            zone = known.get(host)
            if zone is None:
                ip = ipaddress.ip_address(host)
                ip = getattr(ip, "ipv4_mapped", None) or ip
                zone = next((z for net, z in nets if ip.version == net.version and ip in net), -1)
                if len(known) < 100_000:
                    known[host] = zone
            return zone

        return find


def load(path: Path | str, overrides: dict[tuple[str, str], str] | None = None) -> ServiceConfig:
    """Read and check a file. Raises FaultsError with all that is wrong, not only the first fault."""
    parser = read_file(path)
    for (section, key), value in (overrides or {}).items():
        if not parser.has_section(section):
            parser.add_section(section)
        parser.set(section, key, value)
    faults: list[str] = []
    sections, methods, zones, bearers = {}, {}, {}, []
    for name in parser.sections():
        first, _, rest = name.partition(" ")
        if first == "method" and rest:
            method = check(name, MethodSection, dict(parser[name]), faults)
            if method is not None:
                methods[rest.strip()] = method
                if method.soft_deadline_ms > method.deadline_ms:
                    faults.append(f"[{name}] soft_deadline_ms: above deadline_ms")
                if method.repeats == "tokened" and not method.window_ms:
                    faults.append(f"[{name}] window_ms: tokened methods need the time within which repeats drop")
        elif first == "access" and rest:
            access = check(name, AccessSection, dict(parser[name]), faults)
            if access is not None:
                nets = networks_of(f"[{name}] members", access.members, faults)
                bearers.append(
                    Principal(rest.strip(), access.curve, words(access.proxies), tuple(nets), words(access.reports))
                )
        elif name == "zones":
            for zone, networks in parser[name].items():
                zones[zone] = networks_of(f"[zones] {zone}", networks, faults)
        elif name not in SECTIONS:
            faults.append(f"[{name}]: no such section")
    for name, model in SECTIONS.items():
        sections[name] = check(name, model, dict(parser[name]) if parser.has_section(name) else {}, faults)
    if not methods and not any(row.startswith("[method") for row in faults):
        faults.append("[method NAME]: at least one is needed")
    if len(methods) > 16:
        faults.append("[method NAME]: 16 at most")
    if not zones:
        faults.append("[zones]: at least one zone with its networks is needed")
    elif len(zones) > 255:
        faults.append("[zones]: 255 at most")
    if faults:
        raise FaultsError(faults)
    terms = ServiceConfig(sections, methods, zones, bearers, Path(path).parent)
    across(terms, faults)
    if faults:
        raise FaultsError(faults)
    return terms


def networks_of(where: str, text: str, faults: list[str]) -> list:
    found = []
    for word in words(text):
        try:
            found.append(ipaddress.ip_network(word))
        except ValueError as trouble:
            faults.append(f"{where}: {trouble}")
    return found


def across(terms: ServiceConfig, faults: list[str]) -> None:
    """Faults that only show between sections."""
    channel, promises = terms.channel, terms.promises
    keys = terms.keys
    tls = [bool(name) for name in (keys.tls_certificate, keys.tls_key, keys.tls_clients)]
    if any(tls) and not all(tls):
        faults.append("[keys] tls_certificate, tls_key, tls_clients: all three or none")
    if terms.clone.listen and any(tls) != bool(keys.curve):
        faults.append("[keys] curve: with the pub-sub front on, either all fronts are closed to strangers or none")
    for name in (keys.tls_certificate, keys.tls_key, keys.tls_clients, keys.curve):
        if name and not (terms.folder / name).is_file():
            faults.append(f"[keys]: no file {name}")
    for bearer in terms.bearers:
        if not any(tls) and not keys.curve:
            faults.append(f"[access {bearer.name}]: needs [keys]; without them nobody can be told apart")
        faults.extend(
            f"[access {bearer.name}] reports: no zone {zone}" for zone in bearer.zones if zone not in terms.zones
        )
    if terms.kept.file and not (terms.folder / terms.kept.file).parent.is_dir():
        faults.append(f"[kept] file: no folder {(terms.folder / terms.kept.file).parent}")
    peers = terms.peers
    for key, addresses in (
        ("listen", [peers.listen] if peers.listen else []),
        ("seeds", peers.seeds),
        ("known_as", [peers.known_as] if peers.known_as else []),
    ):
        for address in addresses:
            try:
                split(address)
            except ValueError as trouble:
                faults.append(f"[peers] {key}: {trouble} (is {address!r:.60})")
    if peers.listen:
        if peers.zone and peers.zone not in terms.zones:
            faults.append("[peers] zone: no such zone")
        if peers.lease_s > promises.bare_s:
            faults.append("[peers] lease_s: above [promises] bare_s; a proxy could be without orders for longer")
        if 30 * peers.round_trip_ms > 1e3 * peers.lease_s:
            faults.append("[peers] round_trip_ms: three probes of ten round trips do not fit into lease_s")
        try:
            fleet_key(terms.folder / peers.key)
        except OSError as trouble:
            faults.append(f"[peers] key: {trouble.strerror} ({peers.key or 'none named'})")
        except ValueError as trouble:
            faults.append(f"[peers] key: {trouble}")
    elif peers.seeds or peers.key:
        faults.append("[peers] listen: missing")
    if channel.worst_transit_s >= promises.drain_grace_s:
        faults.append("[channel] worst_transit_s: not under [promises] drain_grace_s; no drain could be kept")
    if channel.transit_s > channel.worst_transit_s:
        faults.append("[channel] transit_s: above worst_transit_s")
    if channel.most_waiting < 4 * (channel.head_lines + 1):
        faults.append("[channel] most_waiting: less than four messages of one line")
    if promises.warm_up_s < promises.fall_s:
        faults.append("[promises] warm_up_s: under fall_s")
    if terms.clone.listen and terms.clone.waiting_most <= terms.proxies.tasks_most:
        faults.append("[clone] waiting_most: not above [proxies] tasks_most; a whole table could never wait")
    if split(terms.sasp.listen)[1] and terms.sasp.listen == terms.otlp.listen:
        faults.append("[otlp] listen: the same as [sasp] listen")
