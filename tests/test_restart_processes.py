"""Hot restarts of two real processes in which the old one stands still while news and the new one arrive."""

import asyncio
import re
import signal
from pathlib import Path

import pytest
from emulators import WAIT_TIMEOUT, BlockingClient, DiscoveryEmulator, until
from job_emulators import FinishingExecutor
from node_files import LISTED_ROW, node_file
from node_harness import SETTINGS
from process_pair import DiscoveryLog
from program_process import Program

from grebedyke.emulators.ports import free_port

NAMES = ("s-1", "s-2")
REQUEST_COUNT = 20
# Seconds from the connect to a process's socket to its first message there.
HELLO_TIME_S = 0.05
# Seconds in which a process has read an answer of discovery and told the other one.
NEWS_TIME_S = 0.2


class PolledDiscovery(DiscoveryEmulator):
    """Answers each poll as soon as it has changes.

    Attributes:
        log: The `DiscoveryLog`.
        answered: Number of answers.
        served_connections: Number of connections, in order, whose polls it answers.
    """

    def __init__(self, log):
        super().__init__()
        self.log = log
        self.answered = 0
        self.served_connections = 99
        self.on_poll = self._answer_poll

    async def _answer_poll(self, target, writer):
        after = re.search(r"after=(\d+)", target)
        waits = "wait_ms=0" not in target
        while self._is_silent_to(writer) or (after and waits and self.log.changes[-1][0] <= int(after[1])):
            await asyncio.sleep(0.005)
        body = self.log.answer(after and int(after[1]))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        self.answered += 1

    def _is_silent_to(self, writer):
        return writer not in self.writers[: self.served_connections]


class NodeOfTwoProcesses:
    """A node whose old process is stopped by a signal while the new one connects to it.

    Attributes:
        folder: The folder of both processes.
        address: Host and port of the node.
        executors: The executors, which report success at once.
        discovery: The `PolledDiscovery`.
    """

    def __init__(self, folder):
        self.folder = folder
        self.address = ("127.0.0.1", free_port())
        self.executors = [FinishingExecutor(name, self.address) for name in NAMES]
        self.discovery = None

    async def start_peers(self):
        """Starts executors and discovery."""
        for executor in self.executors:
            await executor.start()
        self.discovery = await PolledDiscovery(DiscoveryLog(*(self.row(name) for name in NAMES))).start()

    def row(self, name, status="Ready"):
        """Returns discovery's row of an executor."""
        return {**LISTED_ROW, **self.executors[NAMES.index(name)].row(status=status)}

    def start_process(self, number):
        """Starts a process of the node; its file has the first version of the list."""
        folder = self.folder / str(number)
        folder.mkdir()
        content = node_file(
            listen="%s:%d" % self.address,
            discovery=self.discovery.address,
            known={"index": 1, "endpoints": [self.row(name) for name in NAMES]},
            settings=SETTINGS,
        )
        return Program(folder, content, TMPDIR=str(self.folder))

    def connections_to_old(self):
        """Returns how many processes have connected to the old process's socket."""
        path = str(self.folder / "n1.handover")
        entries = Path("/proc/net/unix").read_text().splitlines()
        return sum(entry.split()[-1].startswith(path) for entry in entries) - 1

    async def until_serving(self, program):
        """Waits until a process serves."""
        await asyncio.to_thread(next, (line for line in program.process.stderr if "-> serving" in line))

    async def send_requests(self):
        """Sends requests one after another, each of which must succeed."""
        for number in range(REQUEST_COUNT):
            client = BlockingClient(self.address).send_request(f"r{number}")
            assert b" 200 " in await client.response()
            client.leave()

    async def tell_old_process(self, change):
        """Changes the list and waits until discovery has written it to the old process alone."""
        answered = self.discovery.answered
        self.discovery.log.change(change)
        await until(lambda: self.discovery.answered > answered, "the answer to the long poll")

    async def requests_at_first_executor(self, old):
        """Ends the old process, and returns which of the new one's requests the first executor gets."""
        old.process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(old.exit_code(), WAIT_TIMEOUT) == 0
        before = len(self.executors[0].received)
        await self.send_requests()
        for server in (*self.executors, self.discovery):
            server.server.close()
        return self.executors[0].received[before:]


async def upgrade_with_crossing_news(folder, change):
    """Upgrades a node; discovery tells a change to the old process, which stands still, before the hello.

    Args:
        folder: An empty folder.
        change: The fields of the first executor's row that change.

    Returns:
        The identifiers of requests that the first executor got after the old process's end.
    """
    scene = NodeOfTwoProcesses(folder)
    await scene.start_peers()
    with scene.start_process(1) as old:
        await scene.until_serving(old)
        await until(lambda: len(scene.discovery.polls) > 1, "the long poll")
        old.process.send_signal(signal.SIGSTOP)
        with scene.start_process(2) as new:
            await until(scene.connections_to_old, "the new process")
            await asyncio.sleep(HELLO_TIME_S)
            await scene.tell_old_process({**scene.row("s-1"), **change})
            old.process.send_signal(signal.SIGCONT)
            await scene.until_serving(new)
            return await scene.requests_at_first_executor(old)


async def upgrade_with_news_for_old_process(folder):
    """Upgrades a node; discovery tells a drain to the old process, and nothing to the new one."""
    scene = NodeOfTwoProcesses(folder)
    await scene.start_peers()
    scene.discovery.served_connections = 1
    with scene.start_process(1) as old:
        await scene.until_serving(old)
        await until(lambda: len(scene.discovery.polls) > 1, "the long poll")
        with scene.start_process(2) as new:
            await scene.until_serving(new)
            await scene.tell_old_process(scene.row("s-1", "Terminating"))
            await asyncio.sleep(NEWS_TIME_S)
            return await scene.requests_at_first_executor(old)


# Guards against: news that reached the old process just before the new one said hello was lost for the node.
@pytest.mark.parametrize("change", ({"status": "Terminating"}, {"status": "Gone"}), ids=("drain", "removal"))
def test_new_process_sends_nothing_to_an_executor_whose_change_crossed_its_start(tmp_path, change):
    assert asyncio.run(upgrade_with_crossing_news(tmp_path, change)) == []


# Guards against: news that reached the old process alone, as discovery then failed, were lost with its end.
def test_new_process_sends_nothing_to_an_executor_whose_drain_only_the_old_one_was_told(tmp_path):
    assert asyncio.run(upgrade_with_news_for_old_process(tmp_path)) == []
