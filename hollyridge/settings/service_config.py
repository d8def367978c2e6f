"""Configuration of each component of the service, built from a validated settings file."""

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
MAX_CACHED_HOSTS = 100_000  # addresses whose zone is cached
REFRESH_WITHIN_S = 10  # maximum time between refreshes of the list; registrations arrive without a refresh
REPORT_QUEUE_PERIODS = 8  # report periods whose reports may be queued for decisions; further reports are dropped
PROBE_INTERVAL_ROUND_TRIPS = 10
PROBE_TIMEOUT_ROUND_TRIPS = 3


def fleet_key(path: Path) -> bytes:
    """Return the key that peers share; raise OSError or ValueError if the file has no valid key."""
    secret = bytes.fromhex(path.read_text())
    if len(secret) < MIN_KEY_BYTES:
        raise ValueError(f"{MIN_KEY_BYTES} bytes or more expected as hex, found {len(secret)}")
    return secret


def to_microseconds(seconds: float) -> int:
    """Convert seconds to whole microseconds."""
    return round(seconds * 1_000_000)


class PeerAddress(NamedTuple):
    """Identity and addresses of one member of a shared fleet; `known_as` is empty if others reach it at `listen`."""

    name: str
    listen: tuple[str, int]
    seeds: tuple[str, ...]
    secret: bytes
    zone: str
    known_as: str = ""


