"""What the commands share: exit codes, messages and JSON output."""

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

    FINE = 0
    FAILED = 1  # a rule was broken, or what was asked for could not be had
    BAD_INPUT = 2  # settings, scenarios or options are wrong
    ADDRESS_TAKEN = 3
    DECISION_MODULE_FAILED = 4


def fail(message: str, code: ExitCode = ExitCode.BAD_INPUT) -> NoReturn:
    """Print a message on standard error and exit."""
    click.echo(message, err=True)
    sys.exit(code)


def print_problems(path: str, error: FaultsError) -> None:
    """Print each problem of a file on standard error."""
    for problem in error.faults:
        click.echo(f"{path}: {problem}", err=True)


def print_result(result: dict[str, Any], as_json: bool) -> None:
    """Print a result as one JSON object, or a line a key."""
    if as_json:
        click.echo(msgspec.json.encode(result))
    else:
        click.echo("\n".join(f"{key}: {value}" for key, value in result.items()))


def comma_separated(text: str) -> tuple[str, ...]:
    """The words between commas.

    >>> comma_separated("sasp,clone"), comma_separated("")
    (('sasp', 'clone'), ())
    """
    return tuple(word for word in text.split(",") if word)
