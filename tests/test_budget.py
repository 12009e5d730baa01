"""The retry budget (rule 5), checked against lists of times instead of buckets of counters."""

import asyncio
import random
from typing import NamedTuple

import orjson
import pytest
from helpers import dispatcher, rows, take_actions
from job_emulators import AcceptingExecutor, send_last_request
from loguru import logger
from node_files import LISTED_ROW, OPERATIONS, SETTINGS, node_file

from grebedyke.emulators.ports import free_port
from grebedyke.model.actions import Fail, Forward, Throttle
from grebedyke.model.outcome import Idempotency, Outcome
from grebedyke.policy.retry_budget import FOREVER, RetryBudget
from grebedyke.service import configuration, node
from grebedyke.service.assembly import assemble
from grebedyke.service.reload import adopt_settings
from grebedyke.units import TICKS_PER_SECOND

WINDOW = 50_000  # ticks


class BudgetSettings(NamedTuple):
    """The settings of a budget, as RetryBudget takes them."""

    floor: float
    ratio: float
    window: int


class Case(NamedTuple):
    """Expected number of available retries at `now`, after requests and retries at the given times."""

    floor: float
    ratio: float
    requests: list
    retries: list
    now: float
    left: float


CASES = (
    Case(2, 0.2, requests=[], retries=[], now=0, left=2),
    Case(2, 0.2, requests=[0] * 10, retries=[], now=0, left=4),
    Case(2, 0.2, requests=[0] * 10, retries=[0, 0, 0], now=0, left=1),
    Case(0, 0.1, requests=[0] * 9, retries=[], now=0, left=0.9),
    Case(0, 0, requests=[0] * 99, retries=[], now=0, left=0),
    Case(2, 0, requests=[], retries=[0, 0], now=WINDOW - 1, left=0),
    # At the edge of the window, requests are dropped a bucket before its end and retries a bucket after it.
    Case(2, 0.2, requests=[0] * 10, retries=[], now=WINDOW, left=2),
    Case(2, 0, requests=[], retries=[0, 0], now=WINDOW, left=0),
    Case(2, 0, requests=[], retries=[0], now=1.05 * WINDOW, left=2),
    Case(1, 0.5, requests=[30_000] * 4, retries=[0, 30_000], now=1.05 * WINDOW, left=2),
)


@pytest.mark.parametrize("case", CASES)
def test_available_retries_follow_from_the_counted_requests_and_retries(case):
    budget = RetryBudget(case.floor, case.ratio, WINDOW)
    counted = [(time, budget.requests) for time in case.requests]
    counted += [(time, budget.retries) for time in case.retries]
    for time, counter in sorted(counted, key=lambda pair: pair[0]):
        counter.add(time)
    assert budget.available(int(case.now)).left == pytest.approx(case.left)


@pytest.mark.parametrize(
    ("idempotency", "answer"),
    ((Idempotency.IDEMPOTENT, Throttle), (Idempotency.KEYED, Fail), (Idempotency.NON_IDEMPOTENT, Throttle)),
)
def test_a_request_beyond_the_budget_is_answered_at_once(idempotency, answer):
    """A request without a retry left in the budget would otherwise wait until its client gives up.

    The first request spends the budget; the second one is answered at the end of its first attempt. A keyed
    request that may have run fails instead of being throttled, as its idempotency group is a zone and not the
    whole fleet.
    """
    outcome = Outcome.REJECTED if idempotency == Idempotency.NON_IDEMPOTENT else Outcome.TIMEOUT
    d = dispatcher(idempotency, budget=BudgetSettings(1, 0, WINDOW), max_retry_after=20_000)
    d.endpoints_changed(10, True, rows(1, 2, 3, 4))
    for now, id, wanted in ((20, 1, Forward), (900, 2, answer)):
        d.request_arrived(now, id, "op", None, now + 50_000, 1_000, 1)
        assert [type(action) for action in take_actions(d, now)] == [Forward]
        d.attempt_ended(now + 10, id, 0, outcome, False)
        assert [type(action) for action in take_actions(d, now + 10)] == [wanted]


def assert_within_budget(now, settings, requests, retries):
    """Checks the rule by lists of times; `retries` already includes the retry being sent."""
    sent = sum(now - WINDOW <= time <= now for time in retries)
    taken = sum(now - WINDOW < time <= now for time in requests)
    assert sent <= settings.floor + settings.ratio * taken, (now, sent, retries, requests)


