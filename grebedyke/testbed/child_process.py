"""A child process of a scale run; it sends commands to the process's `ProcessAgent` and reads the answers."""

import asyncio
import sys
from pathlib import Path

import orjson

# Timeouts in seconds of a command, and of a process's exit after the end of its input.
COMMAND_TIMEOUT = 60
END_TIMEOUT = 5
# Maximum size of a line in bytes; an answer may contain the values of all nodes.
MAX_LINE_SIZE = 2**26


class ChildProcess:
    """A child process with one or more nodes.

    Attributes:
        nodes: Numbers of the nodes.
        is_real: Whether the process is a single real node.
        ready_future: Done once the process accepts commands; None before the first start.
        process: The asyncio subprocess; None before the first start.
    """

    def __init__(self, nodes, module, environment, log_path, is_real):
        """Prepares a process without starting it.

        Args:
            nodes: Numbers of the nodes.
            module: The module that the process runs.
            environment: The process's environment.
            log_path: Path of the file for its standard error.
            is_real: Whether the process is a single real node.
        """
        self.nodes = nodes
        self.is_real = is_real
        self.ready_future = None
        self.process = None
        self._module = module
        self._environment = environment
        self._log_path = log_path
        self._answers = {}
        self._command_count = 0
        self._reader_task = None

    async def start(self):
        """Starts the process; `ready_future` is done once it accepts commands."""
        self.ready_future = asyncio.get_running_loop().create_future()
        self._answers = {}
        with open(self._log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self._module,
                env=self._environment,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                limit=MAX_LINE_SIZE,
            )
        self._reader_task = asyncio.ensure_future(self._read(self.process, self._answers, self.ready_future))

    def is_running(self):
        """Returns whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    async def _read(self, process, answers, ready_future):
        while line := await process.stdout.readline():
            answer = orjson.loads(line)
            if "up" in answer:
                ready_future.set_result(True)
                continue
            future = answers.pop(answer.pop("to"), None)
            if future and not future.done():
                future.set_result(answer)
        for future in [*answers.values(), ready_future]:
            if not future.done():
                future.set_exception(OSError(f"a process of the run has ended: {self.last_log_line()}"))
                # If no task waits for the future, asyncio would log its exception as never retrieved.
                future.exception()

    def last_log_line(self):
        """Returns the beginning of the last line that the process has written to standard error."""
        lines = Path(self._log_path).read_text(errors="replace").strip().splitlines()
        return lines[-1][:300] if lines else "its log is empty"

    async def command(self, name, **parameters):
        """Sends a command to the process and returns the answer.

        Raises:
            OSError: The process has ended, or the command failed.
        """
        self._command_count += 1
        future = asyncio.get_running_loop().create_future()
        self._answers[self._command_count] = future
        line = {"id": self._command_count, "do": name, "with": parameters}
        self.process.stdin.write(orjson.dumps(line) + b"\n")
        answer = await asyncio.wait_for(future, COMMAND_TIMEOUT)
        if "problem" in answer:
            raise OSError(f"{name} at nodes {self.nodes[0]} on: {answer['problem']}")
        return answer

    async def kill(self):
        """Kills the process."""
        if self.is_running():
            self.process.kill()
            await self.process.wait()

    async def close(self):
        """Ends the process by closing its input; kills it if it does not exit in time."""
        if self.is_running():
            self.process.stdin.close()
            try:
                await asyncio.wait_for(self.process.wait(), END_TIMEOUT)
            except TimeoutError:
                await self.kill()
        if self._reader_task:
            self._reader_task.cancel()
