"""Hot restarts of two real processes in which the old one stands still while news and the new one arrive."""

import asyncio
import re
import signal
from pathlib import Path

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


class PolledDiscovery(DiscoveryEmulator):
    """Answers each poll as soon as it has changes.

    Attributes:
        log: The `DiscoveryLog`.
        answered: Number of answers.
        is_silent: Whether it answers no further poll.
    """

    def __init__(self, log):
        super().__init__()
        self.log = log
        self.answered = 0
        self.is_silent = False
        self.on_poll = self._answer_poll

    async def _answer_poll(self, target, writer):
        after = re.search(r"after=(\d+)", target)
        waits = "wait_ms=0" not in target
        while self.is_silent or (after and waits and self.log.changes[-1][0] <= int(after[1])):
            await asyncio.sleep(0.005)
        body = self.log.answer(after and int(after[1]))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        self.answered += 1


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


async def upgrade(folder, tell, ask_again):
    """Upgrades a node while discovery tells a change to the old process, which stands still.

    Args:
        folder: An empty folder.
        tell: Called with the `NodeOfTwoProcesses` while the old process stands still.
        ask_again: Whether discovery answers polls after this change.

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
            answered = scene.discovery.answered
            tell(scene)
            await until(lambda: scene.discovery.answered > answered, "the answer to the long poll")
            scene.discovery.is_silent = not ask_again
            old.process.send_signal(signal.SIGCONT)
            await scene.until_serving(new)
            old.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(old.exit_code(), WAIT_TIMEOUT) == 0
            before = len(scene.executors[0].received)
            await scene.send_requests()
    for server in (*scene.executors, scene.discovery):
        server.server.close()
    return scene.executors[0].received[before:]


def tell_drain(scene):
    scene.discovery.log.change(scene.row("s-1", "Terminating"))


def tell_removal(scene):
    scene.discovery.log.change({**scene.row("s-1"), "status": "Gone"})


# Guards against: news that reached the old process just before the new one said hello was lost for the node.
def test_new_process_sends_nothing_to_an_executor_whose_drain_crossed_its_start(tmp_path):
    assert asyncio.run(upgrade(tmp_path, tell_drain, True)) == []


def test_new_process_sends_nothing_to_an_executor_whose_removal_crossed_its_start(tmp_path):
    assert asyncio.run(upgrade(tmp_path, tell_removal, True)) == []
