"""Stand-in for the platform's metadata store, as PROTOCOL.md and LETTER-5.md say.

It serves kv-key, kv-range and kv-watch. ``go_away`` closes it for a moment, and
``restore`` brings it back from a copy: revisions go back and are given out again, and
the header Store-Era rises by one.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

PAGE = 500


class Store:
    """Items by key, the events of the history, and copies of earlier states."""

    def __init__(self, host, port):
        self.host = host
        self.port = port
        self.items = {}
        self.events = []
        self.revision = 400
        self.era = 1
        self.copies = []
        self._server = None
        self._writers = set()
        self._changed = asyncio.Event()

    @property
    def address(self):
        """The address that the settings name."""
        return f"{self.host}:{self.port}"

    async def listen(self):
        """Accept connections."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    def go_away(self):
        """Close the listener and all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def keep_copy(self):
        """Keep a copy of the current state."""
        state = (time.monotonic(), dict(self.items), list(self.events), self.revision)
        self.copies.append(state)

    def restore(self, age_s):
        """Go back to the newest copy that is at least ``age_s`` old; return its age."""
        now_s = time.monotonic()
        old = [copy for copy in self.copies if now_s - copy[0] >= age_s]
        taken_s, items, events, self.revision = old[-1]
        self.items, self.events = dict(items), list(events)
        self.copies = [copy for copy in self.copies if copy[0] <= taken_s]
        self.era += 1
        return now_s - taken_s

    def put(self, key, content):
        """Write a value, bytes or an object that is sent as JSON; return its revision.

        Writing is the acknowledgement.
        """
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(content).decode(),
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        self._add_event(item)
        return self.revision

    def read(self, key):
        """Return the object that a value holds, or None without one."""
        if key not in self.items:
            return None
        return json.loads(base64.b64decode(self.items[key]["value"]))

    def delete(self, key):
        """Remove a key; return the revision."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_event({"key": key, "revision": self.revision, "deleted": True})
        return self.revision

    def _add_event(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
                parts = urlsplit(head.split(" ", 2)[1])
                query = {name: item[-1] for name, item in parse_qs(parts.query).items()}
                call = parts.path.rpartition("/")[2]
                status, body = await self._answer(call, query)
                await asyncio.sleep(0.004)
                content = json.dumps(body).encode()
                lines = [
                    f"HTTP/1.1 {status} Status",
                    "Content-Type: application/json",
                    f"Store-Era: {self.era}",
                    f"Content-Length: {len(content)}",
                ]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, call, query):
        if call == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"current-rev": self.revision}
            return 200, {**item, "current-rev": self.revision}
        if call == "kv-range":
            prefix, after = query["path-prefix"], query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {
                "items": [self.items[key] for key in keys[:PAGE]],
                "has-more": len(keys) > PAGE,
                "current-rev": self.revision,
            }
        if call == "kv-watch":
            return await self._watch(query)
        return 404, {}

    async def _watch(self, query):
        prefix, after = query["path-prefix"], int(query["after"])
        deadline_s = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            if after > self.revision:
                return 410, {}  # a revision that this store doesn't have
            found = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = deadline_s - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "current-rev": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass
