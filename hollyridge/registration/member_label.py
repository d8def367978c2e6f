"""Reading the label of a registered member: words of the form `name=value`."""

from __future__ import annotations

from collections.abc import Mapping
from typing import AnyStr


def read_label(label: str) -> dict[str, str]:
    """The `name=value` words of a label; anything else in it is ignored.

    >>> read_label("shelf-3 run=9f up=12.5 size=2")
    {'run': '9f', 'up': '12.5', 'size': '2'}
    """
    return dict(word.split("=", 1) for word in label.split() if "=" in word)


def figure(words: Mapping[AnyStr, AnyStr], name: AnyStr, minimum: float, maximum: float) -> float | None:
    """A number by its name within bounds; None where there is none, or it is no such number.

    >>> figure({"up": "nan"}, "up", 0, 10), figure({"up": "3"}, "up", 0, 10)
    (None, 3.0)
    """
    try:
        value = float(words.get(name, ""))
    except ValueError:
        return None
    return value if minimum <= value <= maximum else None
