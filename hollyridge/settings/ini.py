"""INI text to checked sections; every fault is named by section and key."""

from __future__ import annotations

import configparser
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, BeforeValidator, ConfigDict, ValidationError

MOST_BYTES = 1 << 20


class Section(BaseModel):
    """A section with its keys; unknown keys are faults, since a mistyped key would do nothing unseen."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class FaultsError(Exception):
    """What is wrong with a file, a line a fault, each as `[section] key: what`."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


Model = TypeVar("Model", bound=Section)


def words(text: str) -> tuple[str, ...]:
    """
    >>> words("a, b  c")
    ('a', 'b', 'c')
    """
    return tuple(text.replace(",", " ").split())


SEVERAL = BeforeValidator(lambda value: list(words(value)) if isinstance(value, str) else value)  # for keys with lists


def read_file(path: Path | str) -> configparser.ConfigParser:
    """Raises FaultsError for a file that can't be read as INI."""
    try:
        raw = Path(path).read_bytes()
    except OSError as trouble:
        raise FaultsError([f"{path}: {trouble.strerror}"]) from None
    return read_bytes(raw, str(path))


def read_bytes(raw: bytes, source: str) -> configparser.ConfigParser:
    """Raises FaultsError for what is no INI."""
    parser = configparser.ConfigParser(
        interpolation=None, inline_comment_prefixes=(";",), strict=True, default_section="\0"
    )
    if len(raw) > MOST_BYTES:
        raise FaultsError([f"{source}: {len(raw)} bytes, {MOST_BYTES} at most"])
    try:
        parser.read_string(raw.decode("utf-8"), source=source)
    except UnicodeDecodeError:
        raise FaultsError([f"{source}: not UTF-8 text"]) from None
    except configparser.Error as trouble:
        raise FaultsError([f"{source}: {' '.join(str(trouble).split())}"]) from None
    return parser


def check(section: str, model: type[Model], values: dict[str, str], faults: list[str]) -> Model | None:
    """The section as its model; None, and what is wrong added to `faults`, if it does not fit.

    >>> class Door(Section):
    ...     width: int
    >>> faults = []
    >>> check("door", Door, {"width": "wide", "colour": "red"}, faults)
    >>> print("\\n".join(faults))
    [door] width: Input should be a valid integer, unable to parse string as an integer (is 'wide')
    [door] colour: no such key
    """
    try:
        return model.model_validate(values)
    except ValidationError as trouble:
        for error in trouble.errors():
            key = ".".join(str(part) for part in error["loc"]) or "(whole section)"
            if error["type"] == "extra_forbidden":
                faults.append(f"[{section}] {key}: no such key")
            elif error["type"] == "missing":
                faults.append(f"[{section}] {key}: missing")
            else:
                given = f" (is {error['input']!r:.60})" if isinstance(error["input"], str) else ""
                faults.append(f"[{section}] {key}: {error['msg']}{given}")
        return None
