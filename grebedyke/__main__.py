"""Command line of `python -m grebedyke`: runs one node in the foreground, or a command.

An environment variable names the node's configuration file, and others override some of its keys (README.md).
The first argument may name a command of grebedyke/commands; a node does not import that package.
"""

import signal
import sys

if len(sys.argv) < 2 or sys.argv[1].startswith("-"):
    # Set before the imports, which take tenths of a second: a SIGHUP (reload) during that time would
    # terminate the node.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import argparse  # noqa: E402
import os  # noqa: E402

from grebedyke.service import log  # noqa: E402
from grebedyke.service.start import run_node  # noqa: E402


def main():
    """Runs a node, or the command named by the first argument; returns the exit status."""
    if sys.argv[1:] and not sys.argv[1].startswith("-"):
        try:
            from grebedyke.commands.main import cli
        except ModuleNotFoundError as problem:
            print(
                f"grebedyke: commands need optional packages ({problem.name} is missing): make build",
                file=sys.stderr,
            )
            return 2
        return cli(prog_name="grebedyke")
    parser = argparse.ArgumentParser(
        prog="grebedyke",
        description="Runs a dispatcher node (TAGS). Or runs a command (run, check, demo, load, "
        "stand-in, fleet-log, version); for its options: grebedyke COMMAND --help.",
    )
    parser.add_argument("--check", action="store_true", help="validate the configuration and exit")
    parser.add_argument("--log-level", default="INFO", choices=("DEBUG", "INFO", "WARNING", "ERROR"))
    parser.add_argument("--log-format", default="text", choices=log.FORMATS)
    flags = parser.parse_args()
    return run_node(os.environ, flags.log_level, flags.check, flags.log_format)


if __name__ == "__main__":
    sys.exit(main())
