"""Stand-in for the platform's store: keys, prefixes, watches, and failures.

It serves the calls that ``balsamdeal.platform.store`` makes, on the tests' event loop.
"""

import asyncio
import base64
import json

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders

from balsamdeal.net.forwarding import respond


class Store:
    """Keys with revisions; ``fault`` and ``delay_s`` apply to all calls.

    ``fault`` is None, a status to respond with, ``"reset"`` (connections are closed)
    or ``"silent"`` (calls get no response). ``calls`` counts the calls received.
    ``era`` counts the returns from an older copy; None for a store that does not tell.
    """

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 10
        self.compacted_at = 0
        self.era = 1
        self.fault = None
        self.delay_s = 0.0
        self.calls = 0
        self.address = None
        self._waiting = []
        self._server = None

    def listen(self, host="127.0.0.1", port=0):
        """Open the server, and set ``address``."""
        self._server = HTTPServer(self._handle)
        self._server.listen(port, host)
        sockets = list(self._server._sockets.values())
        self.address = f"{host}:{sockets[0].getsockname()[1]}"

    def stop(self):
        """Close the server and its connections."""
        self._server.stop()
        asyncio.ensure_future(self._server.close_all_connections())

    def put(self, key, content):
        """Write a value: bytes as they are, anything else as JSON."""
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
        self._record_event(item)

    def delete(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record_event({"key": key, "revision": self.revision, "deleted": True})

    def _record_event(self, event):
        self.events.append(event)
        waiting, self._waiting = self._waiting, []
        for future in waiting:
            if not future.done():
                future.set_result(None)

    def copy(self):
        """Return a copy of the present state, for ``restore``."""
        return dict(self.items), list(self.events), self.revision

    def restore(self, copy):
        """Come back from an older copy: revisions are given out again.

        Connections are kept, and so are watches that wait.
        """
        items, events, self.revision = copy
        self.items, self.events = dict(items), list(events)
        self.era += 1

    def compact(self):
        """Drop all events; watches from an older revision get status 410."""
        self.events.clear()
        self.compacted_at = self.revision
        self._record_event({"key": "", "revision": self.revision, "deleted": True})
        self.events.clear()

    def _handle(self, request):
        asyncio.ensure_future(self._serve(request))

    async def _serve(self, request):
        self.calls += 1
        if self.fault == "silent":
            return
        if self.fault == "reset":
            request.connection.close()
            return
        if self.fault is not None:
            self._send(request, self.fault, {})
            return
        arguments = {
            name: values[-1].decode() for name, values in request.arguments.items()
        }
        call = request.path.rpartition("/")[2]
        if call == "kv-key":
            item = self.items.get(arguments["key"])
            if item is None:
                self._send(request, 404, {})
            else:
                self._send(request, 200, {**item, "current-rev": self.revision})
        elif call == "kv-range":
            self._list(request, arguments)
        elif call == "kv-watch":
            await self._watch(request, arguments)
        else:
            self._send(request, 404, {})

    def _list(self, request, arguments, page=3):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(arguments["path-prefix"])
            and key > arguments.get("after", "")
        )
        body = {
            "items": [self.items[key] for key in keys[:page]],
            "has-more": len(keys) > page,
            "current-rev": self.revision,
        }
        self._send(request, 200, body)

    async def _watch(self, request, arguments):
        after = int(arguments["after"])
        if not self.compacted_at <= after <= self.revision:
            self._send(request, 410, {})
            return
        deadline_s = asyncio.get_running_loop().time()
        deadline_s += int(arguments["wait-ms"]) / 1000
        while True:
            matching = [
                event
                for event in self.events
                if event["revision"] > after
                and event["key"].startswith(arguments["path-prefix"])
            ]
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if matching or remaining_s <= 0 or after < self.compacted_at:
                break
            future = asyncio.get_running_loop().create_future()
            self._waiting.append(future)
            await asyncio.wait({future}, timeout=remaining_s)
        if after < self.compacted_at:
            self._send(request, 410, {})
            return
        self._send(request, 200, {"events": matching, "current-rev": self.revision})

    def _send(self, request, status, body):
        headers = HTTPHeaders({"Content-Type": "application/json"})
        if self.era is not None:
            headers["Store-Era"] = str(self.era)
        body = json.dumps(body).encode()
        asyncio.get_running_loop().call_later(
            self.delay_s, respond, request, status, headers, body
        )
