"""The operators' calls on the second address: HTTP/1.1, one call to a connection.

A call is told to the rest of the node as an input like any other, and answered in the turn that hands it
over.
"""

from urllib.parse import unquote_to_bytes

from loguru import logger

from grebedyke.errors import HttpProtocolError
from grebedyke.units import TICKS_PER_SECOND
from grebedyke.wire.connection import Connection
from grebedyke.wire.http_messages import decode_text, response_head

READY, EXECUTORS = b"/v1/readyz", b"/v1/executors/"
BY_HAND = {b"suspend": True, b"resume": False}
# Who has not said a whole call so long after connecting gets no more time, nor who never takes its answer.
PATIENCE = 5 * TICKS_PER_SECOND


class Caller(Connection):
    """One connection; it ends with the answer to its first call."""

    def __init__(self, console):
        super().__init__(console.turn.touch, max_body_bytes=console.largest)
        self.console, self.called = console, False

    def connection_made(self, transport):
        super().connection_made(transport)
        self.console.opened(self)

    def connection_lost(self, exc):
        self.console.callers.pop(self, None)

    def eof_received(self):
        return self.called  # some end their side after the call, and still wait for what it says

    def process_input(self):
        if self.called:
            return self.ring.skip(self.ring.used)
        try:
            message = self.parser.next_message()
        except HttpProtocolError as problem:
            self.called = self.half_closes = True
            self.ring.skip(self.ring.used)
            return self.answer(problem.status, str(problem))
        if message:
            self.called = True
            self.console.call(self, *message)

    def answer(self, status, text, headers=""):
        body = text.encode() + b"\n"
        self.send(response_head(status, len(body), False, headers), body, close=True)


class Console:
    """`ready()` tells whether the node serves; `by_hand(now, name, out)` whether it knows that executor.

    `others(caller, method, path, body)`: takes further calls; False: it is none of them.
    """

    def __init__(self, turn, ready, by_hand, most, others=None, largest=4_096):
        self.turn, self.ready, self.by_hand, self.most = turn, ready, by_hand, most
        self.callers, self.server, self.others, self.largest = {}, None, others, largest

    async def listen(self, loop, host, port):
        self.server = await loop.create_server(lambda: Caller(self), host, port, backlog=256)

    def opened(self, caller):
        self.callers[caller] = None
        if len(self.callers) > self.most:
            # Those who say nothing must not keep the next one from its answer.
            next(iter(self.callers)).abort()
        self.turn.after(PATIENCE, self.silent, caller)

    def silent(self, now, caller):
        if caller in self.callers:
            caller.abort()

    def call(self, caller, method, target, headers, body):
        path = target.partition(b"?")[0]
        name, _, word = path.removeprefix(EXECUTORS).rpartition(b"/")
        hand = path.startswith(EXECUTORS) and name and word in BY_HAND
        if not hand and path != READY:
            if not (self.others and self.others(caller, method, path, body)):
                caller.answer(404, "no such call")
            return
        allowed = "POST" if hand else "GET"
        if method != allowed.encode():
            caller.answer(405, f"this call is a {allowed}", f"Allow: {allowed}\r\n")
        elif hand:
            self.turn.put(self.rule, caller, decode_text(unquote_to_bytes(name)), BY_HAND[word])
        else:
            caller.answer(*(200, "ready") if self.ready() else (503, "not ready"))

    def rule(self, now, caller, name, out):
        known = self.by_hand(now, name, out)
        if known:
            logger.info(
                "executor {executor} by hand: {state}",
                event="by-hand",
                executor=name,
                state="out" if out else "in use again",
            )
        caller.answer(*(200, "out" if out else "in use") if known else (404, "no such executor"))

    def close(self):
        if self.server:
            self.server.close()
        for caller in list(self.callers):
            caller.close()
