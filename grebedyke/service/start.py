"""Runs a node from its environment to its exit code."""

import asyncio
import signal
from enum import IntEnum
from functools import partial

from loguru import logger

from grebedyke.service import assembly, configuration, log, node

# Keys for which the environment still overrides the file at a reload; discovery follows the file alone.
ENVIRONMENT_OVERRIDES_ON_RELOAD = ("name", "listen", "console", "counts")
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class ExitCode(IntEnum):
    """Exit codes of the program.

    Attributes:
        OK: The node has served and shut down in order, or the configuration is valid.
        CANNOT_SERVE: An address or a folder cannot be used.
        BAD_CONFIGURATION: The configuration is invalid.
    """

    OK = 0
    CANNOT_SERVE = 1
    BAD_CONFIGURATION = 2


def run_node(environ, log_level, check_only, log_format="text", assemble=assembly.assemble):
    """Runs a node until it has stopped.

    Args:
        environ: The environment.
        log_level: The lowest level that is logged.
        check_only: Whether to check only the configuration.
        log_format: One of `log.FORMATS`.
        assemble: Assembles the node; trials pass another function.

    Returns:
        An `ExitCode`.
    """
    log.open_log(environ.get("BALANCER_NAME", "-"), log_level, log_format)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the node handles it; it would end the process
    try:
        node_configuration = configuration.read_node(environ)
        log.open_log(node_configuration["name"], log_level, log_format)
        if not check_only:
            read_configuration = partial(configuration.read_node, environ, ENVIRONMENT_OVERRIDES_ON_RELOAD)
            asyncio.run(_run_until_exit(assemble, node_configuration, read_configuration))
    except configuration.ConfigurationError as problem:
        logger.error("configuration: {why}", event="configuration", why=str(problem))
        return ExitCode.BAD_CONFIGURATION
    except OSError as problem:
        logger.error("cannot serve: {why}", event="cannot-serve", why=str(problem))
        return ExitCode.CANNOT_SERVE
    return ExitCode.OK


async def _run_until_exit(assemble, node_configuration, read_configuration):
    """Runs the node and then ignores signals.

    The event loop restores the default signal actions when it closes. A repeated signal would then kill the
    process in its last milliseconds, and an orderly shutdown would look like a crash.
    """
    await node.run(assemble, node_configuration, read_configuration)
    loop = asyncio.get_running_loop()
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    for number in HANDLED_SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
