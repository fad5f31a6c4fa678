"""A stand-in for the platform's store: keys, prefixes, watches, and its failures.

It speaks the calls that ``balsamdeal.platform.store`` makes, on one loop with tests.
"""

import asyncio
import base64
import json

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders

from balsamdeal.net.forwarding import respond


class Store:
    """Keys with revisions; ``fault`` decides what happens to a call.

    ``fault`` is None, a status, ``"reset"`` or ``"silent"``. ``calls`` counts them.
    """

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 10
        self.lost_before = 0
        self.fault = None
        self.calls = 0
        self.address = None
        self._waiting = []
        self._server = None

    def listen(self, host="127.0.0.1", port=0):
        """Open the server."""
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
        self._note(item)

    def delete(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def _note(self, event):
        self.events.append(event)
        waiting, self._waiting = self._waiting, []
        for future in waiting:
            if not future.done():
                future.set_result(None)

    def lose_history(self):
        """Forget all events; watches from before get 410."""
        self.events.clear()
        self.lost_before = self.revision
        self._note({"key": "", "revision": self.revision, "deleted": True})
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
        if after < self.lost_before:
            self._send(request, 410, {})
            return
        deadline_s = asyncio.get_running_loop().time()
        deadline_s += int(arguments["wait-ms"]) / 1000
        while True:
            found = [
                event
                for event in self.events
                if event["revision"] > after
                and event["key"].startswith(arguments["path-prefix"])
            ]
            left_s = deadline_s - asyncio.get_running_loop().time()
            if found or left_s <= 0 or after < self.lost_before:
                break
            future = asyncio.get_running_loop().create_future()
            self._waiting.append(future)
            await asyncio.wait({future}, timeout=left_s)
        if after < self.lost_before:
            self._send(request, 410, {})
            return
        self._send(request, 200, {"events": found, "current-rev": self.revision})

    @staticmethod
    def _send(request, status, body):
        headers = HTTPHeaders({"Content-Type": "application/json"})
        respond(request, status, headers, json.dumps(body).encode())
