"""Reader and validator of INI files, which names every fault by section and key."""

from __future__ import annotations

import configparser
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, BeforeValidator, ConfigDict, ValidationError

from hollyridge.errors import HollyridgeError

MAX_FILE_BYTES = 1 << 20


class Section(BaseModel):
    """Base class of section models. Unknown keys are faults, because a mistyped key would silently have no effect."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class FaultsError(HollyridgeError):
    """The file is invalid; `faults` has one line per fault, as `[section] key: description`."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


Model = TypeVar("Model", bound=Section)


def split_words(text: str) -> tuple[str, ...]:
    """Return the words of a list that is separated by commas or spaces.

    >>> split_words("a, b  c")
    ('a', 'b', 'c')
    """
    return tuple(text.replace(",", " ").split())


# Annotation of a key whose value is a list of words.
WORD_LIST = BeforeValidator(lambda value: list(split_words(value)) if isinstance(value, str) else value)


def read_file(path: Path | str) -> configparser.ConfigParser:
    """Parse a file; raise FaultsError if it cannot be read or is not INI."""
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise FaultsError([f"{path}: {error.strerror}"]) from None
    return read_bytes(raw, str(path))


def read_bytes(raw: bytes, source: str) -> configparser.ConfigParser:
    """Parse a text, which faults refer to as `source`; raise FaultsError if it is not INI."""
    parser = configparser.ConfigParser(
        interpolation=None, inline_comment_prefixes=(";",), strict=True, default_section="\0"
    )
    if len(raw) > MAX_FILE_BYTES:
        raise FaultsError([f"{source}: file of {len(raw)} bytes, expected at most {MAX_FILE_BYTES}"])
    try:
        parser.read_string(raw.decode("utf-8"), source=source)
    except UnicodeDecodeError:
        raise FaultsError([f"{source}: not UTF-8 text"]) from None
    except configparser.Error as error:
        raise FaultsError([f"{source}: {' '.join(str(error).split())}"]) from None
    return parser


def check_section(section: str, model: type[Model], values: dict[str, str], faults: list[str]) -> Model | None:
    r"""Validate a section and return its model; if it is invalid, add to `faults` and return None.

    >>> class Door(Section):
    ...     width: int
    >>> faults = []
    >>> check_section("door", Door, {"width": "wide", "color": "red"}, faults)
    >>> print("\n".join(faults))
    [door] width: Input should be a valid integer, unable to parse string as an integer, found 'wide'
    [door] color: no such key
    """
    try:
        return model.model_validate(values)
    except ValidationError as error:
        for fault in error.errors():
            key = ".".join(str(part) for part in fault["loc"]) or "(whole section)"
            if fault["type"] == "extra_forbidden":
                faults.append(f"[{section}] {key}: no such key")
            elif fault["type"] == "missing":
                faults.append(f"[{section}] {key}: missing")
            else:
                given = f", found {fault['input']!r:.60}" if isinstance(fault["input"], str) else ""
                faults.append(f"[{section}] {key}: {fault['msg']}{given}")
        return None
