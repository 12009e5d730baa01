"""The budget for further forwards (rule 5), reckoned here by lists of times without the module's rings."""

import asyncio
import random

import orjson
import pytest
from helpers import dispatcher, pull, rows
from loguru import logger
from test_service import EFFECTS, ROW, TERMS, Executor, free_port, one_answer, told

from grebedyke.model.outcome import Effect, Outcome
from grebedyke.policy.retry_budget import FOREVER, RetryBudget
from grebedyke.service import configuration, node
from grebedyke.service.assembly import assemble
from grebedyke.service.switch import switch

WINDOW = 50_000


def test_what_may_go_by_what_was_taken_and_sent():
    for free, share, taken, sent, now, left in (
        (2, 0.2, [], [], 0, 2),
        (2, 0.2, [0] * 10, [], 0, 4),
        (2, 0.2, [0] * 10, [0, 0, 0], 0, 1),
        (0, 0.1, [0] * 9, [], 0, 0.9),
        (0, 0, [0] * 99, [], 0, 0),
        (2, 0, [], [0, 0], WINDOW - 1, 0),
        # At the edge what was taken leaves before, what was sent after the window's end, by a bucket.
        (2, 0.2, [0] * 10, [], WINDOW, 2),
        (2, 0, [], [0, 0], WINDOW, 0),
        (2, 0, [], [0], 1.05 * WINDOW, 2),
        (1, 0.5, [30_000] * 4, [0, 30_000], 1.05 * WINDOW, 2),
    ):
        budget = RetryBudget(free, share, WINDOW)
        for at, ring in sorted(
            [(t, budget.requests) for t in taken] + [(t, budget.retries) for t in sent], key=lambda x: x[0]
        ):
            ring.add(at)
        assert budget.available(int(now)).left == pytest.approx(left), (free, share, taken, sent, now)


def test_no_further_forward_beyond_it_and_an_answer_at_once():
    for effect, word in (
        (Effect.IDEMPOTENT, "throttle"),
        (Effect.KEYED, "error"),
        (Effect.NON_IDEMPOTENT, "throttle"),
    ):
        # A deduplicated one that may have run is not throttled where its group is a zone.
        outcome = Outcome.REJECTED if effect == Effect.NON_IDEMPOTENT else Outcome.TIMEOUT
        d = dispatcher(effect, budget=(1, 0, WINDOW), back=20_000)
        d.listed(10, True, rows(1, 2, 3, 4))
        for now, id, wanted in ((20, 1, "forward"), (900, 2, word)):
            d.taken(now, id, "op", None, now + 50_000, 1_000, 1)
            assert [x[0] for x in pull(d, now)] == ["forward"]
            d.ended(now + 10, id, 0, outcome, False)
            assert [x[0] for x in pull(d, now + 10)] == [wanted]


def check(taken, sent, free, share, now):
    """By the rule's words; the sending under way is in `sent` already."""
    made = sum(now - WINDOW <= t <= now for t in sent)
    assert made <= free + share * sum(now - WINDOW < t <= now for t in taken), (now, made, sent, taken)


