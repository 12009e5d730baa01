"""What the kernel knows of a TCP connection's peer, even behind bytes that were not read yet."""

import socket

# States of a TCP connection (Linux, `tcp_states.h`) whose peer has closed or reset it: CLOSE, CLOSE_WAIT,
# LAST_ACK and CLOSING. They are the first byte of the socket option TCP_INFO.
CLOSED_BY_PEER_STATES = frozenset((7, 8, 9, 11))


def is_closed_by_peer(sock):
    """Returns whether the peer has closed its side; False if the kernel does not say."""
    try:
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return False  # not a TCP socket
    return state in CLOSED_BY_PEER_STATES


def unread_bytes(sock, max_count):
    """Returns up to `max_count` bytes that the peer has sent, without removing them from the kernel's buffer.

    Returns:
        The bytes; empty if there are none, also after a reset.
    """
    try:
        return sock.recv(max_count, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        return b""
