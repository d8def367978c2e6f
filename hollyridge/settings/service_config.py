"""What a checked settings file means for each part of the service."""

from __future__ import annotations

import ipaddress
import math
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple, Union

from hollyridge.chp.server import ChpConfig
from hollyridge.core.engine import EngineLimits
from hollyridge.core.persistence import PersistenceConfig
from hollyridge.core.solver_service import SolverConfig
from hollyridge.interface import Admission, AssignerConfig, MethodConfig
from hollyridge.keys.tls import TlsFiles
from hollyridge.membership.leases import LeaseConfig
from hollyridge.membership.swim import SwimConfig
from hollyridge.otlp.intake import OtlpConfig
from hollyridge.peers.peer_service import PeerConfig
from hollyridge.registration.members import RegistrationConfig
from hollyridge.sasp.server import SaspConfig
from hollyridge.sasp.weight_advice import shown_methods
from hollyridge.sessions.access import Principal
from hollyridge.settings.address import split_address
from hollyridge.settings.ini import Section
from hollyridge.settings.sections import (
    BALANCING_POLICIES,
    IDEMPOTENCY,
    IDEMPOTENCY_SCOPES,
    AssignerSection,
    ChannelSection,
    CloneSection,
    KeptSection,
    KeysSection,
    LogSection,
    MethodSection,
    OtlpSection,
    PeersSection,
    PromisesSection,
    ProxiesSection,
    RosterSection,
    SaspSection,
    SolverSection,
)
from hollyridge.store.learned_estimates import fleet_identity

Network = Union[ipaddress.IPv4Network, ipaddress.IPv6Network]

MIN_KEY_BYTES = 32
MAX_CACHED_HOSTS = 100_000  # addresses whose zone is remembered
REFRESH_WITHIN_S = 10  # registrations come unasked; the decisions ask for the list at least this often
REPORT_QUEUE_PERIODS = 8  # periods of reports that may wait for the decisions before reports are dropped
PROBE_INTERVAL_ROUND_TRIPS = 10
PROBE_TIMEOUT_ROUND_TRIPS = 3


def fleet_key(path: Path) -> bytes:
    """The key that peers share; OSError or ValueError where the file holds none."""
    secret = bytes.fromhex(path.read_text())
    if len(secret) < MIN_KEY_BYTES:
        raise ValueError("32 bytes as hex are wanted")
    return secret


def micros(seconds: float) -> int:
    """Whole microseconds."""
    return round(seconds * 1_000_000)


class PeerAddress(NamedTuple):
    """How one member of a shared fleet appears to the others; `known_as` is empty if it is reached at `listen`."""

    name: str
    listen: tuple[str, int]
    seeds: tuple[str, ...]
    secret: bytes
    zone: str
    known_as: str = ""


