"""An emulator of discovery: serves the endpoint list and watches; can be late, silent or outdated."""

import asyncio
import json
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from grebedyke.emulators import http_messages

MAX_WATCH_TIME = 60.0
"""Seconds. Upper limit of the time that a watch waits for a change, regardless of its `wait_ms`."""

MILLISECONDS_PER_SECOND = 1000


class StatusNotice(NamedTuple):
    """Records that an answer contained an endpoint that is not ready.

    Attributes:
        time: The time of the answer, in seconds of the event loop's clock.
        name: The executor's name.
        status: The endpoint's status: "Terminating" or "Gone".
    """

    time: float
    name: str
    status: str


class DiscoveryEmulator(http_messages.LoopbackServer):
    """Serves an endpoint list.

    Attributes:
        delay: Seconds until a change becomes visible.
        is_silent: Whether requests are accepted but not answered.
        stale_listing: An outdated list to answer with instead of the current one, or None.
        version: The version of the list, initially 1.
        endpoints: The rows of the list, by executor name.
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
        """Adds a ready executor to the initial list, without a new version."""
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
        """Changes fields of an executor's row in a new version; the status "Gone" removes the row."""
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
        """Returns the complete list as a response body."""
        return {"index": self.version, "snapshot": True, "endpoints": list(self.endpoints.values())}

    async def serve(self, reader, writer):
        """Answers the requests on a connection."""
        while request := await http_messages.read_message(reader):
            method, target = request.start_line[:2]
            url = urlsplit(target)
            if self.is_silent:
                return await asyncio.sleep(MAX_WATCH_TIME)
            if method != "GET" or url.path != "/discovery/hosts":
                writer.write(http_messages.format_message("HTTP/1.1 404 Not Found"))
            else:
                listing = await self._listing_for(parse_qs(url.query))
                if self.is_silent:
                    return await asyncio.sleep(MAX_WATCH_TIME)
                self._record_notices(listing)
                writer.write(http_messages.format_message("HTTP/1.1 200 OK", json.dumps(listing).encode()))
            await writer.drain()

    def _record_notices(self, listing):
        now = asyncio.get_running_loop().time()
        for row in listing["endpoints"]:
            if row["status"] != "Ready":
                self.notices.append(StatusNotice(now, row["name"], row["status"]))

    async def _listing_for(self, query):
        """Returns the complete list, or the changes since the version in the query, waiting for a change."""
        try:
            known_version = int(query["after"][0])
            wait = float(query.get("wait_ms", ["0"])[0]) / MILLISECONDS_PER_SECOND
        except (KeyError, ValueError):
            return self.stale_listing or self.listing()
        if known_version > self.version:
            return self.listing()  # The version is from another process of discovery.
        async with self._changed:
            try:
                async with asyncio.timeout(min(wait, MAX_WATCH_TIME)):
                    await self._changed.wait_for(lambda: self.version > known_version)
            except TimeoutError:
                pass  # No change; the answer has no rows.
            rows = {row["name"]: row for version, row in self.history if version > known_version}
            return {"index": self.version, "snapshot": False, "endpoints": list(rows.values())}
