"""A simulated platform store and a fault-injecting proxy to it."""

import base64
import contextlib
import json
import urllib.parse

import anyio
import anyio.abc

from bramleypin.internal.net import http_server

# The store latency specified for the deployments is 4 ms.
ANSWER_LATENCY_S = 0.004
# Number of past changes that the store retains for watches.
MAX_HISTORY_CHANGES = 200


class Store:
    """Stores items with revisions and answers listings and watches."""

    def __init__(self):
        self.revision = 1
        self.era = 0
        self._keys_since_restoration: set[str] = set()
        self._item_by_key: dict[str, dict] = {}
        # Time, revision and items after each change.
        self._states: list[tuple[float, int, dict[str, dict]]] = [(0.0, 1, {})]
        self._events: list[dict] = []
        self._change_event = anyio.Event()
        self.server = http_server.HttpServer(self._respond, "soak-store")

    def put(self, key: str, value: object) -> None:
        """Write an item; the write is acknowledged at once."""
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key: str, data: bytes) -> None:
        """Write an item with any value."""
        self.revision += 1
        previous_item = self._item_by_key.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": (
                previous_item["created"] if previous_item else self.revision
            ),
            "lease": 0,
        }
        self._item_by_key[key] = item
        self._publish(item)

    def delete(self, key: str) -> None:
        """Remove an item, if it exists, and publish a tombstone for it."""
        if self._item_by_key.pop(key, None) is None:
            return
        self.revision += 1
        event = {"key": key, "revision": self.revision, "tombstone": True}
        self._publish(event)

    def forget_history(self) -> None:
        """Discard the past changes; watches that need them get a 410."""
        self._events.clear()

    def restore(self, seconds_back: float) -> dict[str, bytes | None]:
        """Come back from a copy; return the lost values by key.

        The value of a key that was removed since is ``None``. The history
        ends with the copy, and so do watches of revisions that it lacks.
        """
        lost_items = self._item_by_key
        copied_s = anyio.current_time() - seconds_back
        while len(self._states) > 1 and self._states[-1][0] > copied_s:
            self._states.pop()
        _, self.revision, items = self._states[-1]
        self._item_by_key = dict(items)
        self._events = [
            event
            for event in self._events
            if event["revision"] <= self.revision
        ]
        self.era += 1
        self._keys_since_restoration.clear()
        self._wake_watches()
        return {
            key: (
                base64.b64decode(lost_items[key]["value"])
                if key in lost_items
                else None
            )
            for key in lost_items.keys() | items.keys()
            if lost_items.get(key) != items.get(key)
        }

    def write_again(self, key: str, data: bytes | None) -> None:
        """Repeat a lost write unless its key was written since."""
        item = self._item_by_key.get(key)
        if key in self._keys_since_restoration:
            return
        if data is None:
            self.delete(key)
        elif item is None or base64.b64decode(item["value"]) != data:
            self.put_bytes(key, data)

    def _publish(self, event: dict) -> None:
        self._events = [*self._events[-MAX_HISTORY_CHANGES:], event]
        self._keys_since_restoration.add(event["key"])
        self._states.append(
            (anyio.current_time(), self.revision, dict(self._item_by_key))
        )
        self._states = self._states[-MAX_HISTORY_CHANGES:]
        self._wake_watches()

    def _wake_watches(self) -> None:
        change_event, self._change_event = self._change_event, anyio.Event()
        change_event.set()

    async def _respond(self, target: bytes) -> http_server.Answer:
        await anyio.sleep(ANSWER_LATENCY_S)
        path, _, text = target.decode("ascii").partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        if path.endswith("/kv-range"):
            items = list(self._item_by_key.values())
            return self._answer(items=items, has_more=False)
        if not path.endswith("/kv-watch"):
            return http_server.Answer(404)
        after_revision = int(query["after"])
        with anyio.move_on_after(int(query["wait_ms"]) / 1000):
            while self.revision == after_revision:
                await self._change_event.wait()
        if self.revision < after_revision:
            return http_server.Answer(410, headers=self._era_headers())
        oldest_revision = self._events[0]["revision"] if self._events else None
        history_known = (
            self.revision <= after_revision
            or (oldest_revision or 0) <= after_revision + 1
        )
        if not history_known or (
            oldest_revision is None and self.revision > after_revision
        ):
            return http_server.Answer(410, headers=self._era_headers())
        events = [
            item for item in self._events if item["revision"] > after_revision
        ]
        return self._answer(events=events)

    def _answer(self, **fields: object) -> http_server.Answer:
        body = json.dumps({"as_of": self.revision, **fields})
        return http_server.Answer(
            200, body.encode(), "application/json", self._era_headers()
        )

    def _era_headers(self) -> tuple[tuple[str, str], ...]:
        return (("Store-Era", str(self.era)),)


class Proxy:
    """Proxy between one daemon and the store.

    ``mode`` is ``pass``, ``delay`` (``DELAY_S`` for each chunk), ``silent``
    (no data is forwarded), ``one_way`` (only requests are forwarded) or
    ``refuse`` (connections are closed).
    """

    DELAY_S = 0.25

    def __init__(self, store: Store):
        self.mode = "pass"
        self._store = store

    async def serve(self, client: anyio.abc.SocketStream) -> None:
        """Forward one connection of the daemon in both directions."""
        if self.mode == "refuse":
            await client.aclose()
            return
        proxy_end, store_end = await _stream_pair()
        async with client, anyio.create_task_group() as tasks:
            tasks.start_soon(self._store.server.serve, store_end)
            tasks.start_soon(self._forward, client, proxy_end, True, tasks)
            tasks.start_soon(self._forward, proxy_end, client, False, tasks)

    async def _forward(self, source, target, to_store: bool, tasks) -> None:
        with contextlib.suppress(
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            while True:
                data = await source.receive()
                mode = self.mode
                if mode == "refuse":
                    break
                if mode == "silent" or (mode == "one_way" and not to_store):
                    continue
                if mode == "delay":
                    await anyio.sleep(self.DELAY_S)
                await target.send(data)
        tasks.cancel_scope.cancel()


async def _stream_pair():
    """Return both ends of an in-memory byte stream."""
    to_store, from_daemon = anyio.create_memory_object_stream(100)
    to_daemon, from_store = anyio.create_memory_object_stream(100)
    return _StreamEnd(to_store, from_store), _StreamEnd(to_daemon, from_daemon)


class _StreamEnd:
    """One end of an in-memory byte stream."""

    def __init__(self, sender, receiver):
        self._sender = sender
        self._receiver = receiver

    async def send(self, data: bytes) -> None:
        """Send bytes to the other end."""
        await self._sender.send(bytes(data))

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return one chunk from the other end; ignores ``max_bytes``."""
        return await self._receiver.receive()

    async def aclose(self) -> None:
        """Close both directions."""
        self._sender.close()
        self._receiver.close()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        await self.aclose()
