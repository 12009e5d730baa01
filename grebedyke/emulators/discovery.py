"""An emulator of discovery: the endpoint list, watches on it, and being late, silent or behind."""

import asyncio
import json
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from grebedyke.emulators import http_messages

LONGEST_WAIT = 60.0
"""Seconds. A watch without news is answered by then, whatever it asks for."""

MILLISECONDS_PER_SECOND = 1000


class StatusNotice(NamedTuple):
    """An endpoint that is not ready was part of an answer.

    Attributes:
        time: When, in seconds of the event loop's clock.
        name: The executor's name.
        status: Its status: "Terminating" or "Gone".
    """

    time: float
    name: str
    status: str


class DiscoveryEmulator(http_messages.LoopbackServer):
    """Serves an endpoint list.

    Attributes:
        delay: Seconds from a change until it shows.
        is_silent: Accepts requests and does not answer.
        stale_listing: In place of the list, to answer with an old one; None: the current one.
        version: The list's, 1 at first.
        endpoints: The list's rows by the executor's name.
        history: (version, row) of each change.
        notices: A `StatusNotice` for each row sent that was not "Ready".
    """

    def __init__(self, delay=0.0):
        super().__init__()
        self.delay = delay
        self.is_silent = False
        self.stale_listing = None
        self.version = 1
        self.endpoints = {}
        self.history = []
        self.notices = []
        self._changed = asyncio.Condition()

    def add(self, name, address, zone="a", kind="std"):
        """Adds an executor that is ready, before anyone asks: it is no change of the list."""
        self.endpoints[name] = {
            "name": name,
            "address": "%s:%d" % tuple(address),
            "zone": zone,
            "type": kind,
            "group": 0,
            "status": "Ready",
            "weight": 1.0,
            "since_ms": 0,
        }

    async def change(self, name, **fields):
        """Changes fields of an executor's row, as a new version; the status "Gone" takes it off the list."""
        if self.delay:
            await asyncio.sleep(self.delay)
        async with self._changed:
            row = {**self.endpoints.get(name, {"name": name}), **fields}
            if row["status"] == "Gone":
                self.endpoints.pop(name, None)
            else:
                self.endpoints[name] = row
            self.version += 1
            self.history.append((self.version, row))
            self._changed.notify_all()

    def listing(self):
        """Returns the whole list, in the protocol's form."""
        return {"index": self.version, "snapshot": True, "endpoints": list(self.endpoints.values())}

    async def serve(self, reader, writer):
        """Answers the requests of a connection."""
        while request := await http_messages.read_message(reader):
            method, target = request.start_line[:2]
            url = urlsplit(target)
            if self.is_silent:
                return await asyncio.sleep(LONGEST_WAIT)
            if method != "GET" or url.path != "/discovery/hosts":
                writer.write(http_messages.format_message("HTTP/1.1 404 Not Found"))
            else:
                listing = await self._listing_for(parse_qs(url.query))
                if self.is_silent:
                    return await asyncio.sleep(LONGEST_WAIT)
                self._note(listing)
                writer.write(http_messages.format_message("HTTP/1.1 200 OK", json.dumps(listing).encode()))
            await writer.drain()

    def _note(self, listing):
        now = asyncio.get_running_loop().time()
        for row in listing["endpoints"]:
            if row["status"] != "Ready":
                self.notices.append(StatusNotice(now, row["name"], row["status"]))

    async def _listing_for(self, query):
        """Returns the whole list, or what changed after the version that the query names, once it has."""
        try:
            known_version = int(query["after"][0])
            wait = float(query.get("wait_ms", ["0"])[0]) / MILLISECONDS_PER_SECOND
        except (KeyError, ValueError):
            return self.stale_listing or self.listing()
        if known_version > self.version:
            return self.listing()  # The version is another incarnation's.
        async with self._changed:
            try:
                async with asyncio.timeout(min(wait, LONGEST_WAIT)):
                    await self._changed.wait_for(lambda: self.version > known_version)
            except TimeoutError:
                pass  # Nothing has changed; the answer has no rows.
            rows = {row["name"]: row for version, row in self.history if version > known_version}
            return {"index": self.version, "snapshot": False, "endpoints": list(rows.values())}
