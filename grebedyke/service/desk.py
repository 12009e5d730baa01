"""The books on what a node has taken: what the wire tells becomes inputs, decisions become messages."""

from functools import partial

from loguru import logger

from grebedyke.model import actions
from grebedyke.model.endpoint_list import EndpointRow
from grebedyke.model.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClientLeft,
    EndpointListUnavailable,
    EndpointsChanged,
    PeerMessageReceived,
    ProbeAnswered,
    RequestArrived,
)
from grebedyke.model.in_flight import Flight, Owed
from grebedyke.model.outcome import Outcome
from grebedyke.service import log
from grebedyke.units import TICKS_PER_SECOND
from grebedyke.wire import peer_codec
from grebedyke.wire.endpoint_rows import HEALTHY
from grebedyke.wire.executor_connection import CallResult
from grebedyke.wire.executor_pool import EndpointAddress
from grebedyke.wire.load_reports import report_from_json, report_from_text
from grebedyke.wire.request_headers import JobState

# What the state in a call-back means; one that is not here is news of a job under way.
ENDS = {
    JobState.SUCCEEDED: Outcome.SUCCEEDED,
    JobState.FAILED: Outcome.FAILED,
    JobState.REJECTED: Outcome.REJECTED,
    JobState.LOST: Outcome.CONNECTION_RESET,
}


