"""One node in the foreground: python -m grebedyke. It is told all by its environment, see README.md.

With a command's name behind it, that command (grebedyke/commands); a plain node imports nothing of those.
"""
import argparse
import asyncio
import os
import signal
import sys
from functools import partial

from grebedyke.service import assembly, configuration, log, node


def node_of(environ, log_level, only_check, log_format="text"):
    """Gives the exit code: 0, 1 when it cannot serve, 2 at a fault in what it is told."""
    log.open_log(environ.get("BALANCER_NAME", "-"), log_level, log_format)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)      # until the node serves; it would end the program
    try:
        said = configuration.read_node(environ)
        log.open_log(said["name"], log_level, log_format)
        if only_check:
            return 0
        # At a reload the file's word holds for what may change: the environment's is the one of the start.
        read_again = partial(configuration.read_node, environ, ("name", "listen", "console", "counts"))
        asyncio.run(node.run(assembly.assemble, said, read_again))
    except configuration.Unusable as problem:
        log.logger.error("configuration: {why}", event="configuration", why=str(problem))
        return 2
    except OSError as problem:
        log.logger.error("cannot serve: {why}", event="cannot-serve", why=str(problem))
        return 1
    return 0


def main():
    if sys.argv[1:] and not sys.argv[1].startswith("-"):
        try:
            from grebedyke.commands.main import cli
        except ModuleNotFoundError as problem:
            print(f"grebedyke: commands need the tools ({problem.name} is missing): make build",
                  file=sys.stderr)
            return 2
        return cli(prog_name="grebedyke")
    parser = argparse.ArgumentParser(
        prog="grebedyke",
        description="Dispatcher beside each submitter (TAGS). With a command's name (run, check, "
        "demo, load, stand-in, fleet-log, version) that command: grebedyke COMMAND --help.")
    parser.add_argument("--check", action="store_true", help="only read the configuration")
    parser.add_argument("--log-level", default="INFO", choices=("DEBUG", "INFO", "WARNING", "ERROR"))
    parser.add_argument("--log-format", default="text", choices=log.FORMATS)
    flags = parser.parse_args()
    return node_of(os.environ, flags.log_level, flags.check, flags.log_format)


if __name__ == "__main__":
    sys.exit(main())