class RandomizedNode:
    """A node with random inputs (requests, ends of attempts, reloads, successors), checked at each retry.

    Attributes:
        random: Source of all draws.
        settings: The budget's settings in force.
        dispatcher: The node's Dispatcher.
        now: The time in ticks.
        open_attempts: (request, attempt number) of the attempts that have not ended.
        requests: Times at which requests arrived.
        retries: Times at which retries were sent.
    """

    INITIAL_SETTINGS = (
        BudgetSettings(2, 0.2, WINDOW),
        BudgetSettings(0, 0.1, WINDOW),
        BudgetSettings(5, 0, WINDOW),
        BudgetSettings(1, 1.5, WINDOW),
    )
    RELOADED_SETTINGS = (
        BudgetSettings(1, 0.1, WINDOW),
        BudgetSettings(3, 0.3, WINDOW),
        BudgetSettings(0, 0, 0),
    )
    OUTCOMES = (
        Outcome.SUCCEEDED,
        Outcome.REJECTED,
        Outcome.REJECTED,
        Outcome.REJECTED,
        Outcome.FAILED,
        Outcome.CONNECTION_RESET,
    )

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.settings = self.random.choice(self.INITIAL_SETTINGS)
        idempotency = self.random.choice((Idempotency.IDEMPOTENT, Idempotency.NON_IDEMPOTENT))
        self.dispatcher = dispatcher(idempotency, budget=self.settings, seed=seed, cancels=seed % 2 == 0)
        self.now = 10
        self.open_attempts = []
        self.requests = []
        self.retries = []
        self.dispatcher.endpoints_changed(self.now, True, rows(*range(6)))

    def step(self):
        """Advances the time, applies a random input and checks the node's actions."""
        draw = self.random.random()
        self.now += self.random.choice((0, 1, 50, 400, 3_000) if draw < 0.98 else (WINDOW - 1, WINDOW))
        if draw < 0.5:
            self.submit_request()
        elif draw < 0.95 and self.open_attempts:
            self.end_attempt()
        elif draw < 0.97:
            self.reload()
        elif draw < 0.98:
            self.transfer_budget()
        self.check_actions()

    def check_actions(self):
        """Carries out the node's actions; each retry has to be within the budget."""
        for action in take_actions(self.dispatcher, self.now, Forward):
            number = len(self.dispatcher.requests[action.request_id].attempts) - 1
            self.open_attempts.append((action.request_id, number))
            if number > 0:
                self.retries.append(self.now)
                if self.settings.window:
                    assert_within_budget(self.now, self.settings, self.requests, self.retries)

    def submit_request(self):
        """Submits a request."""
        self.requests.append(self.now)
        hint = self.random.choice((0, 900))
        self.dispatcher.request_arrived(self.now, len(self.requests), "op", None, self.now + 50_000, hint, 1)

    def end_attempt(self):
        """Ends an attempt, in most cases with a rejection."""
        request, number = self.open_attempts.pop(self.random.randrange(len(self.open_attempts)))
        self.dispatcher.attempt_ended(self.now, request, number, self.random.choice(self.OUTCOMES), False)

    def reload(self):
        """Reloads with other budget settings or none; earlier requests and retries remain in the window."""
        self.settings = self.random.choice(self.RELOADED_SETTINGS)
        adopt_settings(self.now, self.dispatcher, dispatcher(budget=self.settings))

    def transfer_budget(self):
        """Transfers the budget to a new process.

        Open attempts end at the old process, which sends no more retries.
        """
        old = self.dispatcher
        state = orjson.loads(orjson.dumps(old.retry_budget.export_state()))
        for request, number in self.open_attempts:
            old.attempt_ended(self.now, request, number, Outcome.REJECTED, False)
        sent = {action.request_id for action in take_actions(old, self.now, Forward)}
        assert not self.settings.window or not any(len(old.requests[id].attempts) > 1 for id in sent)
        self.open_attempts = []
        self.dispatcher = dispatcher(budget=self.settings)
        self.dispatcher.endpoints_changed(self.now, True, rows(*range(6)))
        self.dispatcher.retry_budget.import_state(self.now, *state)


