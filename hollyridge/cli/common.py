"""Exit codes, error messages and JSON output that all commands share."""

from __future__ import annotations

import sys
from enum import IntEnum
from typing import Any, NoReturn

import click
import msgspec

from hollyridge.settings.ini import FaultsError

PROTOCOLS = frozenset({"sasp", "clone"})


class ExitCode(IntEnum):
    """Exit codes of all commands."""

    SUCCESS = 0
    FAILED = 1  # a rule was broken, or the requested result is not available
    BAD_INPUT = 2  # settings, scenarios or options are invalid
    ADDRESS_TAKEN = 3
    DECISION_MODULE_FAILED = 4


def fail(message: str, code: ExitCode = ExitCode.BAD_INPUT) -> NoReturn:
    """Print a message on standard error and exit with the code."""
    click.echo(message, err=True)
    sys.exit(code)


def print_problems(path: str, error: FaultsError) -> None:
    """Print each problem of a file on standard error."""
    for problem in error.faults:
        click.echo(f"{path}: {problem}", err=True)


def print_result(result: dict[str, Any], as_json: bool) -> None:
    """Print a result as one JSON object, or as one line per key."""
    if as_json:
        click.echo(msgspec.json.encode(result))
    else:
        click.echo("\n".join(f"{key}: {value}" for key, value in result.items()))


def comma_separated(text: str) -> tuple[str, ...]:
    """Return the non-empty parts of a comma-separated list.

    >>> comma_separated("sasp,clone"), comma_separated("")
    (('sasp', 'clone'), ())
    """
    return tuple(part for part in text.split(",") if part)
