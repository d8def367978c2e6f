"""Reader and validator of the settings file of an assigner (`hollyridge serve`)."""

from __future__ import annotations

import ipaddress
from configparser import ConfigParser
from pathlib import Path

from hollyridge.sessions.access import Principal
from hollyridge.settings.address import split_address
from hollyridge.settings.ini import FaultsError, check_section, read_file, split_words
from hollyridge.settings.sections import SECTIONS, AccessSection, MethodSection, PeersSection
from hollyridge.settings.service_config import PROBE_INTERVAL_ROUND_TRIPS, Network, ServiceConfig, fleet_key

MAX_METHODS = 16  # bits of the method mask in commands
MAX_ZONES = 255
PROBES_PER_LEASE = 3
MIN_WAITING_MESSAGES = 4  # number of one-line messages that the channel must be able to queue


def load(path: Path | str, overrides: dict[tuple[str, str], str] | None = None) -> ServiceConfig:
    """Read and validate a file.

    Args:
        path: Path of the file.
        overrides: Values that replace those of the file, by pairs of section and key.

    Raises:
        FaultsError: The file is invalid; the error has all faults, not only the first one.
    """
    parser = read_file(path)
    for (section, key), value in (overrides or {}).items():
        if not parser.has_section(section):
            parser.add_section(section)
        parser.set(section, key, value)
    faults: list[str] = []
    config = parse(parser, Path(path).parent, faults)
    if faults:
        raise FaultsError(faults)
    check_across_sections(config, faults)
    if faults:
        raise FaultsError(faults)
    return config


def parse(parser: ConfigParser, folder: Path, faults: list[str]) -> ServiceConfig:
    """Validate all sections; add to `faults` and leave out invalid ones."""
    methods: dict[str, MethodSection] = {}
    zones: dict[str, list[Network]] = {}
    principals: list[Principal] = []
    for name in parser.sections():
        kind, _, label = name.partition(" ")
        values = dict(parser[name])
        if kind == "method" and label:
            method = check_method(name, values, faults)
            if method is not None:
                methods[label.strip()] = method
        elif kind == "access" and label:
            principal = check_access(name, label.strip(), values, faults)
            if principal is not None:
                principals.append(principal)
        elif name == "zones":
            for zone, networks in values.items():
                zones[zone] = parse_networks(f"[zones] {zone}", networks, faults)
        elif name not in SECTIONS:
            faults.append(f"[{name}]: no such section")
    sections = {
        name: check_section(name, model, dict(parser[name]) if parser.has_section(name) else {}, faults)
        for name, model in SECTIONS.items()
    }
    check_counts(methods, zones, faults)
    return ServiceConfig(sections, methods, zones, principals, folder)


def check_method(section: str, values: dict[str, str], faults: list[str]) -> MethodSection | None:
    """Validate one [method NAME]; return None if it is invalid."""
    method = check_section(section, MethodSection, values, faults)
    if method is None:
        return None
    if method.soft_deadline_ms > method.deadline_ms:
        faults.append(f"[{section}] soft_deadline_ms: above deadline_ms")
    if method.repeats == "tokened" and not method.window_ms:
        faults.append(f"[{section}] window_ms: 0, but tokened methods need the time within which repeats are dropped")
    return method


def check_access(section: str, name: str, values: dict[str, str], faults: list[str]) -> Principal | None:
    """Validate one [access NAME] and return its principal; return None if it is invalid."""
    access = check_section(section, AccessSection, values, faults)
    if access is None:
        return None
    networks = parse_networks(f"[{section}] members", access.members, faults)
    return Principal(name, access.curve, split_words(access.proxies), tuple(networks), split_words(access.reports))


def check_counts(methods: dict[str, MethodSection], zones: dict[str, list[Network]], faults: list[str]) -> None:
    """Check that there are methods and zones, and not more of them than commands support."""
    if not methods and not any(fault.startswith("[method") for fault in faults):
        faults.append("[method NAME]: at least one is needed")
    if len(methods) > MAX_METHODS:
        faults.append(f"[method NAME]: {len(methods)} methods, expected at most {MAX_METHODS}")
    if not zones:
        faults.append("[zones]: at least one zone with its networks is needed")
    elif len(zones) > MAX_ZONES:
        faults.append(f"[zones]: {len(zones)} zones, expected at most {MAX_ZONES}")


def parse_networks(key: str, text: str, faults: list[str]) -> list[Network]:
    """Return the networks in the text of a key; add to `faults` for each invalid one."""
    networks = []
    for word in split_words(text):
        try:
            networks.append(ipaddress.ip_network(word))
        except ValueError as error:
            faults.append(f"{key}: {error}")
    return networks


