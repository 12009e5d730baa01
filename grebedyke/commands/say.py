"""What every command says in the same words."""

import sys

import click

BAD = 2


def fail(message, code=BAD):
    """One plain line, whatever went wrong."""
    click.echo(f"grebedyke: {message}", err=True)
    sys.exit(code)