class Desk:
    """`margin`: how much earlier than the client's own reckoning an answer is due here."""

    def __init__(
        self, dispatcher, turn, pool, gauges, most_forwards, most_open, probe_path, probe_wait, margin, tick
    ):
        self.dispatcher, self.turn, self.pool, self.gauges = dispatcher, turn, pool, gauges
        self.tune(most_forwards, most_open, probe_path, probe_wait, margin, tick)
        self.owed, self.latest, self.watch, self.peers, self.shift = {}, None, None, None, 0
        self.tell_other = None  # where two processes are one node: tells the other one
        self.also_listed = None  # told of each list too
        self.carriers = {
            actions.Forward: self.forward,
            actions.Cancel: self.cancel,
            actions.Throttle: self.throttle,
            actions.Fail: self.error,
            actions.Probe: self.probe,
            actions.WakeAt: self.wake,
            actions.PollEndpointList: self.follow,
            actions.Note: self.note,
            actions.SendPeerMessage: self.tell,
        }

    def tune(self, most_forwards, most_open, probe_path, probe_wait, margin, tick):
        self.most_forwards, self.most_open, self.probe_path = most_forwards, most_open, probe_path
        self.probe_wait, self.margin, self.tick = probe_wait, margin, tick

    # What comes in.

    def take(self, client, incoming):
        """At once, not at the hand-over: the connection must not read its next message meanwhile."""
        id = incoming.request_id
        if id in self.owed:
            return client.respond(409, b"this X-Request-ID is under way")
        now = self.turn.clock()
        # At a stop's end there is no time for a forward: trying elsewhere is harmless, an error final.
        if len(self.owed) >= self.most_open or self.latest and now + 2 * self.tick >= self.latest:
            return client.respond(503)
        due = now + max(incoming.timeout - self.margin, 0)
        # The client timeout has run since the kernel had it, and a node may have stood still since; one that
        # stops has less time still. The module reckons with the client's own time from now: a shorter one
        # looks like a repeat whose slack is used up, and it would give all of them up.
        last = due - (unread := self.turn.unread(now))
        last = min(last, self.latest) if self.latest else last
        line = incoming.method, incoming.target, incoming.idempotency_key
        owed = client.open_request = self.owed[id] = Owed(id, client, line, incoming.body, last, now)
        self.gauges.count("taken")
        taken = (
            self.taken,
            owed,
            incoming.operation,
            incoming.tenant,
            due,
            incoming.size_hint,
            incoming.slots,
        )
        if unread or client.awaits_first_request:
            # It may have lain in the kernel, or not accepted yet, and its client's close right behind it.
            return self.turn.put_once_read(client, *taken)
        self.turn.put(*taken)

    def taken(self, now, owed, operation, tenant, due, hint, slots):
        # Whatever fails from here on, the invocation is answered in time.
        self.turn.at(max(owed.due - self.tick, now + 1), self.overslept, owed)
        if owed.client:
            event = RequestArrived(owed.id, operation, tenant, due, hint, slots)
            self.dispatcher.handle(now, event)

    def left(self, now, owed, client):
        if owed.client is client:
            owed.client = None
            self.gauges.count("left")
            self.dispatcher.handle(now, ClientLeft(owed.id))
            self.settle(now, owed)

    def news(self, now, update, ours=True):
        """The effect comes once: by invocation and executor, and never on a forward that has ended.

        `ours`: it came to this process; else another one of this node, on the same address, has passed it on.
        """
        state = update.state
        owed = self.owed.get(update.request_id.encode())
        if not owed and ours:
            self.tell_other(
                "news",
                id=update.request_id,
                name=update.executor,
                state=state,
                result=update.result.decode(),
                load=update.load,
            )
        flight = owed and next(
            (f for f in owed.flights if not f.done and f.endpoint.name == update.executor), None
        )
        if not flight:
            return
        if state == JobState.STARTED:
            if not flight.began:
                flight.began = True
                event = AttemptStarted(owed.id, flight.n, flight.call.needed_connect)
                self.dispatcher.handle(now, event)
        elif state not in ENDS:
            flight.began = True
            self.dispatcher.handle(now, AttemptProgressed(owed.id, flight.n))
        elif flight.again and state != JobState.SUCCEEDED:
            # It may be told of the earlier forward there: then this one is not known to be over.
            self.give_up(flight, Outcome.CONNECTION_RESET)
        else:
            free = report_from_json(update.load).plausible_free_slots()
            self.end(now, flight, ENDS[state], update.result, free)

    def came(self, flight, end):
        if not flight.done:
            self.turn.put(
                self.answered,
                flight,
                end.result,
                end.status,
                end.headers.get(b"x-not-processed") == b"1",
                end.headers.get(b"x-server-load", b"").decode("latin-1"),
            )

    def answered(self, now, flight, how, status, unrun, load=""):
        if flight.done:
            return
        # An executor that never took it has no call-backs to make of it.
        flight.untold = how is CallResult.UNSENT or how is not CallResult.BROKEN and status != 202
        if how is CallResult.UNSENT:
            self.end(now, flight, Outcome.CONNECT_FAILED)
        elif how is CallResult.BROKEN:
            self.end(now, flight, Outcome.CONNECTION_RESET)
        elif status == 202:
            flight.accepted = True
        else:
            outcome = Outcome.REJECTED if unrun and status in (503, 504) else Outcome.FAILED
            self.end(now, flight, outcome, free=report_from_text(load).plausible_free_slots())

    def listed(self, now, whole, rows):
        self.pool.update_endpoints(
            whole, [EndpointAddress(row.name, row.address, row.state, row.since_ms) for row in rows]
        )
        changed = [
            EndpointRow(name, zone, kind, cell, state, since and since * 10 + self.shift, weight)
            for name, _, zone, kind, cell, state, since, weight in rows
        ]
        self.dispatcher.handle(now, EndpointsChanged(whole, changed))
        if self.also_listed:
            self.also_listed(now, whole, rows)

    def unlisted(self, now):
        self.dispatcher.handle(now, EndpointListUnavailable())

    def books(self):
        """For a process that goes on with this one's work: the executors with their addresses."""
        decides = self.dispatcher
        return {
            "executors": decides.endpoints.record(),
            "budget": decides.retry_budget.export_state(),
            "places": [
                (e.name, e.address, e.since_ms)
                for e in self.pool.endpoints.values()
                if e.is_listed and e.address
            ],
        }

    def recall(self, now, books):
        self.pool.update_endpoints(
            True,
            [EndpointAddress(name, tuple(place), HEALTHY, since) for name, place, since in books["places"]],
        )
        self.dispatcher.endpoints.restore(now, books["executors"])
        # A process of before this had no such books: what it has sent is unknown.
        self.dispatcher.retry_budget.import_state(now, *books.get("budget") or ((), (), 0, 0))
        self.dispatcher.handle(now, EndpointsChanged(False, []))

    def by_hand(self, now, name, out):
        if out:
            # What still connects would reach an executor of which the operators were told that it is out.
            for flight in [f for owed in self.owed.values() for f in owed.flights if f.endpoint.name == name]:
                self.take_back(now, flight)
        return self.dispatcher.set_banned(now, name, out)

    def heard(self, now, by, body):
        message = peer_codec.decode(body)
        if message:
            self.dispatcher.handle(now, PeerMessageReceived(by, message))

    # Ends of forwards and invocations.

    def end(self, now, flight, outcome, result=b"", free=None):
        owed = flight.owed
        flight.end()
        if flight.call and not flight.call.ended:
            # A call-back may come before its 202; an answer that never ends would keep its line for good.
            last = max(now + 1, flight.call.started_at + self.probe_wait)
            self.turn.at(last, lambda now: flight.call.abandon())
        if outcome != Outcome.SUCCEEDED:
            self.gauges.count(log.ENDS[outcome])
        if outcome == Outcome.SUCCEEDED and owed.client:
            self.reply(now, owed, 200, "succeeded", result)
        event = AttemptEnded(owed.id, flight.n, outcome, owed.client is None, free)
        self.dispatcher.handle(now, event)
        self.settle(now, owed)

    def reply(self, now, owed, status, outcome, body=b"", headers=""):
        client, owed.client = owed.client, None
        client.respond(status, body, headers)
        client.request_answered()
        self.gauges.count(outcome)
        self.gauges.wait(now - owed.came)

    def take_back(self, now, flight):
        """What has not left this machine, its connection still coming up or its bytes still here."""
        if flight.call and not (flight.done or flight.call.ended or flight.call.is_sent()):
            flight.call.abandon()
            self.end(now, flight, Outcome.NEVER_SENT)

    def settle(self, now, owed):
        if owed.client is None:
            owed.body = None
            # Nobody waits for it any more: a forward that waited for its connection went out all the same.
            for flight in owed.flights:
                self.take_back(now, flight)
            if not owed.open:
                self.owed.pop(owed.id, None)

    def give_up(self, flight, outcome):
        """Tells the executor; before its 202 the connection's end says it.

        The module hears of it once the executor has: the next forward could else be there before this one's
        end, as a second copy. An end that comes meanwhile counts.
        """

        def heard(end=None):
            if end and end.result is CallResult.UNSENT and flight.accepted and not flight.done:
                # It runs there, and nobody has given it up yet: for want of a line, or no connection.
                self.turn.after(
                    self.probe_wait // 2, lambda now: flight.done or self.give_up(flight, outcome)
                )
            else:
                self.turn.put(self.given_up, flight, outcome)

        def silent(now):
            if not call.ended:
                call.abandon()
                heard()

        if flight.accepted or flight.call.ended:
            call = flight.endpoint.call(b"DELETE", b"/jobs/" + flight.owed.id, (), b"", heard)
            self.turn.after(self.probe_wait, silent)
        else:
            flight.call.abandon()
            heard()

    def given_up(self, now, flight, outcome):
        if not flight.done:
            self.end(now, flight, outcome)

    def overdue(self, now, flight):
        """The forward's time is over: what never left this machine provably never ran."""
        if not flight.done and flight.call:
            if flight.owed.client and now >= flight.owed.due - 2 * self.tick:
                # A stop or a stall has cut its time: the module, which reckons with the client's own, would
                # send it again at once, beside a forward that its executor does not know to be given up.
                return self.overslept(now, flight.owed)
            unsent = not (flight.accepted or flight.began or flight.call.ended or flight.call.is_sent())
            outcome = Outcome.CONNECT_FAILED if unsent else Outcome.TIMEOUT
            self.give_up(flight, outcome)
            self.end(now, flight, outcome)  # now: there is no time for another, and an answer is due

    def unheard(self, now, flight):
        """Neither 202 nor news: a connection may fall silent without an end, and all the forward's time
        with it.
        """
        if not (flight.done or flight.accepted or flight.began or flight.call.ended):
            outcome = Outcome.CONNECTION_RESET if flight.call.is_sent() else Outcome.CONNECT_FAILED
            # The 202 may be under way, or the line's end slower than the next forward: told by DELETE as
            # well.
            flight.call.abandon()
            self.give_up(flight, outcome)

    def overslept(self, now, owed):
        if owed.client:
            if self.gauges.few("odd"):
                logger.warning("invocation unanswered at its due time: errored", event="overslept")
            self.reply(now, owed, 500, "errored")
            self.dispatcher.handle(now, ClientLeft(owed.id))
            for flight in owed.flights:
                self.overdue(now, flight)
            self.settle(now, owed)

    # What the module decided.

    def do(self, now, action):
        self.carriers[type(action)](now, *action)

    def forward(self, now, id, name, allowed):
        owed, endpoint = self.owed[id], self.pool.endpoint(name)
        flight = Flight(owed, endpoint)
        # Its close may have been read in this very pass: that it has left is told with the next turn.
        gone = owed.client is None or owed.client.is_closed()
        if gone or flight.n >= self.most_forwards or allowed <= 0:
            self.turn.put(self.unmade, flight)
            return
        method, target, key = owed.line
        headers = [(b"X-Request-ID", id), (b"X-Timeout-Ms", b"%d" % max(allowed // 10, 1))]
        if key is not None:
            headers.append((b"Idempotency-Key", key))
        self.gauges.count("forwards")
        if flight.n:
            self.gauges.count("again")
        flight.call = endpoint.call(method, target, headers, owed.body, partial(self.came, flight))
        self.turn.at(min(now + allowed, owed.due - 2 * self.tick), self.overdue, flight)
        self.turn.at(now + self.probe_wait, self.unheard, flight)

    def unmade(self, now, flight):
        self.end(now, flight, Outcome.NEVER_SENT)

    def cancel(self, now, id, n):
        flight = self.owed[id].flights[n]
        if not flight.done:
            self.give_up(flight, Outcome.CANCELLED)

    def throttle(self, now, id, back):
        headers = f"Retry-After: {back / TICKS_PER_SECOND:g}\r\n" if back > 0 else ""
        self.final(now, id, 503, "throttled", headers)

    def error(self, now, id):
        self.final(now, id, 500, "errored")

    def final(self, now, id, status, outcome, headers=""):
        owed = self.owed.get(id)
        if owed and owed.client:
            self.reply(now, owed, status, outcome, headers=headers)
            self.settle(now, owed)

    def probe(self, now, name):
        endpoint, sent = self.pool.endpoint(name), [False]

        def once(now, outcome, text=""):
            if not sent[0]:
                sent[0] = True
                event = ProbeAnswered(name, outcome, *report_from_text(text))
                self.dispatcher.handle(now, event)

        def came(end):
            text = (end.body or end.headers.get(b"x-server-load", b"")).decode("latin-1")
            outcome = (
                Outcome.CONNECT_FAILED
                if end.result is CallResult.UNSENT
                else Outcome.CONNECTION_RESET
                if end.result is CallResult.BROKEN
                else Outcome.SUCCEEDED
                if end.status == 200
                else Outcome.REJECTED
                if end.status == 503
                else Outcome.FAILED
            )
            self.turn.put(once, outcome, text)

        def silent(now):
            call.abandon()
            once(now, Outcome.TIMEOUT)

        self.gauges.count("probes")
        call = endpoint.call(b"GET", self.probe_path, (), b"", came)
        self.turn.at(now + self.probe_wait, silent)

    def tell(self, now, to, message):
        self.peers.send(to, peer_codec.encode(message))

    def wake(self, now, at):
        self.turn.at(at, lambda now: None)

    def follow(self, now):
        self.watch.poll(now)

    def note(self, now, text):
        logger.info("{text}", event="cutoffs", text=text)
