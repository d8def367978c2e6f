"""Typed reading of settings by path: what is missing or has no meaning is collected, not raised at the first."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

from hollyridge.errors import HollyridgeError

Choice = TypeVar("Choice")

MAX_NUMBER = 1e15  # larger figures are no setting; as microseconds they would not be exact either
MAX_SHOWN_CHARACTERS = 40  # of a faulty value, in a fault's text


class SettingsError(HollyridgeError):
    """Settings that can't be used.

    Attributes:
        faults: What is wrong with them, a text for each fault that names the setting's path.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


def seconds_to_us(seconds: float) -> int:
    """Whole microseconds.

    >>> seconds_to_us(0.25)
    250000
    """
    return round(seconds * 1_000_000)


class SettingsReader:
    """Reads typed values from texts by path.

    A fault never ends the reading: it is added to `faults`, and a value of the right type is returned in place.

    >>> reader = SettingsReader({"period": "0.5", "pick": "best"})
    >>> reader.duration_us("period"), reader.choice("pick", {"random": 1}), reader.number("lines_per_s")
    (500000, 1, 0.0)
    >>> reader.faults
    ['the setting pick has no meaning: best', 'the settings lack lines_per_s']
    """

    def __init__(self, values: Mapping[str, str]) -> None:
        self.values = values
        self.faults: list[str] = []

    def text(self, path: str, default: str | None = None) -> str:
        """The value as it stands. Without a default, a missing one is a fault."""
        value = self.values.get(path, default)
        if value is None:
            self.faults.append(f"the settings lack {path}")
            return ""
        return value

    def number(self, path: str, default: float | None = None) -> float:
        """A finite number; 0 where it is at fault."""
        value = self.text(path, None if default is None else str(default))
        try:
            number = float(value)
        except ValueError:
            number = float("nan")
        if not abs(number) < MAX_NUMBER:  # written so that NaN fails too
            self._add_value_fault(path, "is not a number")
            return 0.0
        return number

    def duration_us(self, path: str, default_s: float | None = None) -> int:
        """A duration that the settings give in seconds, as microseconds."""
        return seconds_to_us(self.number(path, default_s))

    def flag(self, path: str) -> bool:
        """Whether the value is `true`; a missing one is not."""
        return self.values.get(path, "false") == "true"

    def names(self, path: str) -> list[str]:
        """Names separated by commas, empty ones left out; none where the setting is missing."""
        return [name for name in self.values.get(path, "").split(",") if name]

    def choice(self, path: str, choices: Mapping[str, Choice], default: str | None = None) -> Choice:
        """What the text stands for; the first of the choices where it is at fault."""
        text = self.text(path, default)
        if text not in choices:
            self._add_value_fault(path, "has no meaning")
            return next(iter(choices.values()))
        return choices[text]

    def _add_value_fault(self, path: str, fault: str) -> None:
        if path in self.values:  # a missing value has its own fault already
            self.faults.append(f"the setting {path} {fault}: {self.values[path][:MAX_SHOWN_CHARACTERS]}")
