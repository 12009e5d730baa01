"""Real processes that are one fleet: relays between them, doors before the rest, folders, clocks."""

import asyncio
import json
import os
import shutil
import signal
import sys
import time
from collections import Counter
from pathlib import Path

from grebedyke.load import fleet as plain
from grebedyke.standin import talk
from grebedyke.testbed.network_relay import Links
from grebedyke.testbed.tcp_proxy import Door

LAUNCHER_MODULE = "grebedyke.testbed.launcher"
# The launcher's name in version 0.1, see `launcher_module`.
LAUNCHER_MODULE_OF_0_1 = "grebedyke.rig.launch"
# Short, so that rounds are; the rules' figures are the stand-ins' own.
LEASE, WAIT, GRACE, RAMP, WINDOW, DRIFT = 1.0, 0.1, 0.5, 1.0, 0.5, 0.02


class Rig(plain.Fleet):
    """`words`: whether nodes lend each other executors as well; `older`: the tree of another version, each
    start draws which of the two runs; `shares`: the limits of the whole fleet, as in a configuration.
    """

    def __init__(
        self,
        operations,
        nodes=5,
        executors=6,
        voters=3,
        seed=0,
        words=False,
        maintenance=True,
        older=None,
        zones=plain.ZONES,
        shares=None,
    ):
        super().__init__(operations, nodes, executors, seed=seed, zones=zones)
        self.older, self.shares = older, shares
        self.voters, self.words, self.maintenance = list(range(min(voters, nodes))), words, maintenance
        # A node that starts anew needs its own address back: nothing of another round is on this one.
        self.host = f"127.{64 + os.getpid() % 128}.{seed % 250}.9"
        self.links, self.doors, self.done = None, {}, Counter()
        self.consoles, self.own, self.rates, self.stopped, self.lives = {}, {}, {}, set(), Counter()
        # One clock for each machine: two processes of a node read the same one.
        self.began, self.leaving = time.monotonic_ns(), []

    async def start(self):
        self.links = await Links(len(self.nodes), self.seed).open()
        for name in self.nodes:
            # Over any two the rates differ by the stated drift at most.
            self.rates[name] = 1 + (self.links.random.random() - 0.5) * DRIFT
            self.doors[name] = await Door(lambda: self.discovery.address).listen()
        return await super().start()

    def number(self, name):
        return [*self.nodes].index(name)

    def path(self, name, what):
        return Path(self.folder.name, f"{name}.{what}")

    def told(self, name):
        """What is in a node's file; its ports are drawn when it first starts."""
        i = self.number(name)
        self.consoles[name] = self.consoles.get(name) or (self.host, plain.free_port(self.host))
        self.own[name] = self.own.get(name) or (self.host, plain.free_port(self.host))
        zone = self.zones[i % len(self.zones)]
        settings = plain.settings(self.operations, len(self.nodes), i, zone, self.zones)
        settings["limits"]["peerMessages"] = self.words
        settings["rules"] |= {"drainGraceMs": GRACE * 1000, "rampTimeMs": RAMP * 1000}
        for row in settings["operations"]:
            row["windowMs"] = WINDOW * 1000
        told = {
            "name": name,
            "listen": "%s:%d" % self.nodes[name],
            "console": "%s:%d" % self.consoles[name],
            "discovery": "%s:%d" % self.doors[name].address,
            "seed": f"{self.seed}-{name}",
            "known": self.discovery.listing(),
            "settings": settings,
            "peers": ["%s:%d" % tuple(a) for a in self.links.peers(i, self.own[name])],
        }
        if self.maintenance:
            told["fleet"] = {
                "name": f"rig {self.seed}",
                "folder": str(self.path(name, "folder")),
                "voters": self.voters,
                "waitMs": WAIT * 1000,
            }
            told["maintenance"] = {"leaseMs": LEASE * 1000, "drift": DRIFT}
        if self.shares:
            told["shares"] = {"leaseMs": LEASE * 1000, "drift": DRIFT, "limits": self.shares}
        return told

    async def launch(self, name):
        path, log = self.path(name, "json"), open(self.path(name, "log"), "ab")
        path.write_text(json.dumps(self.told(name)))
        environ = {k: v for k, v in os.environ.items() if not k.startswith(("BALANCER_", "GREBEDYKE_"))}
        self.path(name, "tmp").mkdir(exist_ok=True)
        environ |= {
            "BALANCER_CONFIG": str(path),
            "BALANCER_COUNTS": "1",
            "TMPDIR": str(self.path(name, "tmp")),
            "GREBEDYKE_RIG": json.dumps(
                {
                    "rate": self.rates[name],
                    "began": self.began,
                    "disk": str(self.path(name, "disk")),
                    "wall": self.links.random.choice((0, 0, 3600, -86400)),
                }
            ),
        }
        tree = self.older if self.older and self.links.random.random() < 0.5 else None
        self.done["older version"] += tree is not None
        with log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                launcher_module(tree),
                env=environ,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
                cwd=tree,
            )
        self.processes[name], self.lives[name] = process, self.lives[name] + 1
        end = asyncio.get_running_loop().time() + plain.STARTS
        while (await talk.call(self.nodes[name], "GET /up HTTP/1.1", wait=0.5))[0] != 200:
            if process.returncode is not None or asyncio.get_running_loop().time() > end:
                if self.lives[name] == 1:
                    # A relay, or another's connection, has been given the port since it was drawn.
                    self.own[name] = self.consoles[name] = None
                    self.lives[name] = 0
                raise OSError(f"node {name} did not start: {self.last_words(name)}")
            await asyncio.sleep(0.05)

    def last_words(self, name):
        lines = self.path(name, "log").read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "it said nothing"

    # Processes.

    def up(self, name):
        process = self.processes.get(name)
        return process is not None and process.returncode is None and name not in self.stopped

    async def end(self, name, how=signal.SIGKILL):
        process = self.processes[name]
        if process.returncode is None:
            if name in self.stopped:
                self.go_on(name)
            process.send_signal(how)
            await process.wait()

    def stop(self, name):
        if self.up(name):
            self.processes[name].send_signal(signal.SIGSTOP)
            self.stopped.add(name)
            self.done["stopped"] += 1

    def go_on(self, name):
        if name in self.stopped:
            self.stopped.discard(name)
            self.processes[name].send_signal(signal.SIGCONT)

    async def again(self, name, folder="same"):
        """Killed, and started under the same name with its folder, an older copy of it, or an empty one."""
        await self.end(name)
        here, older = self.path(name, "folder"), self.path(name, "older")
        if folder != "same":
            shutil.rmtree(here, ignore_errors=True)
        if folder == "older" and older.exists():
            shutil.copytree(older, here)
        if folder == "spoilt":
            shutil.rmtree(here, ignore_errors=True)
            here.mkdir()
            (here / "votes").write_bytes(b"grebedyke 1\n what is this")
        self.done[f"folder {folder}"] += 1
        await self.launch(name)

    async def replace(self, name):
        """A new process takes over from the one that serves, which is told to end."""
        old, self.consoles[name] = self.processes[name], None
        self.leaving.append(old)
        await self.launch(name)
        old.terminate()
        await asyncio.wait_for(old.wait(), 15)
        self.leaving.remove(old)
        self.done["taken over"] += 1

    def reload(self, name, change):
        """The file as `change(told)` leaves it, None: no JSON at all; then SIGHUP."""
        told = self.told(name)
        self.path(name, "json").write_text("{" if change is None else json.dumps(change(told) or told))
        self.processes[name].send_signal(signal.SIGHUP)
        self.done["reloaded" if change else "reload of a faulty file"] += 1

    def copy(self, name):
        here, older = self.path(name, "folder"), self.path(name, "older")
        shutil.rmtree(older, ignore_errors=True)
        if here.exists():
            # Its node goes on writing: only whole files, not the one that is about to replace one.
            shutil.copytree(here, older, ignore=shutil.ignore_patterns("*.new"))
            self.done["copied"] += 1

    def disk(self, name, *faults):
        self.path(name, "disk").write_text("\n".join(faults))
        self.done["disk " + " ".join(faults or ("honest",))] += 1

    # Operators.

    async def call(self, name, method, path, body=None, wait=6.0):
        """(status, text), (0, '') where nobody answered."""
        data = json.dumps(body).encode() if body is not None else b""
        status, told = await talk.call(self.consoles[name], f"{method} {path} HTTP/1.1", data, wait)
        return status, told.decode(errors="replace").strip()

    async def status(self, name):
        """What a node says of the plan, None where it does not answer."""
        status, told = await self.call(name, "GET", "/v1/maintenance", wait=1.0)
        return json.loads(told) if status == 200 else None

    def events(self):
        """(node, life, event) of all logs, in the order of each log."""
        for name in self.nodes:
            if self.path(name, "log").exists():
                for line in self.path(name, "log").read_text(errors="replace").splitlines():
                    try:
                        yield name, json.loads(line)
                    except json.JSONDecodeError:
                        pass  # a process was killed in the middle of it

    async def close(self):
        for name in list(self.stopped):
            self.go_on(name)
        for process in self.leaving:
            if process.returncode is None:
                process.kill()
                await process.wait()
        await super().close()
        for door in self.doors.values():
            await door.close()
        if self.links:
            self.links.close()


def launcher_module(tree):
    """Returns the module that starts a node of a source tree, which may be of an older version.

    Args:
        tree: The tree's directory, None for this version.
    """
    if tree is None or Path(tree, *LAUNCHER_MODULE.split(".")).with_suffix(".py").exists():
        return LAUNCHER_MODULE
    return LAUNCHER_MODULE_OF_0_1
