"""Runs a case: its folder, its processes, its record and its exit code."""

import asyncio
import os
import shutil
import sys
import tempfile
import traceback
from pathlib import Path

from rig2.platform import Record
from rig2.processes import CaseError, NodeProcess

TIME_LIMIT_S = 110


class Case:
    """The things that a case has started, ended together.

    Attributes:
        folder: A temporary folder.
        record: The `Record`.
        trouble: Whether the disruption takes place.
        broken: Descriptions of how the rule was broken.
        all_clients: The `Clients` whose connections are closed at the end.
    """

    def __init__(self):
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.record = Record()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.broken = []
        self.all_clients = []
        self._processes = []
        self._servers = []

    def start_node(self, config, console, temporary_folder):
        """Starts a process of a node."""
        process = NodeProcess(self.folder, config, console, temporary_folder)
        self._processes.append(process)
        self.record.note(f"process {process.process.pid} of {config['name']} starts, console {console}")
        return process

    async def start_server(self, server, port):
        """Starts a stand-in."""
        self._servers.append(server)
        return await server.start(port)

    def new_folder(self, name):
        """Returns a new empty folder."""
        folder = self.folder / name
        folder.mkdir()
        return folder

    def report(self, text):
        """Records that the rule was broken."""
        self.broken.append(text)
        self.record.note(f"BROKEN {text}")

    async def end_all(self):
        """Ends all that was started."""
        for process in self._processes:
            process.end()
        for server in self._servers:
            server.stop()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        for clients in self.all_clients:
            clients.close()
        await asyncio.sleep(0.1)  # the ends of connections

    def write_record(self, keep):
        """Writes the record and removes the temporary folder."""
        lines = [*self.record.lines]
        for process in self._processes:
            lines.append(f"--- log of {process.process.pid} ({process.config['name']})")
            lines += [line for line in process.log_text().splitlines() if " counts " not in line]
        Path(keep, "record.txt").write_text("\n".join(lines) + "\n")
        shutil.rmtree(self.folder, ignore_errors=True)


async def _play_and_end(play, case):
    try:
        await asyncio.wait_for(play(case), TIME_LIMIT_S)
    finally:
        await case.end_all()


def main(play, folder):
    """Plays a case and exits with 0 (the rule held), 1 (it was broken) or 2 (the case could not run)."""
    case = Case()
    try:
        asyncio.run(_play_and_end(play, case))
        code = 1 if case.broken else 0
    except CaseError as problem:
        case.record.note(f"could not run: {problem}")
        code = 2
    except BaseException:
        case.record.note(f"could not run: {traceback.format_exc()}")
        code = 2
    finally:
        case.write_record(folder)
    for line in case.broken[:5]:
        print(line)
    print({0: "held", 1: "broken", 2: f"could not run: {case.record.lines[-1]}"}[code])
    sys.exit(code)
