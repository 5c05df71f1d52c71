"""The platform's store of PROTOCOL.md, for reading by the system's daemons."""

import asyncio
import base64
import json
import time
import urllib.parse

ANSWER_S = 0.004
HISTORY = 2_000


class Store:
    """Items with revisions. Hosts and the operator write by method calls.

    ``down`` is "" or the manner in which calls fail: ``busy`` (503) or
    ``silent``. ``refused`` has the machines that are refused with 503 while
    the others are served. A write returns false while the store is down.
    """

    def __init__(self, record):
        self.revision = 1
        self.items = {}
        self.events = []
        self.down = ""
        self.refused = set()
        self.calls = 0
        self._changed = asyncio.Event()
        self._servers = []
        self._record = record

    def put(self, key, value):
        """Write an item; a value that differs by ``seq`` alone changes none."""
        if self.down:
            return False
        old = self.items.get(key)
        if old is not None and isinstance(value, dict):
            was = json.loads(base64.b64decode(old["value"]))
            if {**was, "seq": 0} == {**value, "seq": 0}:
                return True
        self.revision += 1
        body = base64.b64encode(json.dumps(value).encode()).decode()
        item = {"key": key, "value": body, "revision": self.revision,
                "created": old["created"] if old else self.revision,
                "lease": 0}
        self.items[key] = item
        self._publish(item)
        return True

    def delete(self, key):
        """Remove an item."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._publish({"key": key, "revision": self.revision,
                       "tombstone": True})

    def _publish(self, event):
        self.events = [*self.events[-HISTORY:], event]
        self._wake()

    def _wake(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def set_down(self, manner):
        """Take the store down or up again; waiting watches are cut."""
        self.down = manner
        self._record.note("store", "up" if not manner else f"down ({manner})")
        self._wake()

    def refuse(self, names):
        """Refuse these machines from now on; their watches are cut."""
        self.refused = set(names)
        self._record.note("store", f"refuses {sorted(names)}")
        self._wake()

    async def listen(self, host, port, name):
        """Serve the machine ``name`` at an address of its own."""
        async def serve(reader, writer):
            await self._serve(reader, writer, name)
        self._servers.append(await asyncio.start_server(serve, host, port))

    async def _serve(self, reader, writer, name):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                while (await reader.readline()).strip():
                    pass
                target = line.split()[1].decode()
                self.calls += 1
                await asyncio.sleep(ANSWER_S)
                status, body = await self._answer(target, name)
                if status is None:
                    await asyncio.sleep(30)
                    break
                data = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nStore-Era: 1\r\n"
                    b"Content-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _refusal(self, name):
        if self.down == "silent":
            return None, {}
        if self.down or name in self.refused:
            return 503, {}
        return ()

    async def _answer(self, target, name):
        refusal = self._refusal(name)
        if refusal:
            return refusal
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        prefix = query.get("prefix", "")
        if path == "/bramleypin/kv-range":
            keys = sorted(key for key in self.items if key.startswith(prefix)
                          and key > query.get("after", ""))
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "has_more": len(keys) > 500,
                         "as_of": self.revision}
        if path != "/bramleypin/kv-watch":
            return 404, {}
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [event for event in self.events
                      if event["revision"] > after
                      and event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            refusal = self._refusal(name)
            if refusal:
                return refusal
        if after > self.revision:
            return 410, {}
        return 200, {"events": events, "as_of": self.revision}