def test_no_sequence_of_inputs_exceeds_the_budget():
    retries = 0
    for seed in range(2_000):
        run = RandomizedNode(seed)
        for _ in range(60):
            run.step()
        retries += len(run.retries)
    assert retries > 5_000  # otherwise the test would check nothing


def test_retries_that_wait_for_their_connections_stay_within_the_budget():
    """Retries wait up to a second for their connections, and count when they are sent.

    A burst that was delayed came into the window of the next burst, which was decided after the first had
    left the budget's window.
    """
    settings = BudgetSettings(3, 0.2, WINDOW)
    expired = 0
    for seed in range(300):
        chance = random.Random(seed)
        budget = RetryBudget(*settings)
        requests = []
        retries = []
        now = 10
        for _ in range(200):
            now += chance.choice((0, 50, 400, 3_000, 20_000))
            if chance.random() < 0.4:
                requests.append(now)
                budget.requests.add(now)
            elif budget.available(now).left >= 1:
                budget.retries.add(now)
                sent_at = now + chance.choice((0, 200, 1_000, 5_000, TICKS_PER_SECOND))
                is_late = sent_at > budget.latest_send(now)
                expired += is_late
                retries += [] if is_late else [sent_at]
        for sent_at in retries:
            assert_within_budget(sent_at, settings, requests, retries)
    assert expired and RetryBudget(0, 0, 0).latest_send(now) is None


