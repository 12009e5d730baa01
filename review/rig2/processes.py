"""Starts, signals and ends the project's programs, each in a process group of its own."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
END_TIMEOUT_S = 5


class CaseError(Exception):
    """The case could not be run; says nothing about the rule."""


def run_command():
    """Returns the command `run` of the deploy file."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        return tomllib.load(file)["run"]


_drawn_ports = set()


def free_port(host="127.0.0.1"):
    """Returns a port below the range of outgoing connections that is free for TCP and UDP."""
    for _ in range(2000):
        port = 12_000 + int.from_bytes(os.urandom(2), "little") % 18_000
        if port in _drawn_ports:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        _drawn_ports.add(port)
        return port
    raise CaseError("no port is free")


def free_address():
    """Returns a free loopback address as text."""
    return f"127.0.0.1:{free_port()}"


class NodeProcess:
    """One process of a node, started with the command of the deploy file.

    Attributes:
        config: The content of its configuration file.
        console: Its second address.
        process: The process; `exec` in the command makes the shell the program itself.
    """

    def __init__(self, folder, config, console, temporary_folder):
        self.config = config
        self.console = console
        self.file = Path(folder) / f"{config['name']}-{console.rpartition(':')[2]}.json"
        self.log = open(self.file.with_suffix(".log"), "wb")  # noqa: SIM115 - closed by `end`
        self.file.write_text(json.dumps({**config, "console": console}))
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run_command()],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            start_new_session=True,
            env={
                **os.environ,
                "BALANCER_CONFIG": str(self.file),
                "BALANCER_NAME": config["name"],
                "BALANCER_LISTEN": config["listen"],
                "BALANCER_DISCOVERY": config["discovery"],
                "BALANCER_CONSOLE": console,
                "TMPDIR": str(temporary_folder),
            },
        )

    def is_running(self):
        """Returns whether the process has not ended."""
        return self.process.poll() is None

    def signal(self, number):
        """Sends a signal to the process if it is running."""
        if self.is_running():
            os.kill(self.process.pid, number)

    def has_event_loop(self):
        """Returns whether the program has opened its event loop: its imports and its file are done."""
        folder = f"/proc/{self.process.pid}/fd"
        try:
            return any("eventpoll" in os.readlink(f"{folder}/{name}") for name in os.listdir(folder))
        except OSError:
            return False

    def log_text(self):
        """Returns what the process has logged so far."""
        return self.file.with_suffix(".log").read_text(errors="replace")

    def end(self):
        """Kills the process and waits for its end."""
        if self.is_running():
            os.kill(self.process.pid, signal.SIGCONT)
            os.kill(self.process.pid, signal.SIGKILL)
        self.process.wait(END_TIMEOUT_S)
        self.log.close()


async def console_call(address, method, path, body=None, timeout=5.0):
    """Sends one call to a node's second address; returns (status, text), status 0 without an answer."""
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(data)}\r\n\r\n"
            writer.write(head.encode() + data)
            answer = await reader.read()
        status_line, _, rest = answer.partition(b"\r\n")
        text = rest.partition(b"\r\n\r\n")[2].decode(errors="replace").strip()
        return int(status_line.split()[1]), text
    except (OSError, TimeoutError, ValueError, IndexError):
        return 0, ""
    finally:
        if writer:
            writer.close()


async def until_ready(node, timeout=20.0):
    """Waits until a process says on its second address that it is ready.

    Raises:
        CaseError: It has ended, or is not ready in time.
    """
    try:
        async with asyncio.timeout(timeout):
            while (await console_call(node.console, "GET", "/v1/readyz", timeout=1.0))[0] != 200:
                if not node.is_running():
                    raise CaseError(f"a node has ended: {node.log_text()[-400:]}")
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise CaseError(f"a node is not ready: {node.log_text()[-400:]}") from None
