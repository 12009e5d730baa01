"""Wire and file formats, compared with golden samples recorded by an earlier version.

Nodes of two versions run together while a fleet is upgraded, and a new process starts from the files of the
old one. The samples are in `tests/data/golden`, one file for each format. They are recorded once:
`python tests/test_compatibility.py` writes only files that do not exist. If a sample no longer matches, the
format has changed and needs a new version; the sample must not be recorded again.

All code that depends on names inside the package is in the first section. The code below it handles only
bytes and plain values.
"""

import asyncio
import base64
import json
import os
import socket
import sys
import tempfile
import zlib
from collections import Counter
from functools import lru_cache, partial
from hashlib import blake2b
from pathlib import Path
from types import SimpleNamespace

import msgpack
import orjson
import pytest

if __name__ == "__main__":
    sys.path.insert(0, str(Path(__file__).parent.parent))

import helpers

from grebedyke import errors
from grebedyke.consensus import framing, member_record, records
from grebedyke.consensus.actions import SendMessage
from grebedyke.consensus.consensus import Consensus
from grebedyke.maintenance.component import Maintenance
from grebedyke.model.events import AttemptEnded, PeerMessageReceived, RequestArrived
from grebedyke.model.outcome import Outcome
from grebedyke.model.peer_messages import (
    SlotDenial,
    SlotGrant,
    SlotProgressed,
    SlotReleased,
    SlotRequest,
    SlotStarted,
)
from grebedyke.model.seeded_random import SeededRandom
from grebedyke.service import configuration
from grebedyke.service.assembly import assemble
from grebedyke.service.configuration.node_schema import NODE_SCHEMA
from grebedyke.service.process_channel import ProcessChannel
from grebedyke.testbed import simulated_cluster, simulated_limits, simulated_settings
from grebedyke.units import TICKS_PER_SECOND
from grebedyke.validation import validate
from grebedyke.wire import peer_codec
from grebedyke.wire.request_headers import JobUpdate

GOLDEN = Path(__file__).parent / "data" / "golden"


# Code that depends on names inside the package.


PEER_MESSAGES = {
    "ask": SlotRequest,
    "lend": SlotGrant,
    "none": SlotDenial,
    "began": SlotStarted,
    "news": SlotProgressed,
    "end": SlotReleased,
}


def pack_datagram(kind, number, *figures):
    return peer_codec.encode(PEER_MESSAGES[kind](number, *figures))


def decode_datagram(body):
    message = peer_codec.decode(body)
    if message is None:
        return None
    kind = next(kind for kind, type_ in PEER_MESSAGES.items() if type(message) is type_)
    return (kind, *message)


def calls_for_datagram(sender, body):
    """Returns the calls that node 1 of 3 makes for a datagram, each as a list of values."""
    calls = []
    node = helpers.dispatcher(node_count=3, node_number=1, groups_per_zone=1)
    node._peer_handlers |= {
        SlotRequest: lambda now, by, message: calls.append((now, (by, message.number), *message[1:])),
        SlotGrant: lambda now, by, message: calls.append((now, by, *message)),
        SlotDenial: lambda now, by, message: calls.append((now, *message)),
    }
    node.tracking = SimpleNamespace(
        started=lambda now, event, start_delay: calls.append((now, *event, start_delay)),
        progressed=lambda now, event: calls.append((now, *event)),
        ended=lambda now, event: calls.append((now, *event)),
    )
    message = peer_codec.decode(body)
    if message is not None:
        node.handle(1_000, PeerMessageReceived(sender, message))
    return calls


def pack_frames(fleet, number, message):
    return framing.pack(framing.fleet_tag(fleet), number, message)


def read_frames(fleet, sender, datagrams):
    """Returns the messages that the datagrams complete, and the number of undecodable ones."""
    reassembler = framing.Reassembler(framing.fleet_tag(fleet))
    messages = [reassembler.take(sender, datagram) for datagram in datagrams]
    return [message for message in messages if message is not None], reassembler.undecodable_count


def pack_record(fleet, node, content):
    return records.encode(fleet, node, content)


def read_record(fleet, node, data):
    return records.decode(fleet, node, data)


def refuses_record(fleet, node, data):
    with pytest.raises((errors.CorruptRecordError, errors.ForeignRecordError)):
        records.decode(fleet, node, data)
    return True


