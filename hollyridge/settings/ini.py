"""Reads INI files and checks their sections; every fault is named by section and key."""

from __future__ import annotations

import configparser
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, BeforeValidator, ConfigDict, ValidationError

from hollyridge.errors import HollyridgeError

MAX_FILE_BYTES = 1 << 20


class Section(BaseModel):
    """A section with its keys; unknown keys are faults, since a mistyped key would silently do nothing."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class FaultsError(HollyridgeError):
    """A file can't be used; `faults` holds a line for each fault, as `[section] key: what is wrong`."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


Model = TypeVar("Model", bound=Section)


def words(text: str) -> tuple[str, ...]:
    """The words of a list that is separated by commas or spaces.

    >>> words("a, b  c")
    ('a', 'b', 'c')
    """
    return tuple(text.replace(",", " ").split())


# Marks a key whose value is a list of words.
WORD_LIST = BeforeValidator(lambda value: list(words(value)) if isinstance(value, str) else value)


def read_file(path: Path | str) -> configparser.ConfigParser:
    """The parsed file; FaultsError for one that can't be read as INI."""
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise FaultsError([f"{path}: {error.strerror}"]) from None
    return read_bytes(raw, str(path))


def read_bytes(raw: bytes, source: str) -> configparser.ConfigParser:
    """The parsed text, named by its source in faults; FaultsError for what is no INI."""
    parser = configparser.ConfigParser(
        interpolation=None, inline_comment_prefixes=(";",), strict=True, default_section="\0"
    )
    if len(raw) > MAX_FILE_BYTES:
        raise FaultsError([f"{source}: {len(raw)} bytes, {MAX_FILE_BYTES} at most"])
    try:
        parser.read_string(raw.decode("utf-8"), source=source)
    except UnicodeDecodeError:
        raise FaultsError([f"{source}: not UTF-8 text"]) from None
    except configparser.Error as error:
        raise FaultsError([f"{source}: {' '.join(str(error).split())}"]) from None
    return parser


def check(section: str, model: type[Model], values: dict[str, str], faults: list[str]) -> Model | None:
    r"""The section as its model; None, and what is wrong added to `faults`, if it does not fit.

    >>> class Door(Section):
    ...     width: int
    >>> faults = []
    >>> check("door", Door, {"width": "wide", "colour": "red"}, faults)
    >>> print("\n".join(faults))
    [door] width: Input should be a valid integer, unable to parse string as an integer (is 'wide')
    [door] colour: no such key
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
                given = f" (is {fault['input']!r:.60})" if isinstance(fault["input"], str) else ""
                faults.append(f"[{section}] {key}: {fault['msg']}{given}")
        return None
