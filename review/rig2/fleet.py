"""A small fleet: nodes with consensus and maintenance, executors, discovery and a load."""

import asyncio
import json
import random

from rig2 import deployment
from rig2.platform import Clients, Discovery, Executor
from rig2.processes import CaseError, console_call, free_address, free_port, until_ready


class Fleet:
    """The nodes of a fleet with their executors, discovery and clients.

    Attributes:
        case: The `Case`.
        discovery: The `Discovery`.
        executors: The `Executor`s by name.
        configs: The configuration of each node.
        temporary_folders: The folder of each node's hot restart.
        processes: The serving process of each node.
        clients: The `Clients` of each node.
    """

    def __init__(self, case):
        self.case = case
        self.discovery = None
        self.executors = {}
        self.configs = []
        self.temporary_folders = []
        self.processes = []
        self.clients = []
        self._load_tasks = []
        self._requests = set()

    async def start(self, nodes, executors, operations, sections, zone="a", **rules):
        """Starts everything and waits until all nodes are ready and certain of their view.

        Args:
            nodes: The number of nodes.
            executors: The names of the executors.
            operations: The operations of the settings.
            sections: Further sections of the nodes' configuration.
            zone: The zone of all executors and nodes.
            **rules: Rules of the settings that differ from the usual ones.
        """
        case = self.case
        listens = [free_address() for _ in range(nodes)]
        peers = [free_address() for _ in range(nodes)]
        by_id = {f"n{number}": address for number, address in enumerate(listens)}
        self.discovery = await case.start_server(Discovery(case.record), free_port())
        for number, executor_name in enumerate(executors):
            executor = Executor(case.record, executor_name, by_id)
            self.executors[executor_name] = await case.start_server(executor, free_port())
            self.discovery.add(executor, zone, cell=number // 3)
        for number, listen in enumerate(listens):
            name = f"n{number}"
            self.configs.append(
                {
                    "name": name,
                    "listen": listen,
                    "discovery": self.discovery.address,
                    "seed": name,
                    "limits": {"sockets": 1024},
                    "known": self.discovery.whole(),
                    "peers": peers,
                    "settings": deployment.settings(operations, number, nodes, zone, **rules),
                    "fleet": {
                        "name": "small",
                        "folder": str(case.folder / f"records-{name}"),
                        "voters": list(range(nodes)),
                        "waitMs": 200,
                    },
                    **sections,
                }
            )
            self.temporary_folders.append(case.new_folder(f"tmp-{name}"))
            self.clients.append(Clients(case.record, name, listen))
        case.all_clients += self.clients
        self.processes = [self.start_process(number) for number in range(nodes)]
        for process in self.processes:
            await until_ready(process)
        await self.until(self._all_are_certain, 20, "certain views")

    def start_process(self, number):
        """Starts a process of a node, beside another one if that serves."""
        return self.case.start_node(self.configs[number], free_address(), self.temporary_folders[number])

    async def _all_are_certain(self):
        return all([(await self.status(number)).get("sure") for number in range(len(self.processes))])

    async def until(self, condition, seconds, what):
        """Waits until `await condition()` is true and returns its result.

        Raises:
            CaseError: It is not true in time.
        """
        try:
            async with asyncio.timeout(seconds):
                while not (result := await condition()):
                    await asyncio.sleep(0.02)
                return result
        except TimeoutError:
            raise CaseError(f"waited in vain for {what}") from None

    async def status(self, number):
        """Returns what a node says of the plan; empty without an answer."""
        code, text = await console_call(self.processes[number].console, "GET", "/v1/maintenance")
        return json.loads(text) if code == 200 else {}

    async def machine(self, number, name):
        """Returns the state and the number of a machine as a node has them; (None, 0) without a plan."""
        status = await self.status(number)
        for row in status.get("machines", ()):
            if row["name"] == name:
                return row["state"], row["number"]
        return None, 0

    async def call(self, number, path, body=None):
        """Makes an operator's call at a node.

        Raises:
            CaseError: The answer is no.
        """
        code, text = await console_call(self.processes[number].console, "POST", path, body, timeout=10)
        self.case.record.note(f"operator: POST {path} at n{number}: {code} {text}")
        if code != 200:
            raise CaseError(f"POST {path}: {code} {text}")
        return text

    def send_load(self, operation, timeout, work_ms, rate):
        """Sends requests to all nodes until `end_load`, `rate` a second at each."""

        async def send(clients, chance):
            while True:
                task = asyncio.create_task(clients.ask(operation, timeout, work_ms))
                self._requests.add(task)
                task.add_done_callback(self._requests.discard)
                await asyncio.sleep(chance.expovariate(rate))

        for number, clients in enumerate(self.clients):
            self._load_tasks.append(asyncio.create_task(send(clients, random.Random(number))))

    def answers(self, ids):
        """Returns what the clients have for these requests, as text."""
        return ", ".join(filter(None, (clients.answers(ids) for clients in self.clients)))

    async def end_load(self):
        """Ends the load and waits for the answers.

        Raises:
            CaseError: Less than a third was served.
        """
        for task in self._load_tasks:
            task.cancel()
        await asyncio.gather(*self._requests, return_exceptions=True)
        asked = [asked for clients in self.clients for asked in clients.asked]
        served = sum(asked.status == 200 for asked in asked)
        self.case.record.note(f"{len(asked)} requests, {served} served")
        if served < len(asked) / 3:
            raise CaseError("the nodes did not serve")