def consensus_component(node, voters, nodes, process):
    return Consensus(SeededRandom("compatibility"), "f", node, nodes, voters, process, TICKS_PER_SECOND // 20)


def restore_votes(node, nodes, data):
    """Restores a member from its record; returns its state, its first messages and its re-encoded record."""
    component = consensus_component(node, [0, 1, 2], nodes, 1_000)
    component.restore(0, {"votes": data})
    state, sent = component.state(), messages_sent_by(component)
    # The phase is the only field that is not restored from the record.
    component.acceptor.phase = read_record("f", node, data)["phase"]
    return state, sent, pack_record("f", node, member_record.record_fields(component.acceptor))


def restore_view(node, nodes, data):
    """Restores a node from its view; returns its state, the banned machines and its re-encoded view."""
    consensus = consensus_component(node, [0, 1, 2], nodes, 1_000)
    settings = simulated_settings.maintenance_settings(TICKS_PER_SECOND, drift=0.02)
    component = Maintenance(consensus, "f", node, nodes, 1_000, settings)
    component.restore(0, {"view": data})
    banned = sorted(component.take_exclusions()[0].names)
    return component.status(0), banned, component.record.start_write(1, component.rollout).data


def messages_sent_by(component):
    actions = iter(partial(component.next_action, 0), None)
    return [[action.node, plain(action.message)] for action in actions if isinstance(action, SendMessage)]


def simulated_fleet_class(kind):
    """Returns the module, the class name and the run function of a kind of simulated fleet."""
    module, name = {
        "maintenance": (simulated_cluster, "SimulatedCluster"),
        "limits": (simulated_limits, "LimitedCluster"),
    }[kind]
    return module, name, module.run


def recording_class(base, recording):
    """Returns a subclass of a simulated fleet that records all messages and all records on disk."""

    class RecordingFleet(base):
        def __init__(self, *arguments, **shape):
            super().__init__(*arguments, **shape)
            for host in self.nodes:
                host.disk.write = partial(self.write, host, host.disk.write)

        def send(self, sender, receiver, message):
            recording.record_message(self.now, sender, receiver, msgpack.packb(message))
            super().send(sender, receiver, message)

        def write(self, host, write, name, data):
            recording.record_write(self.now, host.node_id, name, data)
            write(name, data)

    return RecordingFleet


def call_operator_api(fleet, node, method, path, body=None):
    """Makes an operator's call at a node of a simulated fleet; returns the list that receives its answers."""
    answers, host = [], fleet.nodes[node]
    component = next(component for component in host.components if path.startswith(component.call_paths))
    component.operator_call(host.clock(), lambda *answer: answers.append(answer), method, path, body)
    host.run_components()
    return answers


def play_members_round(make_fleet):
    """Plays a fleet without faults that runs a plan while voters are removed and added."""
    fleet, answers = make_fleet(7, faults=0), {}
    fleet.start_all()
    fleet.schedule(1, fleet.operators.poll_and_work)
    fleet.run(3 * TICKS_PER_SECOND)
    fleet.operators.call(b"/v1/maintenance/plan", MAINTENANCE_PLAN)
    fleet.run(5 * TICKS_PER_SECOND)
    for seconds, change in ((8, b"remove/2"), (11, b"add/3"), (14, b"add/2")):
        call_operator_api(fleet, 0, b"POST", b"/v1/agreement/" + change)
        fleet.run(seconds * TICKS_PER_SECOND)
        for path in (b"/v1/maintenance", b"/v1/agreement"):
            for node in (0, 2, 3):
                answers[f"{seconds} s, node {node}, {path.decode()}"] = call_operator_api(
                    fleet, node, b"GET", path
                )[0]
    fleet.run(20 * TICKS_PER_SECOND)
    # Proposers with older or newer members cause the two refusal reasons that no random round covers.
    for node, epoch, members in ((0, 0, [0, 1, 2]), (1, 99, [0, 2])):
        fleet.nodes[node].receive(2, ["p", "board", [1_000, 2, 77], epoch, members])
    fleet.run(21 * TICKS_PER_SECOND)
    return answers


def limits_status(fleet):
    path = b"/v1/limits"
    return {
        f"node {node}, {path.decode()}": call_operator_api(fleet, node, b"GET", path)[0] for node in (0, 2)
    }


class Process:
    """A fully assembled node process that does not serve, with a constant clock."""

    NOW = 10**12  # Far after the event loop's own time, so that no timer expires.

    def __init__(self, loop, folder, known):
        config = validate(NODE_SCHEMA, {**NODE_FILE, "folder": str(folder), "known": known})
        config["settings"] = configuration.check_settings(config["settings"])
        self.loop, self.node = loop, assemble(loop, config, lambda: config, clock=lambda: self.NOW)
        self.node.parts.batch.pass_times.extend([self.NOW] * 3)
        self.node.parts.host.endpoint_updates.unix_time_offset = self.NOW - 50_000
        self.node.parts.host.endpoint_updates.on_list(self.NOW, self.node.configured_list())
        self.hot_restart = self.node.parts.hot_restart

    async def listen(self, inherited=None):
        await self.node.parts.listener.listen(self.loop, "127.0.0.1", 0, inherited)

    def handle_events(self):
        """Handles some requests, failed attempts and a ban: everything that a state transfer contains."""
        dispatcher, now = self.node.parts.host.dispatcher, self.NOW
        for i, operation in enumerate(["op", "safe", "op", "safe"]):
            id = b"r%d" % i
            request = RequestArrived(id, operation, "t", now + 90_000, 0, 1)
            dispatcher.handle(now + i * TICKS_PER_SECOND, request)
            self.take_actions(now + i * TICKS_PER_SECOND)
            end = AttemptEnded(id, 0, Outcome.CONNECT_FAILED, False, None)
            dispatcher.handle(now + i * TICKS_PER_SECOND + 5, end)
            self.take_actions(now + i * TICKS_PER_SECOND + 5)
        self.node.parts.host.endpoint_updates.set_banned(now, "s-2", True)

    def take_actions(self, now):
        return [*iter(partial(self.node.parts.host.dispatcher.next_action, now), None)]

    def exported_state(self):
        return self.node.parts.host.endpoint_updates.export_state()

    def banned(self):
        return sorted(self.node.parts.host.dispatcher.endpoints.banned)

    def list_version(self):
        return self.node.parts.discovery.version

    def accepted_clients(self):
        return [[one.proven, one.is_executor] for one in self.node.parts.listener.connections.accepted]

    def send_each_kind(self):
        """Sends a message of each kind to the other process."""
        self.node.parts.admin_api.set_banned(self.NOW, "s-1", True)
        self.node.parts.admin_api.set_banned(self.NOW, "s-2", False)
        self.node.parts.host.job_updates.on_update(
            self.NOW, JobUpdate("r7", "s-1", "done", b"42\xc3\xa9", {"x0": 2, "rif": 1.5})
        )
        self.node.parts.host.job_updates.on_update(self.NOW, JobUpdate("r8", "s-1", "started", b""))
        self.node.reload()

    def hand_over_client(self, sock, good, caller):
        transport = SimpleNamespace(get_extra_info=lambda name: sock)
        self.node.parts.process_messages.hand_over(
            SimpleNamespace(transport=transport, proven=good, is_executor=caller, abort=lambda: None)
        )

    def record_messages(self):
        """Returns a list that collects the job updates and reloads received, instead of handling them."""
        received = []
        self.node.parts.host.job_updates.on_update = lambda now, update, *ours: received.append(
            ["news", *update, *ours]
        )
        self.node.reload = lambda passed_on: received.append(["reload", passed_on])
        return received

    def close(self):
        self.hot_restart.close()
        self.node.parts.listener.close()


def open_channel(loop, sock, received):
    return ProcessChannel(
        loop, sock, lambda channel, message, descriptors: received.append(message), lambda _: None
    )


# Samples in text form.


def to_text(data):
    """Encodes bytes for a JSON sample."""
    return base64.b64encode(data).decode()


def from_text(text):
    """Decodes the bytes of a JSON sample."""
    return base64.b64decode(text, validate=True)


def plain(value):
    """Returns a value as it is received over the network: tuples become lists."""
    return msgpack.unpackb(msgpack.packb(value), strict_map_key=False)


def golden(name):
    return json.loads((GOLDEN / f"{name}.json").read_bytes())


# Datagrams of wire/peer_codec.py.

OUTCOMES = ("ok", "fault", "full", "timeout", "no connection", "reset", "cancelled", "moot")
DATAGRAMS = [
    ("ask", 7, 5, 80_000, 12_345, 0, 1, 2, 3, 0, 1),
    ("ask", 2**32 - 1, -1, 2**40, 2.7e12, 0, 400, 1, 0, 1, 0),
    ("lend", 8, 3),
    ("none", 9, True),
    ("none", 10, False),
    ("began", 11, 250, True),
    ("began", 12, 2**40, False),
    ("news", 13),
    *(("end", 20 + i, outcome, None) for i, outcome in enumerate(OUTCOMES)),
    *(("end", 30 + i, outcome, 2.5) for i, outcome in enumerate(OUTCOMES)),
    ("end", 40, "ok", 0),
    ("end", 41, "ok", 99),
]


def record_datagrams():
    packed = [(facts, pack_datagram(*facts)) for facts in DATAGRAMS]
    malformed = [packed[0][1][:-1], b"\x02" + packed[2][1][1:], b"\x01\x06" + packed[2][1][2:], b""]
    malformed.append(packed[-1][1][:-2] + b"\x08\xff")  # An outcome of a later build.
    return [
        {
            "facts": facts,
            "hex": body.hex(),
            "read": decode_datagram(body),
            "call": calls_for_datagram(2, body),
        }
        for facts, body in [*packed, *((None, body) for body in malformed)]
    ]


def test_peer_messages_keep_their_format():
    samples = golden("datagrams")
    for sample in samples:
        body, facts = bytes.fromhex(sample["hex"]), sample["facts"]
        assert plain(decode_datagram(body)) == sample["read"], sample
        assert plain(calls_for_datagram(2, body)) == sample["call"], sample
        assert facts is None or pack_datagram(*facts) == body, sample
    assert {tuple(sample["facts"] or ()) for sample in samples} == {(), *DATAGRAMS}


# Framed messages of consensus/framing.py.

FRAMED = [
    ("f", 7, ["w", "voting", [1, 5], 3, 1]),
    ("another fleet", 2**32 + 3, ["l", "board", [9, 1, 12], {"rev": 4, "at": {"e0": ["free", 3, 0]}}]),
    ("f", 8, ["l", "board", "x" * 2_500]),
]


def record_frames():
    return [
        {
            "fleet": fleet,
            "number": number,
            "message": message,
            "frames": [to_text(frame) for frame in pack_frames(fleet, number, message)],
        }
        for fleet, number, message in FRAMED
    ]


def test_framed_messages_keep_their_format():
    samples = golden("frames")
    for sample in samples:
        fleet, message = sample["fleet"], sample["message"]
        datagrams = [from_text(text) for text in sample["frames"]]
        assert pack_frames(fleet, sample["number"], message) == datagrams
        assert read_frames(fleet, 1, datagrams) == ([message], 0)
        assert read_frames(fleet, 1, datagrams[::-1]) == ([message], 0)
        assert read_frames("not " + fleet, 1, datagrams) == ([], len(datagrams))
        corrupt = [datagram[:-1] + bytes([datagram[-1] ^ 1]) for datagram in datagrams]
        assert read_frames(fleet, 1, corrupt) == ([], len(datagrams))
    assert sorted(len(sample["frames"]) for sample in samples) == [1, 1, 3]


# Messages and records of whole simulated fleets.

MAINTENANCE_PLAN = {
    "machines": ["e0", "e3", "node:4"],
    "zones": ["b"],
    "most": 2,
    "mostZone": 1,
    "after": {"e5": ["e0"]},
    "workMs": 20_000,
    "leastShare": 0.3,
    "late": "go on",
}
# The simulated trials, called rounds in the samples: kind of fleet, seed and shape. Together they cover each
# message kind and each refusal reason.
ROUNDS = {
    "members": ("maintenance", None, {}),
    "maintenance": ("maintenance", 3, {}),
    "maintenance with forgetful voters": (
        "maintenance",
        2,
        {"kinds": ("spoilt file", "empty folder", "kill", "all killed"), "faults": 3},
    ),
    "maintenance of seven nodes": ("maintenance", 4, {"nodes": 7, "voters": 5, "faults": 2}),
    "limits": ("limits", 4, {}),
    "limits of seven nodes": ("limits", 2, {"nodes": 7, "voters": 5, "faults": 2}),
}
KINDS = {*"pPaAnldwWrRh?mMsStT"}
# Full samples of each message kind and of each file, and the number of events per digest.
MESSAGE_SAMPLES, RECORD_SAMPLES, EVENTS_PER_DIGEST = 2, 4, 500
# The header line before the body of a record, and the size of the checksum after it.
HEADER, CHECKSUM_SIZE = b"grebedyke 1\n", 16


class Recording:
    """All messages between nodes and all records on disk of a round, in order."""

    def __init__(self):
        self.events, self.messages, self.records, self.counts = [], {}, {}, Counter()

    def record_message(self, at, sender, receiver, data):
        message = msgpack.unpackb(data, strict_map_key=False)
        kind = f"n: {message[3]}" if message[0] == "n" else message[0]
        self.add_sample(self.messages, MESSAGE_SAMPLES, kind, [at, sender, receiver], data)

    def record_write(self, at, node, name, data):
        self.add_sample(self.records, RECORD_SAMPLES, name, [at, node], data)

    def add_sample(self, samples, max_samples, kind, where, data):
        self.counts[kind] += 1
        # Samples are spread over the round, as the first ones are very similar.
        if self.counts[kind] in [10**i for i in range(max_samples)]:
            samples.setdefault(kind, []).append([*where, to_text(data)])
        self.events.append(msgpack.packb([kind, *where, data]))

    def digests(self):
        """Returns a digest for each `EVENTS_PER_DIGEST` events, each over all events up to then."""
        digests, digest = [], blake2b(digest_size=8)
        for start in range(0, len(self.events), EVENTS_PER_DIGEST):
            for event in self.events[start : start + EVENTS_PER_DIGEST]:
                digest.update(event)
            digests.append(digest.hexdigest())
        return digests

    def as_sample(self):
        return {
            "events": len(self.events),
            "counts": dict(sorted(self.counts.items())),
            "messages": dict(sorted(self.messages.items())),
            "records": dict(sorted(self.records.items())),
            "digests": self.digests(),
        }


@lru_cache(None)
def played_round(name):
    """Plays a round; returns the answers to operators and the recording."""
    kind, seed, shape = ROUNDS[name]
    module, class_name, run = simulated_fleet_class(kind)
    recording = Recording()
    make_fleet = recording_class(getattr(module, class_name), recording)
    if seed is None:
        return play_members_round(make_fleet), recording.as_sample()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(module, class_name, make_fleet)
        violations, fleet = run(seed, **shape)
    assert not violations
    events = recording.as_sample()
    answers = limits_status(fleet) if kind == "limits" else {}
    return answers, events


def record_rounds():
    return {name: played_round(name)[1] for name in ROUNDS}


@pytest.mark.parametrize("name", ROUNDS)
def test_simulated_fleet_sends_and_stores_the_same_bytes(name):
    expected, actual = golden("rounds")[name], plain(played_round(name)[1])
    # The most informative comparisons come first: full samples, then the first differing digest.
    for section in ("messages", "records"):
        for kind, samples in expected[section].items():
            assert readable(actual[section].get(kind, [])) == readable(samples), kind
            assert actual[section][kind] == samples, kind
    same = sum(a == b for a, b in zip(expected["digests"], actual["digests"], strict=False))
    assert same == len(expected["digests"]), (
        f"the rounds differ within {EVENTS_PER_DIGEST} events from {same * EVENTS_PER_DIGEST} on"
    )
    assert actual == expected


def readable(samples):
    """Decodes samples for a readable failure message."""
    return [[*where, content_of(from_text(text))] for *where, text in samples]


def content_of(data):
    """Decodes a message, or the body of a record after its header and checksum."""
    body = data[len(HEADER) + CHECKSUM_SIZE :] if data.startswith(HEADER) else data
    return msgpack.unpackb(body, strict_map_key=False)


def test_recorded_rounds_cover_each_message_kind_and_refusal_reason():
    counts = Counter()
    for recorded in golden("rounds").values():
        counts.update(recorded["counts"])
    assert {kind[0] for kind in counts if kind not in ("votes", "view")} == KINDS
    reasons = {"promised", "no vote", "members", "no member"}
    assert {kind[3:] for kind in counts if kind.startswith("n: ")} == reasons
    assert counts["votes"] and counts["view"]


# Records on disk.


def recorded_files():
    """Returns (node, nodes, data) of each full record sample, by file name."""
    files = {"votes": [], "view": []}
    for name, recorded in golden("rounds").items():
        nodes = ROUNDS[name][2].get("nodes", 5)
        for file, samples in recorded["records"].items():
            files[file] += [(node, nodes, from_text(text)) for _, node, text in samples]
    return files


def record_files():
    restore = {"votes": restore_votes, "view": restore_view}
    return {
        file: [plain(restore[file](*sample)[:2]) for sample in samples]
        for file, samples in recorded_files().items()
    }


@pytest.mark.parametrize("file, restore", [("votes", restore_votes), ("view", restore_view)])
def test_nodes_start_from_recorded_files(file, restore):
    samples, expected = recorded_files()[file], golden("files")[file]
    assert len(samples) == len(expected) >= 8
    for (node, nodes, data), expected_answers in zip(samples, expected, strict=True):
        *found, written = restore(node, nodes, data)
        assert plain(found) == expected_answers
        assert written == data
        assert pack_record("f", node, read_record("f", node, data)) == data
        assert refuses_record("g", node, data) and refuses_record("f", node + 1, data)
        assert refuses_record("f", node, data[:-1] + bytes([data[-1] ^ 1]))


# Operators' calls.

# Free text for people: the keys must be present, the texts may change.
FREE_TEXT = {"why"}


def operator_answers():
    return {
        f"{name}, {call}": [status, orjson.dumps(answer).decode()]
        for name in ROUNDS
        for call, (status, answer) in played_round(name)[0].items()
    }


def without_free_text(text):
    """Returns keys and values in order, with free text replaced by None."""
    return [[key, None if key in FREE_TEXT else value] for key, value in json.loads(text).items()]


def test_operator_answers_keep_their_content():
    expected, actual = golden("operators"), operator_answers()
    assert [*actual] == [*expected] and len(expected) > 15
    for call, (status, text) in expected.items():
        assert actual[call][0] == status == 200
        assert without_free_text(actual[call][1]) == without_free_text(text), call
    plans = [json.loads(text) for call, (_, text) in expected.items() if call.endswith("/v1/maintenance")]
    assert any(plan["machines"] for plan in plans)


# The state transfer between two processes of one node.

LISTED = {"zone": "a", "type": "m", "group": 0, "status": "Ready", "since_ms": 4_000}
KNOWN = {
    "index": 17,
    "endpoints": [
        {**LISTED, "name": "s-1", "address": "127.0.0.1:9"},
        {**LISTED, "name": "s-2", "address": "127.0.0.1:10", "zone": "b", "weight": 2},
        {**LISTED, "name": "s-3", "address": "127.0.0.1:11", "status": "Draining", "since_ms": 0},
    ],
}
NODE_FILE = {
    "name": "n/1",
    "listen": "127.0.0.1:9",
    "discovery": "127.0.0.1:9",
    "settings": {
        "balancers": 1,
        "me": 0,
        "tickMs": 5,
        "zone": "a",
        "operations": [
            {"name": "op", "idempotency": "unsafe", "latencyObjectiveMs": 200, "clientTimeoutMs": 4_000},
            {"name": "safe", "idempotency": "safe", "latencyObjectiveMs": 200, "clientTimeoutMs": 4_000},
        ],
        "limits": {"maxForwards": 5, "connIdleMs": 5_000, "connectTimeoutMs": 250},
        "rules": {
            "coldFrom": 0.3,
            "rampTimeMs": 8_000,
            "tipAfterMs": 1_000,
            "fallMultiple": 3,
            "drainGraceMs": 500,
            "extraFloor": 9,
            "resendRatio": 0.5,
            "lookBackMs": 10_000,
        },
    },
}
CHANNEL_SOCKET = "n_1.handover"
MAX_PACKET_SIZE = 1 << 16
HANDOVER_TIMEOUT = 10  # Seconds.
LONG_MESSAGE = {"kind": "news", "result": "é" * 40_000}


class RemoteEnd:
    """The other process's end of a process channel, operated by the test on raw packets."""

    def __init__(self, loop, sock):
        self.loop, self.sock = loop, sock
        sock.setblocking(False)

    async def read(self, count):
        """Reads a number of packets; returns them and the number of descriptors received."""
        packets, descriptors = [], 0
        while len(packets) < count:
            try:
                data, found, _, _ = socket.recv_fds(self.sock, MAX_PACKET_SIZE, 4)
            except BlockingIOError:
                await asyncio.sleep(0.001)
                continue
            packets.append(data.decode())
            descriptors += len(found)
            for descriptor in found:
                os.close(descriptor)
        return packets, descriptors

    def write(self, packets, *descriptors):
        for packet in packets[:-1]:
            self.sock.send(packet.encode())
        socket.send_fds(self.sock, [packets[-1].encode()], descriptors)


async def until(holds):
    while not holds():
        await asyncio.sleep(0.001)


def run_with_timeout(coroutine):
    """Runs a coroutine and returns its result; it fails if an expected message never arrives."""
    return asyncio.run(asyncio.wait_for(coroutine, HANDOVER_TIMEOUT))


def seqpacket_socket():
    return socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)


