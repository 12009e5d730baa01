"""The graceful shutdown: no new clients, and an answer for each request that is open."""

from loguru import logger

from grebedyke.units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND

# Ticks after the signal in which new connections still come.
LINGER_TIME = 600 * TICKS_PER_MILLISECOND
# A node is killed no sooner than this or the longest client timeout, and a grace, after the signal; what is
# open is answered before.
LONGEST_SHUTDOWN = 3 * TICKS_PER_SECOND
SHUTDOWN_GRACE = 350 * TICKS_PER_MILLISECOND
# Until so many ticks before the end clients are served on the connections that they have: a node's clients
# may have no other, and no successor starts before the kill.
CLOSING_TIME = 400 * TICKS_PER_MILLISECOND
CHECK_INTERVAL = 20 * TICKS_PER_MILLISECOND
TRANSFER_INTERVAL = 5 * TICKS_PER_MILLISECOND


class GracefulShutdown:
    """Ends a node once all that is open is answered, or handed to the process that has taken over.

    Attributes:
        node: The `Node`.
        loop: The event loop.
        batch: The node's `BatchLoop`.
        requests: The `RequestTable`.
        listener: The `ClientListener`.
        process_messages: The `ProcessMessages`.
        hot_restart: The `HotRestart`.
        has_relistened: Whether the listener was opened again.
    """

    def __init__(self, node, parts):
        self.node = node
        self.loop = parts.loop
        self.batch = parts.batch
        self.requests = parts.host.requests
        self.listener = parts.listener
        self.process_messages = parts.process_messages
        self.hot_restart = parts.hot_restart
        self.has_relistened = False

    def begin(self, longest_timeout):
        """Begins; `longest_timeout`: the longest client timeout, after which nothing is open."""
        self.listener.stop()
        now = self.batch.clock()
        # Not before new connections cease, where all client timeouts are short.
        end = now + max(min(longest_timeout, LONGEST_SHUTDOWN) + SHUTDOWN_GRACE, LINGER_TIME)
        self.requests.shutdown_at = end
        last_moment = end - self.requests.settings.scheduling_interval
        for request in list(self.requests.pending.values()):
            self.batch.call_at(last_moment, self.requests.fail_unanswered, request)
        if self.hot_restart.successor_is_ready:
            self.batch.enqueue(self.hand_over, end)
        else:
            self.batch.call_later(LINGER_TIME, self.wind_down, end)

    def hand_over(self, now, end):
        """Gives the successor the queue of connections, then each of them once it is at rest."""
        if not self.hot_restart.successor_is_ready:
            self.wind_down(now, end)
            return
        self.listener.stop_accepting()
        self.listener.transfer = self.process_messages.hand_over
        for connection in self.listener.transferable():
            self.process_messages.hand_over(connection)
        is_busy = self.listener.connections.accepted or self.requests.has_waiting_clients()
        if now <= end and is_busy:
            self.batch.call_at(now + TRANSFER_INTERVAL, self.hand_over, end)
            return
        self.node.finish()

    def wind_down(self, now, end):
        """Waits for the last answer or the last client's close, in short steps."""
        if self.hot_restart.successor_is_ready:
            self.hand_over(now, end)
            return
        if not (self.listener.server or self.has_relistened):
            # Guards against requests that fail at the very end: the successor has died with the listener, and
            # what is open here still waits for call-backs.
            self.has_relistened = True
            self.loop.create_task(self._listen_again())
        if now >= end - CLOSING_TIME:
            self.listener.close_idle()
        is_busy = self.listener.connections.has_clients() or self.requests.has_waiting_clients()
        if now <= end and is_busy:
            self.batch.call_at(now + CHECK_INTERVAL, self.wind_down, end)
            return
        self.node.finish()

    async def _listen_again(self):
        try:
            await self.listener.listen(self.loop, *self.node.configuration["listen"])
        except OSError as problem:
            logger.error("cannot listen again: {why}", event="cannot-serve", why=str(problem))
