"""The platform's JSON configuration, checked into terms; every fault is named."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from hollyridge.discovery.schema import EndpointListError, EndpointPage, WatchEvent, read
from hollyridge.interface import AssignerConfig
from hollyridge.platform_settings.assigner_config import build_assigner_config
from hollyridge.platform_settings.settings_reader import SettingsError
from hollyridge.platform_settings.settings_text import flatten_settings
from hollyridge.resp.messages import ProtocolNames
from hollyridge.settings.address import split

CONFIG_MOST = 16 << 20  # bytes


class ConfigError(Exception):
    """A configuration that can't be used; a line for each fault."""


class ResourceLimits(msgspec.Struct):
    cores: Annotated[float, Meta(gt=0, le=1024)] = 1.0
    memory_mb: Annotated[float, Meta(gt=0)] = 192.0
    sockets: Annotated[int, Meta(ge=32)] = 1024


class ConfigDocument(msgspec.Struct):
    """The file as the platform writes it."""

    name: Annotated[str, Meta(min_length=1, max_length=200)]
    listen: str
    discovery: str
    seed: str
    settings: dict
    limits: ResourceLimits = msgspec.field(default_factory=ResourceLimits)
    known: EndpointPage | None = None


class NodeConfig(NamedTuple):
    """What the assigner runs by. `round_s`: the least time between two decisions."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    limits: ResourceLimits
    config: AssignerConfig
    names: ProtocolNames
    known: WatchEvent
    round_s: float
    values: dict[str, str]


def address(text: str, what: str, faults: list[str]) -> tuple[str, int]:
    """An IP address and a port.

    >>> faults = []; address("127.0.0.1:80", "listen", faults), address("x:1", "listen", faults), faults
    (('127.0.0.1', 80), ('', 0), ['listen is not an IP address with a port: x:1'])
    """
    try:
        host, port = split(text)
        return str(ipaddress.ip_address(host)), port  # spelt one way: a reload compares addresses
    except ValueError:
        faults.append(f"{what} is not an IP address with a port: {text[:60]}")
        return "", 0


def read_file(path: str) -> NodeConfig:
    """NodeError names every fault found."""
    try:
        with Path(path).open("rb") as file:
            raw = file.read(CONFIG_MOST + 1)
    except OSError as trouble:
        raise ConfigError(f"cannot read {path}: {trouble.strerror}") from None
    return read_terms(raw)


def read_terms(raw: bytes) -> NodeConfig:
    if len(raw) > CONFIG_MOST:
        raise ConfigError(f"the configuration is longer than {CONFIG_MOST} bytes")
    try:
        document = msgspec.json.decode(raw, type=ConfigDocument)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError) as trouble:
        raise ConfigError(f"the configuration cannot be read: {str(trouble)[:300]}") from None
    faults: list[str] = []
    listen = address(document.listen, "listen", faults)
    discovery = address(document.discovery, "discovery", faults)
    try:
        seed = int(document.seed, 16)
    except ValueError:
        seed = 0
        faults.append(f"seed is not hexadecimal: {document.seed[:40]}")
    values = flatten_settings(document.settings)
    config = None
    try:
        config = build_assigner_config(values)
    except SettingsError as trouble:
        faults += trouble.faults
    names = names_of(document.settings, values, faults)
    known = WatchEvent(-1, True, ())
    if document.known is not None:
        try:
            known = read(document.known, {name: z for z, name in enumerate(names.zones)})
        except EndpointListError as trouble:
            faults.append(f"known: {trouble}")
    if faults or config is None:
        raise ConfigError("\n".join(faults))
    try:
        round_s = min(0.1, max(0.0005, float(values.get("round", "0.005"))))
    except ValueError:
        round_s = 0.005
    return NodeConfig(document.name, listen, discovery, seed, document.limits, config, names, known, round_s, values)


def names_of(settings: dict, values: dict[str, str], faults: list[str]) -> ProtocolNames:
    """The words that messages use, as they are written there: not as the settings text would write them."""
    rows = settings.get("profiles")
    methods = [row.get("name") for row in rows if isinstance(row, dict)] if isinstance(rows, list) else []
    zones = settings.get("zones")
    for what, found in (("zones", zones), ("profiles[].name", methods)):
        good = isinstance(found, list) and found and all(isinstance(x, str) and x for x in found)
        if not good or len(set(found)) < len(found):
            faults.append(f"the settings have no sensible {what}")
            return ProtocolNames(("",), ("",), 1)
    try:
        proxies = int(float(values.get("family_info.agents", "")))
        if not 1 <= proxies <= 65535:
            raise ValueError
    except ValueError:
        faults.append("the settings have no sensible family_info.agents")
        proxies = 1
    return ProtocolNames(tuple(zones), tuple(methods), proxies)
