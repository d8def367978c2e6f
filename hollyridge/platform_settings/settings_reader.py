"""Typed reading of settings by path, which collects all faults instead of raising the first one."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

from hollyridge.errors import HollyridgeError

Choice = TypeVar("Choice")

MAX_NUMBER = 1e15  # larger numbers are invalid; as microseconds they would not be exact
MAX_SHOWN_CHARACTERS = 40  # maximum length of an invalid value in the text of a fault


class SettingsError(HollyridgeError):
    """Error for missing or invalid settings.

    Attributes:
        faults: Text of each fault, which names the setting's path.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


def seconds_to_us(seconds: float) -> int:
    """Return the duration in whole microseconds.

    >>> seconds_to_us(0.25)
    250000
    """
    return round(seconds * 1_000_000)


class SettingsReader:
    """Reader of typed values from texts by path.

    A fault does not end the reading. It is added to `faults`, and a placeholder of the right type is returned.

    >>> reader = SettingsReader({"period": "0.5", "pick": "best"})
    >>> reader.duration_us("period"), reader.choice("pick", {"random": 1}), reader.number("lines_per_s")
    (500000, 1, 0.0)
    >>> reader.faults
    ['the setting pick has no valid value (expected one of random): best', 'the settings lack lines_per_s']
    """

    def __init__(self, values: Mapping[str, str]) -> None:
        self.values = values
        self.faults: list[str] = []

    def text(self, path: str, default: str | None = None) -> str:
        """Return the unchanged text; without a default, a missing setting is a fault."""
        value = self.values.get(path, default)
        if value is None:
            self.faults.append(f"the settings lack {path}")
            return ""
        return value

    def number(self, path: str, default: float | None = None) -> float:
        """Return a finite number; 0 after a fault."""
        value = self.text(path, None if default is None else str(default))
        try:
            number = float(value)
        except ValueError:
            number = float("nan")
        if not abs(number) < MAX_NUMBER:  # this form of the comparison rejects NaN as well
            self._add_value_fault(path, f"is not a finite number below {MAX_NUMBER:g}")
            return 0.0
        return number

    def duration_us(self, path: str, default_s: float | None = None) -> int:
        """Return a duration in microseconds; the settings give it in seconds."""
        return seconds_to_us(self.number(path, default_s))

    def flag(self, path: str) -> bool:
        """Return whether the value is `true`; a missing setting counts as false."""
        return self.values.get(path, "false") == "true"

    def names(self, path: str) -> list[str]:
        """Return the non-empty names of a comma-separated list; a missing setting counts as an empty list."""
        return [name for name in self.values.get(path, "").split(",") if name]

    def choice(self, path: str, choices: Mapping[str, Choice], default: str | None = None) -> Choice:
        """Return the choice for the text; the first choice after a fault."""
        text = self.text(path, default)
        if text not in choices:
            self._add_value_fault(path, f"has no valid value (expected one of {', '.join(choices)})")
            return next(iter(choices.values()))
        return choices[text]

    def _add_value_fault(self, path: str, fault: str) -> None:
        if path in self.values:  # a missing value is already recorded as a fault
            self.faults.append(f"the setting {path} {fault}: {self.values[path][:MAX_SHOWN_CHARACTERS]}")
