"""Parsing of settings to a flat map of texts by path, from `path=value` lines or from nested JSON values."""

from __future__ import annotations

from collections.abc import Iterable


def parse_settings_text(raw: bytes) -> dict[str, str]:
    r"""Return values by path from the settings text of the bench's wire, with one `path=value` per line.

    >>> parse_settings_text(b"zones = a,b\nrules.fall=2.0")
    {'zones': 'a,b', 'rules.fall': '2.0'}
    """
    lines = (line.partition("=") for line in raw.decode("utf-8", "replace").splitlines())
    return {path.strip(): value.strip() for path, _, value in lines}


def format_value(value: object) -> str:
    """Return one JSON value in the format of the settings text.

    >>> format_value(True), format_value(2.5), format_value("two words, or more")
    ('true', '2.5', 'two_words__or_more')
    """
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def flatten_settings(tree: object, path: str = "") -> dict[str, str]:
    """Return values by path from nested JSON settings, in the format of the settings text.

    A list of plain values becomes one text, separated by commas. A list that holds objects or lists becomes one path
    for each item, by its position, and the number of items under `count`. Null counts as a missing setting.

    >>> flatten_settings({"a": {"b": [1, 2]}, "rows": [{"x": True}], "none": None})
    {'a.b': '1,2', 'rows.count': '1', 'rows.0.x': 'true'}
    """
    if tree is None:
        return {}
    prefix = path + "." if path else ""
    if isinstance(tree, dict):
        return _flatten_items(tree.items(), prefix)
    if not isinstance(tree, list):
        return {path: format_value(tree)}
    if any(isinstance(item, (dict, list)) for item in tree):
        return {prefix + "count": str(len(tree)), **_flatten_items(enumerate(tree), prefix)}
    return {path: ",".join(map(format_value, tree))}


def _flatten_items(items: Iterable[tuple[object, object]], prefix: str) -> dict[str, str]:
    values: dict[str, str] = {}
    for key, value in items:
        values.update(flatten_settings(value, f"{prefix}{key}"))
    return values
