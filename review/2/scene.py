"""A retry of a deduplicated request waits for a connection that comes up late, past the repeat window."""

import asyncio
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand_ins  # noqa: E402

WINDOW_S = 3.0
CLIENT_TIMEOUT_MS = 6000
# The operators' pages: a node may be held up for 0.15 s, and time limits on sockets are 50 ms longer.
SLACK_S = 0.2
# The executors of a zone remember a key for the window and this much longer.
MEMORY_S = WINDOW_S + SLACK_S
# When the first executor reports that the job has failed: well inside the window.
FAILED_AFTER_S = 2.6
# Short requests that come before, by which connections are opened in time.
EARLIER_REQUESTS = 8
# The operators' page: a third of the connections come up late.
LATE_SHARE = 1 / 3
ROUNDS = 3

# pitch-hold of foglalas-budapest, with the shorter window for repeats of the operators' narrow days and a
# connect limit for their late connections; executors may not be probed.
SETTINGS = {
    "balancers": 1,
    "me": 0,
    "tickMs": 5,
    "zone": "budapest-1",
    "machineTypes": ["std"],
    "operations": [
        {
            "name": "pitch-hold",
            "idempotency": "keyed",
            "group": "zone",
            "windowMs": WINDOW_S * 1000,
            "latencyObjectiveMs": 250,
            "aimStretch": 2.5,
            "clientTimeoutMs": CLIENT_TIMEOUT_MS,
        }
    ],
    "limits": {"maxForwards": 5, "mayCancel": True, "connIdleMs": 5000, "connectTimeoutMs": 1500},
    "rules": {
        "drainGraceMs": 2000,
        "fallMultiple": 3,
        "coldFrom": 0.31,
        "rampTimeMs": 8600,
        "tipAfterMs": 1000,
    },
    "familyInfo": {"tellsStart": True, "progressMs": 1000},
}


class Zone:
    """The executors of one zone, which drop each other's repeats of a key within the window.

    Attributes:
        first_sent: When the first attempt with a key arrived, by key.
        effects: (time, executor, key) of each effect.
    """

    def __init__(self, record):
        self.first_sent = {}
        self.effects = []
        self._record = record

    def take(self, executor, job):
        """Applies a job's effect, unless its key is a repeat within the time that the zone remembers."""
        key = job.headers["idempotency-key"]
        first = self.first_sent.get(key)
        if first is not None and job.arrived - first <= MEMORY_S:
            self._record.add(executor.name, "drops the repeat of", key)
            return
        self.first_sent[key] = job.arrived
        self.effects.append((job.arrived, executor.name, key))
        self._record.add(executor.name, "APPLIES the effect of", key)


def full_listener(port):
    """Returns a listening socket without room for connections, and the connections that fill it.

    The kernel ignores further connects until there is room; a caller's second try, a second after the first,
    gets through.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((stand_ins.HOST, port))
    listener.listen(0)
    fillers = []
    for _ in range(2):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
        fillers.append(filler)
    return listener, fillers


async def play_round(record, number, folder, processes, trouble):
    """Plays one long request after some short ones, with a node and two executors of its own.

    Returns:
        The breaks, the number of connections that came up late, and the number of all connections.
    """
    zone = Zone(record)
    discovery = stand_ins.Discovery(record)
    node = stand_ins.Node(f"n{number}", record, folder)
    await discovery.listen(node.name)
    failed = asyncio.Event()

    async def work(executor, job):
        is_first = job.id == id and job.headers["idempotency-key"] not in zone.first_sent
        zone.take(executor, job)
        if not is_first:
            await asyncio.sleep(0.1)
            return {"state": "done", "result": "held"}
        await asyncio.sleep(FAILED_AFTER_S)
        failed.set()
        return {"state": "failed"}

    ports = {node.name: node.port}
    executors = [stand_ins.Executor(name, record, ports, work) for name in ("s-1", "s-2")]
    for executor in executors:
        await executor.listen(node.name)
        discovery.add(executor.name, executor.port_of, "budapest-1")
    configuration = {
        "discovery": f"{stand_ins.HOST}:{discovery.port_of[node.name]}",
        "seed": f"{number}",
        "limits": {"sockets": 1024},
        "known": discovery.listing(node.name),
        "settings": SETTINGS,
    }
    processes.append(await node.start(configuration))
    await node.until_ready()
    client = stand_ins.Client(record, f"q{number}-")
    id = None
    for _ in range(EARLIER_REQUESTS):
        client.send(node, "pitch-hold", CLIENT_TIMEOUT_MS)
    await client.finished()
    # The client's guess at the work, in microseconds.
    cost = [("X-Cost", int(FAILED_AFTER_S * 1e6))]
    id = client.send(node, "pitch-hold", CLIENT_TIMEOUT_MS, cost)

    def is_at(executor):
        """Returns whether an executor has the long job."""
        return any(job.id == id for job in executor.jobs)

    await stand_ins.until(lambda: any(map(is_at, executors)), 3, "the first attempt")
    other = executors[1] if is_at(executors[0]) else executors[0]
    if trouble:
        # Connections to the other executor come up late from now on. Those that are open will have rested for
        # more than half of `connIdleMs` by then, and the node opens another one.
        other.stop_listening()
        await asyncio.sleep(0.1)
        listener, fillers = full_listener(other.port_of[node.name])
        record.add(other.name, "has no room for connections")
    await asyncio.wait_for(failed.wait(), FAILED_AFTER_S + 3)
    in_time = sum(executor.used_connections for executor in executors)
    if trouble:
        await asyncio.sleep(0.4)
        listener.setblocking(False)
        await other.serve_on(node.name, listener)
        for filler in fillers:
            filler.close()
        record.add(other.name, "has room for connections again")
    await client.finished()
    processes[-1].terminate()
    await processes[-1].wait()
    if not is_at(other) and client.answers[id] not in (500, 503):
        raise stand_ins.CannotRunError("no retry and no refusal")
    breaks = []
    for key in {key for _, _, key in zone.effects}:
        times = [at for at, _, other_key in zone.effects if other_key == key]
        if len(times) > 1:
            breaks.append(
                f"{key}: effect applied {len(times)} times, the repeat {times[1] - times[0]:.2f} s after "
                f"the first attempt, with a window of {WINDOW_S:g} s (and {SLACK_S:g} s of slack)"
            )
    connections = sum(executor.used_connections for executor in executors)
    late = connections - in_time if trouble else 0
    return breaks, late, connections


async def scene(record, folder, processes, trouble):
    """Plays the rounds one after the other; returns the breaks."""
    breaks = []
    late = 0
    connections = 0
    for number in range(ROUNDS):
        found, late_here, connections_here = await play_round(record, number, folder, processes, trouble)
        breaks += found
        late += late_here
        connections += connections_here
    record.add("connections:", connections, "of which late:", late)
    if late > connections * LATE_SHARE:
        raise stand_ins.CannotRunError("more connections were late than the page allows")
    return breaks


if __name__ == "__main__":
    stand_ins.run_scene(Path(__file__).resolve().parent, scene)
