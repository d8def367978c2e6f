"""Names and texts that leave the process stay spelled as they are: `tests/formats/outward-names.txt` lists them.

A name leaves the process as a key, value or text of a message, as a key of settings, recordings or stored state, as a
flag, a metric or a log event. Many are written from the names of fields, functions and keyword arguments, so that a
rename of one of these changes a format without any other sign.
"""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parents[1]
LISTED_NAMES = (ROOT / "tests/formats/outward-names.txt").read_text().splitlines()
SETTINGS_SUFFIXES = {".ini", ".toml"}
WORD = re.compile(r"[\w./-]+")
KEY = re.compile(r"[\w-]+")
DOCUMENTED_NODES = (ast.Module, ast.ClassDef, ast.FunctionDef)


def spellings_in_code(source):
    """Return the identifiers, the string constants and the words of string constants, without doc comments."""
    tree = ast.parse(source)
    doc_comments = {
        id(node.body[0].value)
        for node in ast.walk(tree)
        if isinstance(node, DOCUMENTED_NODES) and node.body and isinstance(node.body[0], ast.Expr)
    }
    spellings = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str | bytes) and id(node) not in doc_comments:
            text = node.value if isinstance(node.value, str) else node.value.decode("latin1")
            spellings |= {text, *WORD.findall(text), *KEY.findall(text)}
        elif isinstance(node, ast.arg | ast.keyword):
            spellings.add(node.arg)
        elif isinstance(node, ast.FunctionDef | ast.ClassDef):
            spellings |= {node.name, node.name.removeprefix("do_")}
        elif isinstance(node, ast.Name):
            spellings |= {node.id, node.id.lower()}
    return spellings


def test_each_listed_name_is_still_spelled_in_the_code_or_in_settings():
    spelled = set()
    for path in (ROOT / "hollyridge").rglob("*.py"):
        spelled |= spellings_in_code(path.read_text())
    for folder in ("deploy", "examples"):
        for path in (ROOT / folder).rglob("*"):
            if path.suffix in SETTINGS_SUFFIXES:
                spelled |= set(WORD.findall(path.read_text()))
    missing = [name for name in LISTED_NAMES if name not in spelled]
    assert missing == []


def test_the_list_is_sorted_and_names_nothing_twice():
    assert sorted(set(LISTED_NAMES)) == LISTED_NAMES