async def old_process_packets(folder, hello, ready):
    """Returns the packets, with descriptor counts, that a process sends to its successor, by kind."""
    loop, sent_packets = asyncio.get_running_loop(), {}
    process = Process(loop, folder, KNOWN)
    await process.listen()
    process.handle_events()
    process.hot_restart.listen_for_successor()
    with seqpacket_socket() as sock, socket.socket() as client:
        sock.connect(str(Path(folder) / CHANNEL_SOCKET))
        remote = RemoteEnd(loop, sock)
        remote.write(hello)
        sent_packets["books"] = await remote.read(1)
        process.send_each_kind()
        sent_packets["words"] = await remote.read(5)
        remote.write(ready)
        await until(lambda: process.hot_restart.successor_is_ready)
        process.hand_over_client(client, True, False)
        process.hand_over_client(client, False, True)
        sent_packets["client"] = await remote.read(2)
    process.close()
    return sent_packets


async def new_process_packets(folder, received_packets):
    """Returns the packets that a successor sends, and its state after it has received `received_packets`."""
    loop, sent_packets, found = asyncio.get_running_loop(), {}, {}
    with seqpacket_socket() as server, socket.socket() as listening, socket.socket() as peer:
        server.bind(str(Path(folder) / CHANNEL_SOCKET))
        server.listen()
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        peer.connect(listening.getsockname())
        client = listening.accept()[0]
        process = Process(loop, folder, {"index": 1, "endpoints": []})
        inherits = loop.create_task(process.hot_restart.inherit())
        server.setblocking(False)
        with (await loop.sock_accept(server))[0] as sock, client:
            remote = RemoteEnd(loop, sock)
            sent_packets["hello"] = await remote.read(1)
            remote.write(received_packets["books"][0], listening.fileno())
            inherited = await inherits
            found["listens at the same port"] = inherited.getsockname() == listening.getsockname()
            await process.listen(inherited)
            await until(process.banned)
            found["index of the list"], found["banned"] = process.list_version(), process.banned()
            found["books"] = process.exported_state()
            process.hot_restart.listen_for_successor()
            sent_packets["ready"] = await remote.read(1)
            received = process.record_messages()
            for packet in received_packets["words"][0]:
                remote.write([packet])
            for packet in received_packets["client"][0]:
                remote.write([packet], client.fileno())
            await until(lambda: len(received) == 3 and len(process.accepted_clients()) == 2)
            found["words"] = [
                [x.decode() if isinstance(x, bytes) else x for x in fields] for fields in received
            ]
            found["banned later"], found["clients"] = process.banned(), sorted(process.accepted_clients())
        process.close()
    return sent_packets, found


