"""Gossip between the dispatchers of nodes: converts peer messages to and from datagrams."""

from grebedyke.model.events import PeerMessageReceived
from grebedyke.wire import peer_codec


class PeerMessenger:
    """Sends and receives peer messages.

    Attributes:
        dispatcher: Receives the messages of peers.
        socket: The `PeerSocket`; set once it exists.
    """

    def __init__(self, dispatcher):
        self.dispatcher = dispatcher
        self.socket = None

    def send(self, now, node, message):
        """Sends one of `grebedyke.model.peer_messages` to a node."""
        self.socket.send(node, peer_codec.encode(message))

    def on_datagram(self, now, node, data):
        """Handles a datagram of a node; a malformed one is ignored."""
        message = peer_codec.decode(data)
        if message:
            self.dispatcher.handle(now, PeerMessageReceived(node, message))