class Play:
    """A node under chance: takings, ends of forwards, new settings, successors; judged at each send."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.terms = self.random.choice(
            ((2, 0.2, WINDOW), (0, 0.1, WINDOW), (5, 0, WINDOW), (1, 1.5, WINDOW))
        )
        self.d = dispatcher(
            self.random.choice((Effect.IDEMPOTENT, Effect.NON_IDEMPOTENT)),
            budget=self.terms,
            seed=seed,
            cancels=seed % 2 == 0,
        )
        self.now, self.out, self.taken, self.sent, self.count = 10, [], [], [], 0
        self.d.listed(10, True, rows(*range(6)))

    def pull(self):
        for kind, *rest in pull(self.d, self.now):
            if kind == "forward":
                n = len(self.d.requests[rest[0]].attempts) - 1
                self.out.append((rest[0], n))
                if n:
                    self.sent.append(self.now)
                    if self.terms[2]:
                        check(self.taken, self.sent, *self.terms[:2], self.now)

    def step(self):
        draw = self.random.random()
        self.now += self.random.choice((0, 1, 50, 400, 3_000) if draw < 0.98 else (WINDOW - 1, WINDOW))
        if draw < 0.5:
            self.count += 1
            self.taken.append(self.now)
            self.d.taken(self.now, self.count, "op", None, self.now + 50_000, self.random.choice((0, 900)), 1)
        elif draw < 0.95 and self.out:
            id, n = self.out.pop(self.random.randrange(len(self.out)))
            self.d.ended(
                self.now,
                id,
                n,
                self.random.choice(
                    (
                        Outcome.SUCCEEDED,
                        Outcome.REJECTED,
                        Outcome.REJECTED,
                        Outcome.REJECTED,
                        Outcome.FAILED,
                        Outcome.CONNECTION_RESET,
                    )
                ),
                False,
            )
        elif draw < 0.97:
            # New terms, shorter, longer, none or again some: what went before is in the window.
            self.terms = self.random.choice(((1, 0.1, WINDOW), (3, 0.3, WINDOW), (0, 0, 0)))
            switch(self.now, self.d, dispatcher(budget=self.terms))
        elif draw < 0.98:
            # A new process: what is out ends at the old one, which sends nothing more.
            books, old = orjson.loads(orjson.dumps(self.d.retry_budget.export_state())), self.d
            for id, n in self.out:
                old.ended(self.now, id, n, Outcome.REJECTED, False)
            sent = {id for _, id, *_ in pull(old, self.now, "forward")}
            assert not self.terms[2] or not any(len(old.requests[id].attempts) > 1 for id in sent)
            self.d, self.out = dispatcher(budget=self.terms), []
            self.d.listed(self.now, True, rows(*range(6)))
            self.d.retry_budget.import_state(self.now, *books)
        self.pull()


def test_no_sequence_of_inputs_goes_beyond_it():
    further = 0
    for seed in range(2_000):
        play = Play(seed)
        for _ in range(60):
            play.step()
        further += len(play.sent)
    assert further > 5_000  # else nothing was tried


def test_a_process_that_has_given_its_budget_away_or_lost_its_heir_waits_a_window():
    old, new = RetryBudget(3, 0, WINDOW), RetryBudget(3, 0, WINDOW)
    old.retries.add(100)
    new.import_state(200, *old.export_state())
    assert old.available(300).left == 0 and new.available(300).left == 2
    new.on_other_process_gone(300)  # its old process has ended
    assert new.available(300).left == 2
    old.on_other_process_gone(400)  # the heir has died, and may have sent as many
    assert old.available(WINDOW).left == 0 and old.available(400 + WINDOW * 21 // 20).left == 3
    # A predecessor that says nothing of its budget, and rings too short for a longer window.
    for books in (((), (), 0, 0), (*old.export_state()[:3], FOREVER)):
        late = RetryBudget(3, 0, WINDOW)
        late.import_state(400, *books)
        assert late.available(WINDOW).left == 0


def test_its_terms_are_refused_by_their_key():
    def terms(**rules):
        return {**TERMS, "rules": {**TERMS["rules"], **rules}}

    whole = {"extraFloor": 2, "resendRatio": 0.2, "lookBackMs": 5000}
    assert configuration.terms(terms(**whole))["rules"]["lookBackMs"] == 5000
    cases = [
        ({**whole, key: value}, key, "out of its range")
        for key, value in (
            ("extraFloor", -1),
            ("resendRatio", -0.1),
            ("resendRatio", "17 %"),
            ("lookBackMs", 0),
            ("lookBackMs", True),
        )
    ]
    cases += [({k: v for k, v in whole.items() if k != key}, key, "is missing") for key in whole]
    cases += [
        ({key: whole[key]}, other, "is missing")
        for key, other in (
            ("extraFloor", "resendRatio"),
            ("resendRatio", "extraFloor"),
            ("lookBackMs", "extraFloor"),
        )
    ]
    for rules, key, word in cases:
        with pytest.raises(configuration.ConfigurationError) as problem:
            configuration.terms(terms(**rules), "settings.")
        assert f"settings.rules.{key} " in str(problem.value) and word in str(problem.value), rules


class Refusing(Executor):
    """A stand-in that turns every job away."""

    async def talk(self, reader, writer):
        while await reader.readline():
            while await reader.readline() not in (b"\r\n", b""):
                pass
            self.seen.put_nowait(1)
            writer.write(b"HTTP/1.1 503 no\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")


def test_sighup_adds_changes_and_drops_it_on_sockets(tmp_path):
    # Guards against terms that a running node keeps: the rule binds from the reload on, whatever went before.
    async def story():
        address, file = ("127.0.0.1", free_port()), tmp_path / "config.json"
        workers = [await Refusing().start() for _ in range(4)]
        known = {
            "index": 1,
            "endpoints": [{**ROW, "name": f"s-{i}", "address": w.address} for i, w in enumerate(workers)],
        }

        def write(**rules):
            settings = {**TERMS, "operations": EFFECTS, "rules": {**TERMS["rules"], **rules}}
            file.write_bytes(orjson.dumps(told(listen="%s:%d" % address, known=known, settings=settings)))

        def read():
            return configuration.read_node({"BALANCER_CONFIG": str(file)})

        write()
        work = assemble(asyncio.get_running_loop(), read(), read)
        serving = asyncio.create_task(work.serve())
        while work.phase != node.Phase.SERVING:
            await asyncio.sleep(0.01)
        made = []
        one = {"extraFloor": 1, "resendRatio": 0, "lookBackMs": 9000}
        for i, rules in enumerate(({}, one, {**one, "extraFloor": 5}, {"extraFloor": 9}, {})):
            write(**rules)
            work.reload()
            before = sum(w.seen.qsize() for w in workers)
            for e in work.desk.dispatcher.endpoints.healthy:
                e.rejected_until, e.ejected_until, e.credit = {}, 0, 2.0
            answer = await one_answer(address, "unsafe", f"r-{i}")
            assert answer.startswith(b"HTTP/1.1 503 ") and b"HTTP/1.1" not in answer[8:], answer
            made.append(sum(w.seen.qsize() for w in workers) - before)
        work.stop()
        await serving
        for worker in workers:
            worker.server.close()
        return made

    logger.remove()
    # No rule: as many as the settings allow. One a window: spent already. Five: one is left. Half a rule is
    # refused, and the five are spent.
    assert asyncio.run(story()) == [5, 1, 2, 1, 5]
