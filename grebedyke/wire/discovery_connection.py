"""A connection of the discovery client."""

from loguru import logger

from grebedyke.errors import HttpProtocolError
from grebedyke.wire.connection import Connection


class DiscoveryConnection(Connection):
    """A connection to discovery.

    Attributes:
        client: The `DiscoveryClient` that it belongs to.
    """

    def __init__(self, client):
        super().__init__(client.batch.touch, reads_responses=True, max_body_bytes=client.max_list_bytes)
        self.client = client

    def process_input(self):
        """Passes each response to the client; an invalid response closes the connection."""
        try:
            while response := self.parser.next_message():
                self.client.response_received(self, response)
        except (HttpProtocolError, ValueError, KeyError, TypeError, AttributeError) as problem:
            logger.warning("discovery: invalid response: {why}", event="list-fault", why=repr(problem))
            self.abort()

    def eof_received(self):
        """Called by asyncio on EOF from discovery, which may complete a response."""
        response = self.parser.end_of_stream()
        if response:
            self.client.response_received(self, response)
        return False

    def connection_lost(self, exc):
        """Called by asyncio when the connection is closed."""
        self.client.connection_lost(self)
