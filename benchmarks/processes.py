"""What a real process of the program holds: its memory and idle CPU, and what a reload of its file takes."""

import asyncio
import json
import os
import sys
import tempfile
from pathlib import Path
from time import thread_time

from benchmarks.capacity import cpu
from benchmarks.roles import listing, row, settings
from grebedyke.emulators import http_messages
from grebedyke.emulators.discovery import DiscoveryEmulator
from grebedyke.load.fleet import free_port
from grebedyke.service.configuration import open_dispatcher, read_node

READY = 30.0


def told(folder, executors, nodes, fleet, known, discovery, own):
    """A node's file. The other nodes are addresses at which nobody is."""
    said = {
        "name": "n5",
        "listen": own,
        "discovery": discovery,
        "seed": "n5",
        "known": known,
        "settings": settings(nodes),
    }
    if fleet:
        said["peers"] = [f"127.9.{i // 250}.{i % 250 + 1}:9020" for i in range(nodes)]
        said["peers"][5] = "127.0.0.1:%d" % free_port()
        said |= {
            "fleet": {"name": "f", "folder": str(Path(folder, "folder")), "voters": [0, 1, 2, 3, 4]},
            "maintenance": {},
            "shares": {
                "limits": [
                    {"name": f"limit {i}", "tenant": f"t{i}", "underWay": 4 * nodes, "floor": 1}
                    for i in range(34)
                ]
            },
        }
    return said


def process(against, size, executors=760, nodes=760, fleet=True, span=10.0):
    """Resident memory of a node process that has its list and serves nobody, and its CPU."""

    async def play():
        discovery = await DiscoveryEmulator().listen()
        known = json.loads(listing(executors, discovery))
        with tempfile.TemporaryDirectory(prefix="grebedyke-") as folder:
            own = "127.0.0.1", free_port()
            path = Path(folder, "node.json")
            path.write_text(
                json.dumps(
                    told(folder, executors, nodes, fleet, known, "%s:%d" % discovery.address, "%s:%d" % own)
                )
            )
            environ = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "grebedyke",
                env=environ | {"BALANCER_CONFIG": str(path)},
                stdin=asyncio.subprocess.DEVNULL,
                stderr=asyncio.subprocess.DEVNULL,
            )
            try:
                async with asyncio.timeout(READY):
                    while (await http_messages.call(own, "GET", "/up", timeout=0.5)).status != 200:
                        await asyncio.sleep(0.1)
                await asyncio.sleep(1.0)
                before = cpu(child.pid)
                await asyncio.sleep(span)
                used = (cpu(child.pid) - before) / span
                status = Path(f"/proc/{child.pid}/status").read_text().split()
                return int(status[status.index("VmRSS:") + 1]) * 1024, used
            finally:
                child.terminate()
                await child.wait()
                await discovery.close()

    resident, used = asyncio.run(play())
    name = "a node process" + (" of a fleet" if fleet else "")
    return [row(name, against, size, resident=resident, CPU=used)]


def reloaded(against, size, nodes=760):
    """CPU to read and check a node's file and build what it says, as after SIGHUP."""
    with tempfile.TemporaryDirectory(prefix="grebedyke-") as folder:
        path, took = Path(folder, "node.json"), []
        path.write_text(json.dumps(told(folder, 0, nodes, True, {}, "127.0.0.1:9", "127.0.0.1:8")))
        for _ in range(3):
            start = thread_time()
            said = read_node({"BALANCER_CONFIG": str(path)})
            open_dispatcher(said["seed"], said["settings"])
            took.append(thread_time() - start)
        return [
            row(
                "a reload of the file",
                against,
                size,
                **{"CPU a change": min(took), "bytes of a file": path.stat().st_size},
            )
        ]