def check_across_sections(config: ServiceConfig, faults: list[str]) -> None:
    """Check that sections fit each other, keeping the order of faults that users know."""
    check_keys(config, faults)
    check_state_file(config, faults)
    check_peers(config, faults)
    check_channel(config, faults)
    check_listeners(config, faults)


def check_keys(config: ServiceConfig, faults: list[str]) -> None:
    """Check that keys are complete, their files exist, and principals can be authenticated by them."""
    keys = config.keys
    tls = [bool(name) for name in (keys.tls_certificate, keys.tls_key, keys.tls_clients)]
    if any(tls) and not all(tls):
        faults.append("[keys] tls_certificate, tls_key, tls_clients: set all three or none")
    if config.clone.listen and any(tls) != bool(keys.curve):
        faults.append("[keys] curve: with [clone] listen set, set both curve and the TLS keys or neither")
    for name in (keys.tls_certificate, keys.tls_key, keys.tls_clients, keys.curve):
        if name and not (config.folder / name).is_file():
            faults.append(f"[keys]: file {name} does not exist")
    for principal in config.principals:
        if not any(tls) and not keys.curve:
            faults.append(f"[access {principal.name}]: needs [keys], because principals are authenticated by keys")
        faults.extend(
            f"[access {principal.name}] reports: no such zone {zone}"
            for zone in principal.zones
            if zone not in config.zones
        )


def check_state_file(config: ServiceConfig, faults: list[str]) -> None:
    """Check that the folder of the state file exists."""
    folder = (config.folder / config.kept.file).parent
    if config.kept.file and not folder.is_dir():
        faults.append(f"[kept] file: folder {folder} does not exist")


def check_peers(config: ServiceConfig, faults: list[str]) -> None:
    """Check addresses, zone and key of the peers, and that intervals of probes and leases fit each other."""
    peers = config.peers
    check_peer_addresses(peers, faults)
    if not peers.listen:
        if peers.seeds or peers.key:
            faults.append("[peers] listen: missing")
        return
    if peers.zone and peers.zone not in config.zones:
        faults.append("[peers] zone: no such zone")
    if peers.lease_s > config.promises.bare_s:
        faults.append("[peers] lease_s: above [promises] bare_s, so that a proxy could be without updates for longer")
    if PROBES_PER_LEASE * PROBE_INTERVAL_ROUND_TRIPS * peers.round_trip_ms > 1e3 * peers.lease_s:
        faults.append("[peers] round_trip_ms: three probes of ten round trips do not fit into lease_s")
    try:
        fleet_key(config.folder / peers.key)
    except OSError as error:
        faults.append(f"[peers] key: {error.strerror} ({peers.key or 'not set'})")
    except ValueError as error:
        faults.append(f"[peers] key: {error}")


def check_peer_addresses(peers: PeersSection, faults: list[str]) -> None:
    """Check that each configured address is valid."""
    for key, addresses in (
        ("listen", [peers.listen] if peers.listen else []),
        ("seeds", peers.seeds),
        ("known_as", [peers.known_as] if peers.known_as else []),
    ):
        for address in addresses:
            try:
                split_address(address)
            except ValueError as error:
                faults.append(f"[peers] {key}: {error}, found {address!r:.60}")


def check_channel(config: ServiceConfig, faults: list[str]) -> None:
    """Check that the speed and size of the channel allow the limits in [promises] to be kept."""
    channel, promises = config.channel, config.promises
    if channel.worst_transit_s >= promises.drain_grace_s:
        faults.append(
            "[channel] worst_transit_s: not below [promises] drain_grace_s, so that no drain could complete in time"
        )
    if channel.transit_s > channel.worst_transit_s:
        faults.append("[channel] transit_s: above worst_transit_s")
    if channel.most_waiting < MIN_WAITING_MESSAGES * (channel.head_lines + 1):
        faults.append("[channel] most_waiting: below the size of four messages of one line")
    if promises.warm_up_s < promises.fall_s:
        faults.append("[promises] warm_up_s: below fall_s")


def check_listeners(config: ServiceConfig, faults: list[str]) -> None:
    """Check that servers can queue a complete table and do not share an address."""
    if config.clone.listen and config.clone.waiting_most <= config.proxies.tasks_most:
        faults.append(
            "[clone] waiting_most: not above [proxies] tasks_most, so that a complete table could not be queued"
        )
    if split_address(config.sasp.listen)[1] and config.sasp.listen == config.otlp.listen:
        faults.append("[otlp] listen: the same as [sasp] listen")
