"""Bytes of stored and sent formats as code before the renaming wrote them, below `tests/formats/`.

Each `test_formats_*` module has `WRITERS`: file name to a call that makes the text of that file from today's code.
`python tests/stored.py` writes those files that are missing and never touches one that is there: a fixture is changed
only by deleting it, which is a change of a format and has to be said in the commit.
"""

from __future__ import annotations

import importlib
import json
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
FOLDER = ROOT / "tests" / "formats"
# Objects whose keys are data (names of proxies, tasks, methods, reasons), not names of the format.
MAPS = {
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


def text_of(name: str) -> str:
    return (FOLDER / name).read_text()


def stored(name: str):
    return json.loads(text_of(name))


def as_text(value) -> str:
    """One entry a line at the top level, so that a difference can be read."""
    if isinstance(value, list):
        return "[\n" + ",\n".join(json.dumps(row) for row in value) + "\n]\n"
    return "{\n" + ",\n".join(f"{json.dumps(key)}: {json.dumps(row)}" for key, row in value.items()) + "\n}\n"


def shape(value, name: str = ""):
    """The keys of a JSON value in their order, without its figures."""
    if isinstance(value, dict):
        if name in MAPS:
            row = next(iter(value.values()), "")
            return {"*": shape(row)} if isinstance(row, dict) else "*"
        return {key: shape(one, key) for key, one in value.items()}
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
