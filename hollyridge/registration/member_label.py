"""Parser of the label of a registered member, which contains words of the form `name=value`."""

from __future__ import annotations

from collections.abc import Mapping
from typing import AnyStr


def read_label(label: str) -> dict[str, str]:
    """Return the `name=value` words of a label. Other words are ignored.

    >>> read_label("shelf-3 run=9f up=12.5 size=2")
    {'run': '9f', 'up': '12.5', 'size': '2'}
    """
    return dict(word.split("=", 1) for word in label.split() if "=" in word)


def number_in_range(values: Mapping[AnyStr, AnyStr], name: AnyStr, minimum: float, maximum: float) -> float | None:
    """Return the number under a name, or None if it is missing, malformed or out of bounds.

    >>> number_in_range({"up": "nan"}, "up", 0, 10), number_in_range({"up": "3"}, "up", 0, 10)
    (None, 3.0)
    """
    try:
        value = float(values.get(name, ""))
    except ValueError:
        return None
    return value if minimum <= value <= maximum else None