class ServiceConfig:
    """A checked settings file by section, and the configuration that each part of the service gets from it.

    Attributes:
        methods: Name to section, in the order of the file.
        zones: Name to networks, in the order of the file.
        principals: Who may do what.
        folder: Where the file lies; key and state files are relative to it.
    """

    assigner: AssignerSection
    channel: ChannelSection
    promises: PromisesSection
    proxies: ProxiesSection
    sasp: SaspSection
    clone: CloneSection
    otlp: OtlpSection
    keys: KeysSection
    roster: RosterSection
    log: LogSection
    solver: SolverSection
    peers: PeersSection
    kept: KeptSection

    def __init__(
        self,
        sections: dict[str, Section],
        methods: dict[str, MethodSection],
        zones: dict[str, list[Network]],
        principals: list[Principal],
        folder: Path,
    ) -> None:
        self.__dict__.update(sections)
        self.principals, self.folder = principals, folder
        self.methods, self.zones = methods, zones
        self.zone_names = list(zones)
        self.method_names = list(methods)

    def groups(self) -> dict[str, int]:
        """Group name to the method whose table it shows."""
        return shown_methods([(m.group or name, m.criticality) for name, m in self.methods.items()])

    def assigner_config(self) -> AssignerConfig:
        """What the decisions are configured with.

        A line of a table goes to a proxy once for each group, so the decisions are told of a channel that is so many
        times narrower. Admission levels and retry modes are sent where the pub-sub server is on; SASP has neither.
        """
        copies = len(self.groups())
        channel, promises, proxies = self.channel, self.promises, self.proxies
        return AssignerConfig(
            methods=tuple(map(method_config, self.methods.values())),
            zones=len(self.zones),
            assigners=self.assigner.assigners,
            subscribe=False,
            refresh_within_us=micros(REFRESH_WITHIN_S),
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
            balancing_policy=BALANCING_POLICIES[proxies.pick],
            proxy_ejection_failures=proxies.outlier_after,
            initial_table_size=proxies.first_table,
            admission=Admission.FRACTION if self.clone.listen else Admission.SILENT,
            default_retry_mode=0,
            attempt_timeout_factor=1.0,
            slices=0,
            exclusive_slices=False,
            load_metric_names=("util", "queue"),
            cross_zone_cost=proxies.cross_zone_price,
        )

    def registration_config(self) -> RegistrationConfig:
        """For the registry of members that SASP registers."""
        roster = self.roster
        return RegistrationConfig(
            micros(self.promises.warm_up_s),
            micros(roster.hold_own_s),
            micros(roster.hold_agent_s),
            micros(roster.settle_s),
            micros(roster.settle_most_s),
            self.proxies.tasks_most,
        )

    def engine_limits(self) -> EngineLimits:
        """For the engine; an index of a task rests after its use, so there are twice as many as tasks."""
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
            REPORT_QUEUE_PERIODS * otlp.lines_per_period,
        )

    def solver_config(self) -> SolverConfig | None:
        """For the weight solver; None where it is off."""
        solver = self.solver
        if not solver.on:
            return None
        return SolverConfig(solver.handshake, solver.connections or math.inf, solver.deadline_s)

    def persistence_config(self) -> PersistenceConfig | None:
        """For the file of learned estimates; None where there is none."""
        kept = self.kept
        if not kept.file:
            return None
        return PersistenceConfig(
            self.folder / kept.file, kept.every_s, fleet_identity(self.zone_names, self.method_names)
        )

    def peer_config(self) -> PeerConfig | None:
        """For the exchange with other assigners; None where this one shares nothing."""
        peers = self.peers
        if not peers.listen:
            return None
        return self.peer_config_for(
            PeerAddress(
                peers.name or self.assigner.name,
                split_address(peers.listen),
                tuple(peers.seeds),
                fleet_key(self.folder / peers.key),
                peers.zone,
                peers.known_as,
            )
        )

    def peer_config_for(self, address: PeerAddress) -> PeerConfig:
        """The paces of the settings for this member.

        Probes and suspicion are ratios to the stated round trip: an answer within three, a probe every ten.
        """
        peers = self.peers
        round_trip_us = micros(peers.round_trip_ms / 1e3)
        pace = SwimConfig(
            PROBE_INTERVAL_ROUND_TRIPS * round_trip_us, PROBE_TIMEOUT_ROUND_TRIPS * round_trip_us, peers.members_most
        )
        lease = LeaseConfig(micros(peers.lease_s), micros(peers.settle_s), micros(self.assigner.report_period_s))
        return PeerConfig(
            address.name,
            address.listen,
            address.known_as or "{}:{}".format(*address.listen),
            address.seeds,
            address.secret,
            address.zone,
            peers.weight,
            pace,
            lease,
        )

    def tls_files(self) -> TlsFiles | None:
        """Certificate, key and client authorities; None where connections are open."""
        names = self.keys.tls_certificate, self.keys.tls_key, self.keys.tls_clients
        return TlsFiles(*(str(self.folder / name) for name in names)) if all(names) else None

    def curve_file(self) -> str:
        """The CURVE key of the pub-sub server; empty where it is open."""
        return str(self.folder / self.keys.curve) if self.keys.curve else ""

    def sasp_config(self) -> SaspConfig:
        """For the SASP server."""
        sasp = self.sasp
        return SaspConfig(
            *split_address(sasp.listen),
            sasp.fleet,
            sasp.members_group,
            self.groups(),
            sasp.balancers_register,
            sasp.message_most_bytes,
            sasp.send_buffer_bytes,
            sasp.frame_s,
            sasp.hello_s,
            sasp.members_each,
            self.proxies.usual_rate,
        )

    def chp_config(self) -> ChpConfig:
        """For the pub-sub server."""
        return ChpConfig(
            *split_address(self.clone.listen),
            self.clone.waiting_most,
            self.clone.beat_ms,
            self.proxies.most,
            self.proxies.usual_rate,
            tuple(self.method_names),
        )

    def otlp_config(self) -> OtlpConfig:
        """For the receiver of load reports."""
        otlp = self.otlp
        return OtlpConfig(
            *split_address(otlp.listen), otlp.body_most_bytes, otlp.body_s, otlp.connections_most, otlp.points_per_s
        )

    def zone_finder(self) -> Callable[[str], int]:
        """A call that gives the zone of an address by the most specific network that holds it; -1 for none."""
        networks = sorted(
            ((network, zone) for zone, some in enumerate(self.zones.values()) for network in some),
            key=lambda entry: -entry[0].prefixlen,
        )
        zone_by_host: dict[str, int] = {}

        def find(host: str) -> int:
            zone = zone_by_host.get(host)
            if zone is None:
                zone = zone_of(host, networks)
                if len(zone_by_host) < MAX_CACHED_HOSTS:
                    zone_by_host[host] = zone
            return zone

        return find


def method_config(method: MethodSection) -> MethodConfig:
    """What the decisions are told of one method."""
    return MethodConfig(
        soft_deadline_us=micros(method.soft_deadline_ms / 1e3),
        deadline_us=micros(method.deadline_ms / 1e3),
        criticality=method.criticality,
        idempotency=IDEMPOTENCY[method.repeats],
        idempotency_scope=IDEMPOTENCY_SCOPES[method.dropped_by],
        idempotency_window_us=micros(method.window_ms / 1e3),
        same_zone_only=False,
    )


def zone_of(host: str, networks: list[tuple[Network, int]]) -> int:
    """The zone of the first network that holds the address, IPv4-mapped ones by their IPv4 address; -1 for none."""
    address = ipaddress.ip_address(host)
    address = getattr(address, "ipv4_mapped", None) or address
    holding = (zone for network, zone in networks if address.version == network.version and address in network)
    return next(holding, -1)