def test_a_retry_under_a_budget_has_a_latest_send():
    d = dispatcher(budget=BudgetSettings(2, 0, WINDOW))
    d.endpoints_changed(10, True, rows(1, 2))
    d.request_arrived(10, 5, "op", None, 50_000, 1_000, 1)
    first = take_actions(d, 10, Forward)
    d.attempt_ended(20, 5, 0, Outcome.REJECTED, False)
    second = take_actions(d, 20, Forward)
    assert [action.latest_send for action in first + second] == [None, 20 + WINDOW // 48]


def test_a_process_without_its_budget_or_its_successor_waits_a_window():
    """Two processes of a node count as one for the rule, so a process without its budget sends no retries.

    If the successor dies, the process does not know which retries the successor sent. In the same way a
    process does not know the earlier retries if its predecessor exports no budget, or counts that cover less
    than the window.
    """
    old = RetryBudget(3, 0, WINDOW)
    new = RetryBudget(3, 0, WINDOW)
    old.retries.add(100)
    new.import_state(200, *old.export_state())
    assert old.available(300).left == 0 and new.available(300).left == 2
    new.on_other_process_gone(300)  # its old process has ended
    assert new.available(300).left == 2
    old.on_other_process_gone(400)  # the successor has died
    assert old.available(WINDOW).left == 0 and old.available(400 + WINDOW * 21 // 20).left == 3
    for state in (((), (), 0, 0), (*old.export_state()[:3], FOREVER)):
        late = RetryBudget(3, 0, WINDOW)
        late.import_state(400, *state)
        assert late.available(WINDOW).left == 0


COMPLETE = {"extraFloor": 2, "resendRatio": 0.2, "lookBackMs": 5000}
FAULTY_RULES = (
    # (rules, key in the error message, problem in the error message)
    ({**COMPLETE, "extraFloor": -1}, "extraFloor", "out of its range"),
    ({**COMPLETE, "resendRatio": -0.1}, "resendRatio", "out of its range"),
    ({**COMPLETE, "resendRatio": "17 %"}, "resendRatio", "out of its range"),
    ({**COMPLETE, "lookBackMs": 0}, "lookBackMs", "out of its range"),
    ({**COMPLETE, "lookBackMs": True}, "lookBackMs", "out of its range"),
    ({"resendRatio": 0.2, "lookBackMs": 5000}, "extraFloor", "is missing"),
    ({"extraFloor": 2, "lookBackMs": 5000}, "resendRatio", "is missing"),
    ({"extraFloor": 2, "resendRatio": 0.2}, "lookBackMs", "is missing"),
    ({"extraFloor": 2}, "resendRatio", "is missing"),
    ({"resendRatio": 0.2}, "extraFloor", "is missing"),
    ({"lookBackMs": 5000}, "extraFloor", "is missing"),
)


def settings_with(rules):
    """Returns settings with these rules in addition to the required ones."""
    return {**SETTINGS, "rules": {**SETTINGS["rules"], **rules}}


def test_complete_settings_are_accepted():
    assert configuration.check_settings(settings_with(COMPLETE))["rules"]["lookBackMs"] == 5000


@pytest.mark.parametrize(("rules", "key", "problem"), FAULTY_RULES)
def test_invalid_settings_are_reported_with_their_key(rules, key, problem):
    with pytest.raises(configuration.ConfigurationError) as refusal:
        configuration.check_settings(settings_with(rules), "settings.")
    assert f"settings.rules.{key} " in str(refusal.value) and problem in str(refusal.value)


class RejectingExecutor(AcceptingExecutor):
    """An emulated executor that rejects every job."""

    async def serve_connection(self, reader, writer):
        while await reader.readline():
            while await reader.readline() not in (b"\r\n", b""):
                pass
            self.received.put_nowait(1)
            writer.write(b"HTTP/1.1 503 no\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")


class ReloadedNode:
    """A node on sockets with executors that reject every job; its rules change while it runs.

    Attributes:
        executors: The RejectingExecutors.
        address: Where the node listens.
        file: Its configuration file.
        node: The running Node.
        serving: The task that runs it.
    """

    def __init__(self, folder):
        self.executors = [RejectingExecutor() for _ in range(4)]
        self.address = ("127.0.0.1", free_port())
        self.file = folder / "config.json"
        self.node = None
        self.serving = None

    async def start(self):
        """Starts the executors and the node, and waits until the node is serving."""
        for executor in self.executors:
            await executor.start()
        self.write({})
        self.node = assemble(asyncio.get_running_loop(), self.read(), self.read)
        self.serving = asyncio.create_task(self.node.serve())
        while self.node.phase != node.NodePhase.SERVING:
            await asyncio.sleep(0.01)

    def write(self, rules):
        """Writes the configuration file with these rules."""
        endpoints = [
            {**LISTED_ROW, "name": f"s-{number}", "address": executor.address}
            for number, executor in enumerate(self.executors)
        ]
        settings = {**settings_with(rules), "operations": OPERATIONS}
        known = {"index": 1, "endpoints": endpoints}
        self.file.write_bytes(
            orjson.dumps(node_file(listen="%s:%d" % self.address, known=known, settings=settings))
        )

    def read(self):
        """Reads the configuration file as the node does."""
        return configuration.read_node({"BALANCER_CONFIG": str(self.file)})

    async def attempts_after_reload(self, rules, request_id):
        """Reloads with these rules, sends a request and returns the number of its attempts."""
        self.write(rules)
        self.node.reload()
        before = self._received()
        for endpoint in self.node.parts.host.dispatcher.endpoints.healthy:
            # Clears the effect of earlier rejections, so that only the budget limits attempts.
            endpoint.rejected_until = {}
            endpoint.ejected_until = 0
            endpoint.credit = 2.0
        answer = await send_last_request(self.address, "unsafe", request_id)
        assert answer.startswith(b"HTTP/1.1 503 ") and b"HTTP/1.1" not in answer[8:], answer
        return self._received() - before

    async def stop(self):
        """Stops the node and the executors."""
        self.node.stop()
        await self.serving
        for executor in self.executors:
            executor.server.close()

    def _received(self):
        return sum(executor.received.qsize() for executor in self.executors)


def test_sighup_adds_changes_and_removes_the_budget(tmp_path):
    """A running node that kept its old settings would continue to send retries that are no longer allowed.

    The new budget applies from the reload on and includes earlier retries.
    """
    one_retry = {"extraFloor": 1, "resendRatio": 0, "lookBackMs": 9000}
    reloads = (
        ({}, 5),  # no budget: as many attempts as the settings allow
        (one_retry, 1),  # already spent
        ({**one_retry, "extraFloor": 5}, 2),  # one retry is left
        ({"extraFloor": 9}, 1),  # an incomplete budget is refused, and the five retries are spent
        ({}, 5),
    )

    async def reload_repeatedly():
        reloaded = ReloadedNode(tmp_path)
        await reloaded.start()
        attempts = []
        for number, (rules, _) in enumerate(reloads):
            attempts.append(await reloaded.attempts_after_reload(rules, f"r-{number}"))
        await reloaded.stop()
        return attempts

    logger.remove()
    assert asyncio.run(reload_repeatedly()) == [attempts for _, attempts in reloads]
