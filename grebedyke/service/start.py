"""One node from its environment to its exit code."""

import asyncio
import signal
from enum import IntEnum
from functools import partial

from loguru import logger

from grebedyke.service import assembly, configuration, log, node

# At a reload the environment still goes before the file in these; discovery follows the file alone.
ENVIRONMENT_OVERRIDES_ON_RELOAD = ("name", "listen", "console", "counts")
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class ExitCode(IntEnum):
    """Exit codes of the program.

    Attributes:
        OK: It has served and ended in order, or the configuration is good.
        CANNOT_SERVE: An address or a folder cannot be used.
        BAD_CONFIGURATION: The configuration has a fault.
    """

    OK = 0
    CANNOT_SERVE = 1
    BAD_CONFIGURATION = 2


def node_of(environ, log_level, only_check, log_format="text", assemble=assembly.assemble):
    """Runs one node until its end.

    Args:
        environ: The environment.
        log_level: The lowest level that is logged.
        only_check: Whether only the configuration is read.
        log_format: One of `log.FORMATS`.
        assemble: Puts the node together; another one than this program's, for trials.

    Returns:
        An `ExitCode`.
    """
    log.open_log(environ.get("BALANCER_NAME", "-"), log_level, log_format)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the node serves; it would end the program
    try:
        node_configuration = configuration.read_node(environ)
        log.open_log(node_configuration["name"], log_level, log_format)
        if not only_check:
            read_again = partial(configuration.read_node, environ, ENVIRONMENT_OVERRIDES_ON_RELOAD)
            asyncio.run(_run_to_the_end(assemble, node_configuration, read_again))
    except configuration.ConfigurationError as problem:
        logger.error("configuration: {why}", event="configuration", why=str(problem))
        return ExitCode.BAD_CONFIGURATION
    except OSError as problem:
        logger.error("cannot serve: {why}", event="cannot-serve", why=str(problem))
        return ExitCode.CANNOT_SERVE
    return ExitCode.OK


async def _run_to_the_end(assemble, node_configuration, read_again):
    """Runs the node, and ignores signals from its end on.

    Guards against a repeated signal that kills the process in its last milliseconds: the event loop puts the
    default actions back when it closes, and an end in order would look like a crash.
    """
    await node.run(assemble, node_configuration, read_again)
    loop = asyncio.get_running_loop()
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    for number in HANDLED_SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
