"""Fixtures below `tests/formats/`: stored and transmitted formats as an earlier version of the code wrote them.

Each `test_formats_*` module has `WRITERS`, which maps a file name to a function that produces the text of that file
with the current code. `python tests/stored.py` writes the missing files and never changes an existing one. A fixture is
changed only by deleting it first; that is a change of a format and must be stated in the commit.
"""

from __future__ import annotations

import importlib
import json
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
FOLDER = ROOT / "tests" / "formats"
# Objects whose keys are data (names of proxies, tasks, methods, reasons), not names of the format.
DATA_KEYED = {
    "members",
    "owns",
    "refused",
    "refused_why",
    "turned_down",
    "why",
    "by_method",
    "recovered_s",
    "served",
    "parts",
}


def stored_text(name: str) -> str:
    return (FOLDER / name).read_text()


def stored_json(name: str):
    return json.loads(stored_text(name))


def as_text(value) -> str:
    """Return JSON with one top-level entry on each line, so that differences are readable."""
    if isinstance(value, list):
        return "[\n" + ",\n".join(json.dumps(row) for row in value) + "\n]\n"
    return "{\n" + ",\n".join(f"{json.dumps(key)}: {json.dumps(row)}" for key, row in value.items()) + "\n}\n"


def shape(value, name: str = ""):
    """Return the structure of a JSON value: its keys in their order, without the values."""
    if isinstance(value, dict):
        if name in DATA_KEYED:
            row = next(iter(value.values()), "")
            return {"*": shape(row)} if isinstance(row, dict) else "*"
        return {key: shape(member, key) for key, member in value.items()}
    if isinstance(value, (list, tuple)):
        return [shape(value[0])] if value and isinstance(value[0], dict) else []
    return ""


def main() -> None:
    for path in sorted((ROOT / "tests").glob("test_formats_*.py")):
        for name, write in importlib.import_module(path.stem).WRITERS.items():
            if not (FOLDER / name).exists():
                (FOLDER / name).write_text(write())
                print(f"written: {name}", file=sys.stderr)


if __name__ == "__main__":
    main()
