"""One node from its environment to its exit code."""

import asyncio
import signal
from functools import partial

from grebedyke.service import assembly, configuration, log, node


def node_of(environ, log_level, only_check, log_format="text", assemble=assembly.assemble):
    """Gives the exit code: 0, 1 when it cannot serve, 2 at a fault in what it is told."""
    log.open_log(environ.get("BALANCER_NAME", "-"), log_level, log_format)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the node serves; it would end the program
    try:
        said = configuration.read_node(environ)
        log.open_log(said["name"], log_level, log_format)
        if only_check:
            return 0
        # At a reload the file's word holds for what may change: the environment's is the one of the start.
        read_again = partial(configuration.read_node, environ, ("name", "listen", "console", "counts"))
        asyncio.run(node.run(assemble, said, read_again))
    except configuration.ConfigurationError as problem:
        log.logger.error("configuration: {why}", event="configuration", why=str(problem))
        return 2
    except OSError as problem:
        log.logger.error("cannot serve: {why}", event="cannot-serve", why=str(problem))
        return 1
    return 0
