"""Parsing of the addresses in command line options."""

from grebedyke.emulators import http_messages


def parse_named_addresses(texts):
    """Parses addresses of the form NAME=HOST:PORT; returns (host, port) by name.

    Raises:
        ValueError: An address is not host:port, or its host is not a loopback address.
    """
    parts = [text.partition("=") for text in texts]
    return {name: http_messages.parse_address(address) for name, _, address in parts}