async def long_message(packets=None):
    """Returns the packets of a message longer than one packet, or the message made of `packets`."""
    loop, received = asyncio.get_running_loop(), []
    one, other = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    channel, remote = open_channel(loop, one, received), RemoteEnd(loop, other)
    if packets is None:
        channel.send(LONG_MESSAGE)
        received = []
        while not received or received[-1][:1] != b".":
            await asyncio.sleep(0.001)
            received.append(other.recv(MAX_PACKET_SIZE))
    else:
        for packet in packets:
            await loop.sock_sendall(remote.sock, packet)
        await until(lambda: received)
    channel.close()
    other.close()
    return received


HELLO, READY = ['.{"kind":"hello","version":1}'], ['.{"kind":"ready"}']
HELLO_WITH_IDENTIFIERS = ['.{"kind":"hello","version":1,"takes_identifiers":true}']
HELLO_OF_THIS_VERSION = [HELLO_WITH_IDENTIFIERS[0].replace("}", ',"shares_updates":true}')]


def record_handover():
    with tempfile.TemporaryDirectory() as folder:
        old = run_with_timeout(old_process_packets(folder, HELLO, READY))
    with tempfile.TemporaryDirectory() as folder:
        new, found = run_with_timeout(new_process_packets(folder, old))
    long = [to_text(zlib.compress(packet, 9)) for packet in run_with_timeout(long_message())]
    return {"old": old, "new": new, "found": found, "long": long}


