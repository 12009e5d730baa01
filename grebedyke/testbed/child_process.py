"""A process of a scale run as the run has it: commands go to its `ProcessAgent`, answers come back."""

import asyncio
import sys
from pathlib import Path

import orjson

# How long a command may take, and how long a process may take to end once its input has, in seconds.
COMMAND_TIMEOUT = 60
END_TIMEOUT = 5
# A line may have the values of all nodes.
LONGEST_LINE = 2**26


class ChildProcess:
    """A process that has nodes.

    Attributes:
        nodes: Numbers of the nodes.
        is_real: Whether its one node is a real one.
        is_up: A future that is done once the process takes commands.
        process: The operating system's process; None before the first start.
    """

    def __init__(self, nodes, module, environment, log_path, is_real):
        """Begins without a process.

        Args:
            nodes: Numbers of the nodes.
            module: The module that the process runs.
            environment: The process's environment.
            log_path: Where its standard error goes.
            is_real: Whether its one node is a real one.
        """
        self.nodes = nodes
        self.is_real = is_real
        self.is_up = None
        self.process = None
        self._module = module
        self._environment = environment
        self._log_path = log_path
        self._answers = {}
        self._command_count = 0
        self._reading = None

    async def start(self):
        """Starts a process; `is_up` is done once it takes commands."""
        self.is_up = asyncio.get_running_loop().create_future()
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
                limit=LONGEST_LINE,
            )
        self._reading = asyncio.ensure_future(self._read(self.process, self._answers, self.is_up))

    def is_running(self):
        """Returns whether its process has not ended."""
        return self.process is not None and self.process.returncode is None

    async def _read(self, process, answers, is_up):
        while line := await process.stdout.readline():
            answer = orjson.loads(line)
            if "up" in answer:
                is_up.set_result(True)
                continue
            future = answers.pop(answer.pop("to"), None)
            if future and not future.done():
                future.set_result(answer)
        for future in [*answers.values(), is_up]:
            if not future.done():
                future.set_exception(OSError(f"a process of the run has ended: {self.last_log_line()}"))
                # Whoever waits is told. Where nobody does, asyncio would report it as never retrieved.
                future.exception()

    def last_log_line(self):
        """Returns the newest line that the process has written to standard error."""
        lines = Path(self._log_path).read_text(errors="replace").strip().splitlines()
        return lines[-1][:300] if lines else "it said nothing"

    async def command(self, name, **parameters):
        """Has a command carried out and returns its answer.

        Raises:
            OSError: The process has ended, or could not carry the command out.
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
        """Ends the process by ending its input; kills it where it does not end."""
        if self.is_running():
            self.process.stdin.close()
            try:
                await asyncio.wait_for(self.process.wait(), END_TIMEOUT)
            except TimeoutError:
                await self.kill()
        if self._reading:
            self._reading.cancel()
