"""Discovery on a socket: the list, watches on it, and being late, silent or behind."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

from grebedyke.standin import talk

# A watch that has what it knows answers after this long at the latest, whatever its wait says.
LONGEST = 60.0


class Discovery(talk.Server):
    """`delay`: seconds until a change is told; `told`: when each change of an executor's state was
    written out.

    `down`: says nothing; `stale`: gives the list as it was at that version.
    """

    def __init__(self, delay=0.0):
        super().__init__()
        self.delay, self.down, self.stale = delay, False, None
        self.version, self.rows, self.history, self.told = 1, {}, [], []
        self.changed = asyncio.Condition()

    def row(self, name, address, zone="a", type="std", group=0, status="Ready", weight=1.0, since_ms=0):
        return {
            "name": name,
            "address": "%s:%d" % tuple(address),
            "zone": zone,
            "type": type,
            "group": group,
            "status": status,
            "weight": weight,
            "since_ms": since_ms,
        }

    def put(self, row):
        """Before anyone has asked: no change to be told."""
        self.rows[row["name"]] = row

    async def change(self, name, **what):
        """A new version with one executor's entry; `Gone` takes it off the list."""
        if self.delay:
            await asyncio.sleep(self.delay)
        async with self.changed:
            row = {**self.rows.get(name, {"name": name}), **what}
            if row["status"] == "Gone":
                self.rows.pop(name, None)
            else:
                self.rows[name] = row
            self.version += 1
            self.history.append((self.version, row))
            self.changed.notify_all()

    def listing(self):
        return {"index": self.version, "snapshot": True, "endpoints": list(self.rows.values())}

    async def serve(self, reader, writer):
        while asked := await talk.read(reader):
            (method, target, *_), _, _ = asked
            parts = urlsplit(target)
            if self.down:
                return await asyncio.sleep(LONGEST)
            if method != "GET" or parts.path != "/discovery/hosts":
                writer.write(talk.message("HTTP/1.1 404 Not Found"))
            else:
                listing = await self.after(parse_qs(parts.query))
                if self.down:
                    return await asyncio.sleep(LONGEST)
                now = asyncio.get_running_loop().time()
                self.told += [
                    (now, row["name"], row["status"])
                    for row in listing["endpoints"]
                    if row["status"] != "Ready"
                ]
                writer.write(talk.message("HTTP/1.1 200 OK", json.dumps(listing).encode()))
            await writer.drain()

    async def after(self, query):
        try:
            known, wait = int(query["after"][0]), min(float(query.get("wait_ms", ["0"])[0]) / 1000, LONGEST)
        except (KeyError, ValueError):
            return self.stale or self.listing()
        if known > self.version:
            return self.listing()  # a version of another life
        async with self.changed:
            try:
                async with asyncio.timeout(wait):
                    await self.changed.wait_for(lambda: self.version > known)
            except TimeoutError:
                pass
            rows = {row["name"]: row for version, row in self.history if version > known}
            return {"index": self.version, "snapshot": False, "endpoints": list(rows.values())}