def test_state_transfer_of_the_old_process_keeps_its_format(tmp_path):
    sample = golden("handover")
    hello, ready = sample["new"]["hello"][0], sample["new"]["ready"][0]
    sent_packets = run_with_timeout(old_process_packets(tmp_path, hello, ready))
    assert plain(sent_packets) == sample["old"]
    kinds = {json.loads(packet[1:])["kind"] for packets, _ in sent_packets.values() for packet in packets}
    assert kinds == {"books", "hand", "news", "reload", "client"}


def test_state_transfer_of_the_new_process_keeps_its_format(tmp_path):
    sample = golden("handover")
    sent_packets, found = run_with_timeout(new_process_packets(tmp_path, sample["old"]))
    # Two fields say that the process takes over request identifiers and takes updates of the list; earlier
    # versions ignore them. A process that does not answer to them gets the rest as before.
    assert sample["new"] == {"hello": [HELLO, 0], "ready": [READY, 0]}
    assert plain(sent_packets) == {"hello": [HELLO_OF_THIS_VERSION, 0], "ready": [READY, 0]}
    # The version of an earlier process may run ahead of its rows, so the complete list is requested.
    assert found["index of the list"] is None and sample["found"]["index of the list"] == KNOWN["index"]
    del found["index of the list"], sample["found"]["index of the list"]
    assert json.loads(orjson.dumps(found)) == sample["found"]
    assert found["listens at the same port"]
    assert found["banned"] == ["s-2"] and found["banned later"] == ["s-1"]


