"""Tests of the load tool's clients on a slow event loop, and of the checker's excuse for their requests."""

import asyncio
import socket
import time

import pytest

from grebedyke.load.arrivals import Operation
from grebedyke.load.connection_pool import ConnectionPool
from grebedyke.load.ledger import Answer, Ledger
from grebedyke.load.stall_detector import MIN_STALL_INTERVALS, StallDetector
from grebedyke.testbed.node_record import NO_RECORD, NodeRecord, NodeRecorder, read_node_record
from grebedyke.testbed.trial_checker import TrialChecker

VIEW = Operation("view", "safe", 1.0)
PAY = Operation("pay", "unsafe", 1.0)
# Seconds in which a close on a loopback connection reaches the other side's kernel.
CLOSE_TIME = 0.05
CHECK_INTERVAL = 0.002
MIN_STALL = CHECK_INTERVAL * MIN_STALL_INTERVALS
# Processor time in seconds of a computation that blocks the event loop.
COMPUTING_TIME = 0.05


def test_no_request_is_sent_on_a_connection_whose_close_is_unread():
    # A client that was slow to read the close of its connection sent its request all the same, and reported
    # it as never answered.
    async def scenario():
        with socket.create_server(("127.0.0.1", 0)) as server:
            pool = ConnectionPool(server.getsockname())
            kept = await pool.acquire()
            pool.release(kept)
            assert await pool.acquire() == kept._replace(is_reused=True)
            pool.release(kept)
            server.accept()[0].close()
            time.sleep(CLOSE_TIME)  # the event loop must not read the close
            assert not kept.reader.at_eof()
            new = await pool.acquire()
            assert not new.is_reused
            accepted = server.accept()[0]
            accepted.send(b"bytes that nobody asked for")
            accepted.close()
            time.sleep(CLOSE_TIME)
            # They must not get lost: the client takes them for an answer, and its ledger finds the violation.
            assert not new.is_closed()
            pool.close()

    asyncio.run(scenario())


def test_new_connection_that_is_closed_at_once_is_refused(monkeypatch):
    async def scenario():
        with socket.create_server(("127.0.0.1", 0)) as server:
            connect = asyncio.open_connection

            async def connect_and_stall(*address):
                connection = await connect(*address)
                server.accept()[0].close()
                time.sleep(CLOSE_TIME)
                return connection

            monkeypatch.setattr(asyncio, "open_connection", connect_and_stall)
            with pytest.raises(ConnectionResetError):
                await ConnectionPool(server.getsockname()).acquire()

    asyncio.run(scenario())


class ManualLoop:
    """An event loop whose time the test sets, with one timer."""

    def __init__(self):
        self.now = 0.0
        self.timer = None

    def time(self):
        return self.now

    def call_later(self, delay, call):
        self.timer = call

    def run_pass(self, now):
        self.now = now
        self.timer()


def test_slow_pass_is_a_stall_also_if_answers_are_handled_in_it():
    # Each answer restarted the measurement, so that a pass with many answers was never a stall, and answers
    # that had arrived in time were reported as late.
    loop = ManualLoop()
    detector = StallDetector(loop, CHECK_INTERVAL, loop.time)
    detector.start()
    loop.run_pass(CHECK_INTERVAL)
    for now in (0.004, 0.006):
        assert detector.earliest_arrival(now) == now
    loop.now = 0.1
    assert detector.earliest_arrival(0.1) == CHECK_INTERVAL and detector.longest_stall(0.0) == 0.098
    loop.run_pass(0.1)
    assert detector.longest_stall(0.0) == 0.098 and detector.longest_stall(0.1) == 0.0
    loop.run_pass(0.102)
    assert detector.earliest_arrival(0.103) == CHECK_INTERVAL  # the loop still reads what came in the stall
    for now in range(104, 160, 2):
        loop.run_pass(now / 1000)
    assert detector.earliest_arrival(0.16) == 0.16


def test_data_may_have_arrived_at_most_three_slow_passes_ago():
    loop = ManualLoop()
    detector = StallDetector(loop, CHECK_INTERVAL, loop.time)
    detector.start()
    for now in (0.1, 0.2, 0.3, 0.302, 0.4, 0.5):
        loop.run_pass(now)
    assert detector.earliest_arrival(0.5) == 0.2
    assert detector.earliest_arrival(0.504) == 0.2
    assert detector.earliest_arrival(0.506) == 0.302


def test_only_an_unread_request_may_cross_the_close_of_its_node():
    # sent, its connection ended not before, whether its node read it, whether that is a violation
    for sent, ended_not_before, was_read, is_violation in (
        (1.3, 1.319, False, False),
        (1.3, 1.2, False, False),
        (1.3, 1.321, False, True),
        (1.3, 1.301, True, True),
        (0.9, 0.901, False, True),
        (1.7, 1.701, False, True),
        (1.3, None, False, True),
        (1.45, 1.519, False, False),  # a process of the node stood still from 1.4 to 1.5 s
        (1.45, 1.521, False, True),
        (1.39, 1.511, False, True),
        (1.45, 1.46, True, True),
    ):
        ledger = Ledger()
        entry = ledger.add_request("n0-1-0", PAY, "k", sent)
        entry.sent = sent
        entry.ended = sent + 0.2
        entry.ended_not_before = ended_not_before
        answered = ledger.add_request("n0-2-0", VIEW, "k", 0.0)
        answered.sent = 0.0
        answered.answers = [Answer(0.5, 200, b"")]
        ledger.add_arrivals("s", [("n0-2-0", 0.1)])
        checker = TrialChecker()
        checker.graceful_shutdowns["n0"].append((1.0, 1.6))
        requests = frozenset({"n0-1-0"} if was_read else ())
        stalls = ((7, 1.4, 1.45), (7, 1.45, 1.5), (8, 1.41, 1.49))
        checker.check_rules(ledger, {"n0": NodeRecord(requests, stalls)})
        clauses = [violation.clause for violation in checker.violations]
        case = (sent, ended_not_before, was_read)
        assert clauses == (["rule 1"] if is_violation else []), case
        assert checker.event_counts["crossed a close"] == (not is_violation), case


def test_record_has_each_request_before_the_node_handles_it_and_each_stall(tmp_path):
    class Listener:
        def on_request(self, connection, incoming):
            handled.append((connection, incoming, read_node_record(path).requests))

    class Incoming:
        request_id = b"n0-1-0"

    async def scenario():
        recorder.start(asyncio.get_running_loop(), listener, CHECK_INTERVAL)
        await asyncio.sleep(0)
        time.sleep(2 * MIN_STALL)
        await asyncio.sleep(2 * CHECK_INTERVAL)
        listener.on_request("connection", Incoming)
        start = time.monotonic()
        await asyncio.sleep(2 * CHECK_INTERVAL)
        end_of_computation = time.process_time() + COMPUTING_TIME
        while time.process_time() < end_of_computation:
            pass
        await asyncio.sleep(2 * CHECK_INTERVAL)
        computing.append((start, time.monotonic()))
        time.sleep(3 * MIN_STALL)

    handled = []
    computing = []
    path = tmp_path / "record"
    assert read_node_record(path) == NO_RECORD
    listener = Listener()
    recorder = NodeRecorder(path)
    asyncio.run(scenario())
    recorder.close()
    assert handled == [("connection", Incoming, {"n0-1-0"})]
    record = read_node_record(path)
    lengths = [end - start for _, start, end in record.stalls]
    assert lengths[0] >= 2 * MIN_STALL and lengths[-1] >= 3 * MIN_STALL
    [(start, end)] = computing
    assert record.stalled_time(start, end) <= end - start - COMPUTING_TIME
