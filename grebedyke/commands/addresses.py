"""Addresses as the commands take them."""

from grebedyke.emulators import http_messages


def named_addresses(texts):
    """Returns (host, port) by name, out of NAME=HOST:PORT.

    Raises:
        ValueError: An address is not host:port, or no loopback address.
    """
    parts = [text.partition("=") for text in texts]
    return {name: http_messages.parse_address(address) for name, _, address in parts}