def test_new_process_continues_the_list_of_an_old_one_that_shares_updates(tmp_path):
    sample = golden("handover")
    books = json.loads(sample["old"]["books"][0][0][1:]) | {"shares_updates": True}
    received_packets = {**sample["old"], "books": [["." + json.dumps(books)], 1]}
    _, found = run_with_timeout(new_process_packets(tmp_path, received_packets))
    assert json.loads(orjson.dumps(found)) == sample["found"]
    assert found["index of the list"] == KNOWN["index"]


def test_old_process_gives_its_identifiers_only_to_a_successor_that_takes_them(tmp_path):
    sample = golden("handover")
    sent_packets = run_with_timeout(old_process_packets(tmp_path, HELLO_WITH_IDENTIFIERS, READY))
    books = json.loads(sent_packets["books"][0][0][1:])
    assert books.pop("gives_identifiers") is True
    assert books == json.loads(sample["old"]["books"][0][0][1:])
    assert plain({**sent_packets, "books": sample["old"]["books"]}) == sample["old"]


def test_old_process_shares_updates_only_with_a_successor_that_takes_them(tmp_path):
    sample = golden("handover")
    sent_packets = run_with_timeout(old_process_packets(tmp_path, HELLO_OF_THIS_VERSION, READY))
    books = json.loads(sent_packets["books"][0][0][1:])
    assert books.pop("shares_updates") is True and books.pop("gives_identifiers") is True
    assert books == json.loads(sample["old"]["books"][0][0][1:])
    assert plain({**sent_packets, "books": sample["old"]["books"]}) == sample["old"]


def test_long_messages_between_processes_are_split_as_before():
    packets = [zlib.decompress(from_text(text)) for text in golden("handover")["long"]]
    assert len(packets) == 3 and run_with_timeout(long_message()) == packets
    assert run_with_timeout(long_message(packets)) == [LONG_MESSAGE]


# Recording.

RECORDED = {
    "datagrams": record_datagrams,
    "frames": record_frames,
    "rounds": record_rounds,
    "files": record_files,
    "operators": operator_answers,
    "handover": record_handover,
}


def record_missing():
    """Records the formats without samples; existing samples are never replaced."""
    GOLDEN.mkdir(parents=True, exist_ok=True)
    for name, record in RECORDED.items():
        path = GOLDEN / f"{name}.json"
        if not path.exists():
            path.write_bytes(orjson.dumps(record()) + b"\n")


if __name__ == "__main__":
    record_missing()
