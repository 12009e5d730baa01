"""The graceful shutdown: stops accepting clients and answers all open requests."""

from loguru import logger

from grebedyke.units import TICKS_PER_MILLISECOND, TICKS_PER_SECOND

# Ticks after the signal in which new connections are still accepted.
ACCEPTING_TIME = 600 * TICKS_PER_MILLISECOND
# All open requests are answered within the shorter of this and the longest client timeout, plus the grace:
# the process is not killed before that.
MAX_SHUTDOWN_TIME = 3 * TICKS_PER_SECOND
SHUTDOWN_GRACE = 350 * TICKS_PER_MILLISECOND
# Idle connections are closed only in these last ticks before the end: clients may have no other node, and no
# successor starts before the process is killed.
IDLE_CLOSE_TIME = 400 * TICKS_PER_MILLISECOND
CHECK_INTERVAL = 20 * TICKS_PER_MILLISECOND
TRANSFER_INTERVAL = 5 * TICKS_PER_MILLISECOND


class GracefulShutdown:
    """Ends a node after all its requests are answered, or its connections are handed over to the successor.

    Attributes:
        node: The `Node`.
        loop: The event loop.
        batch: The node's `BatchLoop`.
        requests: The `RequestTable`.
        listener: The `ClientListener`.
        process_messages: The `ProcessMessages`.
        hot_restart: The `HotRestart`.
        has_reopened_listener: Whether the listener was reopened after the successor had died.
    """

    def __init__(self, node, parts):
        self.node = node
        self.loop = parts.loop
        self.batch = parts.batch
        self.requests = parts.host.requests
        self.listener = parts.listener
        self.process_messages = parts.process_messages
        self.hot_restart = parts.hot_restart
        self.has_reopened_listener = False

    def begin(self, longest_timeout):
        """Starts the shutdown; no request stays open longer than `longest_timeout`, in ticks."""
        self.listener.stop()
        now = self.batch.clock()
        # Even if all client timeouts are short, the end is not before new connections cease.
        end = now + max(min(longest_timeout, MAX_SHUTDOWN_TIME) + SHUTDOWN_GRACE, ACCEPTING_TIME)
        self.requests.shutdown_at = end
        latest_answer = end - self.requests.settings.scheduling_interval
        for request in list(self.requests.pending.values()):
            self.requests.fail_unanswered_at(latest_answer, request)
        if self.hot_restart.successor_is_ready:
            self.batch.enqueue(self.hand_over, end)
        else:
            self.batch.call_later(ACCEPTING_TIME, self.wait_for_clients, end)

    def hand_over(self, now, end):
        """Leaves the listening socket to the successor, then hands over each connection once it is idle."""
        if not self.hot_restart.successor_is_ready:
            self.wait_for_clients(now, end)
            return
        self.listener.acceptor.stop()
        self.listener.transfer = self.process_messages.hand_over
        for connection in self.listener.transferable():
            self.process_messages.hand_over(connection)
        is_busy = self.listener.connections.accepted or self.requests.has_waiting_clients()
        if now <= end and is_busy:
            self.batch.call_at(now + TRANSFER_INTERVAL, self.hand_over, end)
            return
        self.node.finish()

    def wait_for_clients(self, now, end):
        """Checks at short intervals whether all requests are answered and all clients have left."""
        if self.hot_restart.successor_is_ready:
            self.hand_over(now, end)
            return
        if not (self.listener.acceptor.server or self.has_reopened_listener):
            # The successor has died with the listener. Without a new one no call-back would arrive here, and
            # all open requests would fail at the end.
            self.has_reopened_listener = True
            self.loop.create_task(self._listen_again())
        if now >= end - IDLE_CLOSE_TIME:
            self.listener.close_idle()
        is_busy = self.listener.connections.has_clients() or self.requests.has_waiting_clients()
        if now <= end and is_busy:
            self.batch.call_at(now + CHECK_INTERVAL, self.wait_for_clients, end)
            return
        self.node.finish()

    async def _listen_again(self):
        try:
            await self.listener.listen(self.loop, *self.node.configuration["listen"])
        except OSError as problem:
            logger.error("cannot reopen the listener: {why}", event="cannot-serve", why=str(problem))
