"""Exit codes of the commands, and the error message of a command that fails."""

import sys
from enum import IntEnum

import click


class ExitCode(IntEnum):
    """The exit codes of all commands."""

    OK = 0
    CANNOT_SERVE = 1
    BAD_INPUT = 2
    RULE_BROKEN = 3


def fail(message, code=ExitCode.BAD_INPUT):
    """Prints a one-line error message and exits."""
    click.echo(f"grebedyke: {message}", err=True)
    sys.exit(code)
