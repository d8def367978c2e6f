"""Reader of the platform's JSON configuration, which reports every fault that it finds."""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import msgspec
from msgspec import Meta

from hollyridge.discovery.schema import EndpointListError, EndpointPage, WatchEvent, read
from hollyridge.errors import HollyridgeError
from hollyridge.interface import AssignerConfig
from hollyridge.platform_settings.assigner_config import build_assigner_config
from hollyridge.platform_settings.settings_reader import SettingsError
from hollyridge.platform_settings.settings_text import flatten_settings
from hollyridge.resp.messages import ProtocolNames
from hollyridge.settings.address import split_address

MAX_CONFIG_BYTES = 16 << 20  # bounds the memory if the path names another, larger file
MAX_DECODE_FAULT_CHARACTERS = 300
MAX_PROXIES = 65535  # limit of the protocol on the number of a proxy
HEXADECIMAL = 16
NO_LIST_VERSION = -1  # version of the cached list if the configuration has none

# Minimum time between two decisions: the default if the setting is missing or not a number, and the bounds.
DEFAULT_DECISION_INTERVAL_S = 0.005
MIN_DECISION_INTERVAL_S = 0.0005
MAX_DECISION_INTERVAL_S = 0.1


class ConfigError(HollyridgeError):
    """The configuration is invalid; the text of the error has one line per fault."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class ResourceLimits(msgspec.Struct):
    """Resource limits that the platform sets for the process."""

    cores: Annotated[float, Meta(gt=0, le=1024)] = 1.0
    memory_mb: Annotated[float, Meta(gt=0)] = 192.0
    sockets: Annotated[int, Meta(ge=32)] = 1024


class ConfigDocument(msgspec.Struct):
    """Content of the configuration file."""

    name: Annotated[str, Meta(min_length=1, max_length=200)]
    listen: str
    discovery: str
    seed: str
    settings: dict
    limits: ResourceLimits = msgspec.field(default_factory=ResourceLimits)
    known: EndpointPage | None = None


class NodeConfig(NamedTuple):
    """Configuration of the node process.

    Attributes:
        name: Name of this assigner in its log.
        listen: IP address and port to listen on.
        discovery: IP address and port of discovery.
        seed: Seed of the assigner's random numbers.
        limits: Resource limits that the platform sets for the process.
        assigner_config: Configuration of the decision module.
        protocol_names: Names that messages use.
        cached_list: Endpoint list to use until discovery has responded.
        min_decision_interval_s: Minimum time between two decisions, in seconds.
        settings: Settings as texts by path.
    """

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    limits: ResourceLimits
    assigner_config: AssignerConfig
    protocol_names: ProtocolNames
    cached_list: WatchEvent
    min_decision_interval_s: float
    settings: dict[str, str]


def load_config(path: str) -> NodeConfig:
    """Read a configuration file.

    Raises:
        ConfigError: The file cannot be read or is invalid; the error names every fault found.
    """
    try:
        with Path(path).open("rb") as file:
            raw = file.read(MAX_CONFIG_BYTES + 1)
    except OSError as error:
        raise ConfigError([f"cannot read {path}: {error.strerror}"]) from None
    return parse_config(raw)


def parse_config(raw: bytes) -> NodeConfig:
    """Decode and validate a configuration.

    Raises:
        ConfigError: The configuration is invalid; the error names every fault found.
    """
    document = _decode(raw)
    faults: list[str] = []
    listen = parse_address(document.listen, "listen", faults)
    discovery = parse_address(document.discovery, "discovery", faults)
    seed = _parse_seed(document.seed, faults)
    settings = flatten_settings(document.settings)
    assigner_config = _read_assigner_config(settings, faults)
    protocol_names = _read_protocol_names(document.settings, settings, faults)
    cached_list = _read_cached_list(document.known, protocol_names.zones, faults)
    if faults or assigner_config is None:
        raise ConfigError(faults)
    return NodeConfig(
        document.name,
        listen,
        discovery,
        seed,
        document.limits,
        assigner_config,
        protocol_names,
        cached_list,
        _read_decision_interval(settings),
        settings,
    )


def parse_address(text: str, field: str, faults: list[str]) -> tuple[str, int]:
    """Return an IP address and a port; add to `faults` if the text is invalid.

    >>> faults = []
    >>> parse_address("127.0.0.1:80", "listen", faults), parse_address("x:1", "listen", faults)
    (('127.0.0.1', 80), ('', 0))
    >>> faults
    ['listen is not an IP address with a port: x:1']
    """
    try:
        host, port = split_address(text)
        return str(ipaddress.ip_address(host)), port  # normalized, because a reload compares addresses
    except ValueError:
        faults.append(f"{field} is not an IP address with a port: {text[:60]}")
        return "", 0


def _decode(raw: bytes) -> ConfigDocument:
    if len(raw) > MAX_CONFIG_BYTES:
        raise ConfigError([f"the configuration is longer than {MAX_CONFIG_BYTES} bytes"])
    try:
        return msgspec.json.decode(raw, type=ConfigDocument)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        fault = str(error)[:MAX_DECODE_FAULT_CHARACTERS]
        raise ConfigError([f"the configuration cannot be read: {fault}"]) from None


def _parse_seed(text: str, faults: list[str]) -> int:
    try:
        return int(text, HEXADECIMAL)
    except ValueError:
        faults.append(f"seed is not hexadecimal: {text[:40]}")
        return 0


def _read_assigner_config(settings: Mapping[str, str], faults: list[str]) -> AssignerConfig | None:
    try:
        return build_assigner_config(settings)
    except SettingsError as error:
        faults += error.faults
        return None


def _read_protocol_names(tree: Mapping[str, Any], settings: Mapping[str, str], faults: list[str]) -> ProtocolNames:
    """Return the names that messages use, which are read from the nested settings because texts by path lose them.

    Args:
        tree: Settings as nested in the file.
        settings: The same settings as texts by path.
        faults: List to which faults are added.
    """
    profiles = tree.get("profiles")
    methods = (
        [profile.get("name") for profile in profiles if isinstance(profile, dict)] if isinstance(profiles, list) else []
    )
    zones = tree.get("zones")
    for path, names in (("zones", zones), ("profiles[].name", methods)):
        if not _are_distinct_names(names):
            faults.append(f"the settings need one or more distinct names in {path}")
            return ProtocolNames(("",), ("",), 1)
    return ProtocolNames(tuple(zones), tuple(methods), _read_proxy_count(settings, faults))


def _are_distinct_names(names: object) -> bool:
    if not isinstance(names, list) or not names:
        return False
    return all(isinstance(name, str) and name for name in names) and len(set(names)) == len(names)


def _read_proxy_count(settings: Mapping[str, str], faults: list[str]) -> int:
    try:
        proxy_count = int(float(settings.get("family_info.agents", "")))
    except ValueError:
        proxy_count = 0
    if not 1 <= proxy_count <= MAX_PROXIES:
        faults.append(f"the settings need a number from 1 to {MAX_PROXIES} in family_info.agents")
        return 1
    return proxy_count


def _read_cached_list(page: EndpointPage | None, zones: tuple[str, ...], faults: list[str]) -> WatchEvent:
    if page is not None:
        try:
            return read(page, {name: zone for zone, name in enumerate(zones)})
        except EndpointListError as error:
            faults.append(f"known: {error}")
    return WatchEvent(NO_LIST_VERSION, True, ())


def _read_decision_interval(settings: Mapping[str, str]) -> float:
    try:
        interval_s = float(settings.get("round", DEFAULT_DECISION_INTERVAL_S))
    except ValueError:
        return DEFAULT_DECISION_INTERVAL_S
    return min(MAX_DECISION_INTERVAL_S, max(MIN_DECISION_INTERVAL_S, interval_s))
