"""One node in the foreground: python -m grebedyke. It is told all by its environment, see README.md."""
import argparse
import asyncio
import os
import signal
import sys
from functools import partial

from grebedyke.service import assembly, configuration, log, node


def main():
    parser = argparse.ArgumentParser(prog="grebedyke", description="Dispatcher beside each submitter (TAGS).")
    parser.add_argument("--check", action="store_true", help="only read the configuration")
    parser.add_argument("--log-level", default="INFO", choices=("DEBUG", "INFO", "WARNING", "ERROR"))
    flags = parser.parse_args()
    log.open_log(os.environ.get("BALANCER_NAME", "-"), flags.log_level)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)      # until the node serves; it would end the program
    try:
        said = configuration.read_node(os.environ)
        log.open_log(said["name"], flags.log_level)
        if flags.check:
            return 0
        # At a reload the file's word holds for what may change: the environment's is the one of the start.
        read_again = partial(configuration.read_node, os.environ, ("name", "listen", "console"))
        asyncio.run(node.run(assembly.assemble, said, read_again))
    except configuration.Unusable as problem:
        log.logger.error("configuration: {}", problem)
        return 2
    except OSError as problem:
        log.logger.error("cannot serve: {}", problem)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