class ServiceConfig:
    """Sections of a validated settings file, and the configuration of each component built from them.

    Attributes:
        methods: Sections by method name, in the order of the file.
        zones: Networks by zone name, in the order of the file.
        principals: Principals with their permissions.
        folder: Folder of the settings file, to which the paths of key and state files are relative.
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
        """Return, by group name, the index of the method whose table the group shows."""
        return shown_methods([(m.group or name, m.criticality) for name, m in self.methods.items()])

    def assigner_config(self) -> AssignerConfig:
        """Return the configuration of the decision module.

        Each table line is sent to a proxy once per group, so the capacity of the channel is divided by the number of
        groups. Admission levels and retry modes are sent if the pub-sub server is on; SASP has neither.
        """
        copies = len(self.groups())
        channel, promises, proxies = self.channel, self.promises, self.proxies
        return AssignerConfig(
            methods=tuple(map(method_config, self.methods.values())),
            zones=len(self.zones),
            assigners=self.assigner.assigners,
            subscribe=False,
            refresh_within_us=to_microseconds(REFRESH_WITHIN_S),
            report_period_us=to_microseconds(self.assigner.report_period_s),
            lines_per_s=channel.lines_per_s / copies,
            message_overhead_lines=channel.head_lines / copies,
            max_waiting_lines=channel.most_waiting / copies,
            max_messages_per_proxy=channel.messages_most,
            message_count_window_us=to_microseconds(channel.messages_over_s),
            transit_us=to_microseconds(channel.transit_s),
            max_transit_us=to_microseconds(channel.worst_transit_s),
            empty_table_limit_us=to_microseconds(promises.bare_s),
            drain_grace_us=to_microseconds(promises.drain_grace_s),
            removal_is_advisory=False,
            cold_capacity_fraction=promises.cold_from,
            warm_up_us=to_microseconds(promises.warm_up_s),
            overload_window_us=to_microseconds(promises.fall_s),
            overload_multiple=promises.fall_multiple,
            balancing_policy=BALANCING_POLICIES[proxies.pick],
            proxy_ejection_failures=proxies.outlier_after,
            initial_table_size=proxies.first_table,
            admission=Admission.FRACTION if self.clone.listen else Admission.NOT_SUPPORTED,
            default_retry_mode=0,
            attempt_timeout_factor=1.0,
            slices=0,
            exclusive_slices=False,
            load_metric_names=("util", "queue"),
            cross_zone_cost=proxies.cross_zone_price,
        )

    def registration_config(self) -> RegistrationConfig:
        """Return the configuration of the registry of members registered through SASP."""
        roster = self.roster
        return RegistrationConfig(
            to_microseconds(self.promises.warm_up_s),
            to_microseconds(roster.hold_own_s),
            to_microseconds(roster.hold_agent_s),
            to_microseconds(roster.settle_s),
            to_microseconds(roster.settle_most_s),
            self.proxies.tasks_most,
        )

    def engine_limits(self) -> EngineLimits:
        """Return the limits of the engine: twice as many indices as tasks, because reuse of an index is delayed."""
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
        """Return the configuration of the weight solver; None if it is off."""
        solver = self.solver
        if not solver.on:
            return None
        return SolverConfig(solver.handshake, solver.connections or math.inf, solver.deadline_s)

    def persistence_config(self) -> PersistenceConfig | None:
        """Return the configuration of the file of learned estimates; None if there is no file."""
        kept = self.kept
        if not kept.file:
            return None
        return PersistenceConfig(
            self.folder / kept.file, kept.every_s, fleet_identity(self.zone_names, self.method_names)
        )

    def peer_config(self) -> PeerConfig | None:
        """Return the configuration of the exchange with other assigners; None if this one does not share a fleet."""
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
        """Return the peer configuration of a member with the intervals of these settings.

        The probe timeout is three times the configured round trip, and the probe interval is ten times.
        """
        peers = self.peers
        round_trip_us = to_microseconds(peers.round_trip_ms / 1e3)
        pace = SwimConfig(
            PROBE_INTERVAL_ROUND_TRIPS * round_trip_us, PROBE_TIMEOUT_ROUND_TRIPS * round_trip_us, peers.members_most
        )
        lease = LeaseConfig(
            to_microseconds(peers.lease_s),
            to_microseconds(peers.settle_s),
            to_microseconds(self.assigner.report_period_s),
        )
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
        """Return the files with certificate, key and client authorities; None if TLS is off."""
        names = self.keys.tls_certificate, self.keys.tls_key, self.keys.tls_clients
        return TlsFiles(*(str(self.folder / name) for name in names)) if all(names) else None

    def curve_file(self) -> str:
        """Return the path of the pub-sub server's CURVE key; empty if CURVE is off."""
        return str(self.folder / self.keys.curve) if self.keys.curve else ""

    def sasp_config(self) -> SaspConfig:
        """Return the configuration of the SASP server."""
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
        """Return the configuration of the pub-sub server."""
        return ChpConfig(
            *split_address(self.clone.listen),
            self.clone.waiting_most,
            self.clone.beat_ms,
            self.proxies.most,
            self.proxies.usual_rate,
            tuple(self.method_names),
        )

    def otlp_config(self) -> OtlpConfig:
        """Return the configuration of the receiver of load reports."""
        otlp = self.otlp
        return OtlpConfig(
            *split_address(otlp.listen), otlp.body_most_bytes, otlp.body_s, otlp.connections_most, otlp.points_per_s
        )

    def zone_finder(self) -> Callable[[str], int]:
        """Return a function from an address to the zone with the most specific network containing it; -1 for none."""
        networks = sorted(
            ((network, zone) for zone, zone_networks in enumerate(self.zones.values()) for network in zone_networks),
            key=lambda entry: -entry[0].prefixlen,
        )
        zone_by_host: dict[str, int] = {}

        def find(host: str) -> int:
            zone = zone_by_host.get(host)
            if zone is None:
                zone = find_zone(host, networks)
                if len(zone_by_host) < MAX_CACHED_HOSTS:
                    zone_by_host[host] = zone
            return zone

        return find


def method_config(method: MethodSection) -> MethodConfig:
    """Return the decision module's configuration of one method."""
    return MethodConfig(
        soft_deadline_us=to_microseconds(method.soft_deadline_ms / 1e3),
        deadline_us=to_microseconds(method.deadline_ms / 1e3),
        criticality=method.criticality,
        idempotency=IDEMPOTENCY[method.repeats],
        idempotency_scope=IDEMPOTENCY_SCOPES[method.dropped_by],
        idempotency_window_us=to_microseconds(method.window_ms / 1e3),
        same_zone_only=False,
    )


def find_zone(host: str, networks: list[tuple[Network, int]]) -> int:
    """Return the zone of the first network that contains the address, -1 for none; unmap IPv4-mapped addresses."""
    address = ipaddress.ip_address(host)
    address = getattr(address, "ipv4_mapped", None) or address
    zones = (zone for network, zone in networks if address.version == network.version and address in network)
    return next(zones, -1)
