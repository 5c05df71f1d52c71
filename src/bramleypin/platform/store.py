"""The client of the platform's store: HTTP/1.1 with JSON bodies."""

import urllib.parse

import anyio
import anyio.abc
import h11
import msgspec

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.net import http_response
from bramleypin.internal.stream import view
from bramleypin.platform import decoding

RANGE_PATH = "/bramleypin/kv-range"
WATCH_PATH = "/bramleypin/kv-watch"
# The store answers in milliseconds; while it is slow it takes up to 60 times
# as long. A connection that stays silent for longer is given up.
READ_TIMEOUT_S = 1.5
# A listing of 1,800 routes takes a second on a link of 5 Mbit/s; an answer
# that arrives in parts may take as long as this in all.
MAX_READ_S = 10.0
CONNECT_TIMEOUT_S = 1.0
# A page holds about 1 MB; base64 makes it larger by a third.
MAX_BODY_BYTES = 4 * 1024 * 1024
# A page holds at most 500 items; this bounds a listing that never ends.
MAX_PAGES = 64


class _Page(msgspec.Struct):
    as_of: int
    items: list[decoding.Item] = []
    events: list[decoding.Item] = []
    has_more: bool = False


class _Connection:
    """One connection to the store, opened by the first request on it."""

    def __init__(self, at: address.Address):
        self._address = at
        self._stream: anyio.abc.ByteStream | None = None
        self._connection: h11.Connection | None = None
        self.receiving = False

    async def aclose(self) -> None:
        """Close the connection; the next request opens it anew."""
        stream, self._stream, self._connection = self._stream, None, None
        if stream is not None:
            await anyio.aclose_forcefully(stream)

    async def get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> _Page:
        """Send a request and return the page that answers it.

        The time-out counts from the latest part of the answer.

        :raises errors.PlatformUnavailable: when no usable answer comes.
        :raises errors.PlatformHistoryLost: when the history is discarded.
        """
        target = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            with anyio.fail_after(timeout_s) as scope:
                latest_s = scope.deadline + MAX_READ_S
                status, body = await self._exchange(target, scope, latest_s)
        except TimeoutError as error:
            await self.aclose()
            raise errors.PlatformUnavailable(
                f"{path}: no answer within {timeout_s:g} s"
            ) from error
        except http_response.FAILURES as error:
            await self.aclose()
            raise errors.PlatformUnavailable(
                f"{path}: {type(error).__name__}: {error}"
            ) from error
        except BaseException:
            await self.aclose()
            raise
        finally:
            self.receiving = False
        if status == 410:
            raise errors.PlatformHistoryLost(f"{path}: history discarded")
        if status != 200:
            raise errors.PlatformUnavailable(f"{path}: HTTP status {status}")
        try:
            return msgspec.json.decode(body, type=_Page)
        except msgspec.DecodeError as error:
            raise errors.PlatformUnavailable(f"{path}: {error}") from error

    async def _exchange(
        self, target: str, scope: anyio.CancelScope, latest_s: float
    ) -> tuple[int, bytes]:
        def on_data() -> None:
            self.receiving = True
            soon_s = anyio.current_time() + READ_TIMEOUT_S
            scope.deadline = min(latest_s, max(scope.deadline, soon_s))

        if self._stream is None or self._connection is None:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                self._stream = await anyio.connect_tcp(*self._address)
            self._connection = h11.Connection(h11.CLIENT)
        stream, connection = self._stream, self._connection
        request = h11.Request(
            method="GET",
            target=target,
            headers=[("Host", str(self._address))],
        )
        sent = connection.send(request) + connection.send(h11.EndOfMessage())
        await stream.send(sent)
        status, _, body = await http_response.read(
            connection, stream, MAX_BODY_BYTES, on_data
        )
        if connection.our_state is h11.DONE is connection.their_state:
            connection.start_next_cycle()
        else:
            await self.aclose()
        return status, body


class StoreClient:
    """Implements ``view.ViewSource``.

    Watches share one connection. Each listing has a connection of its own,
    so that one that stays silent does not hold up the next.
    """

    def __init__(self, at: address.Address):
        self._address = at
        self._watching = _Connection(at)
        self._listing: list[_Connection] = []

    @property
    def receiving(self) -> bool:
        """Whether a part of a listing has arrived, and more is to come."""
        return any(connection.receiving for connection in self._listing)

    async def read(self) -> view.Changes:
        """List everything."""
        connection = _Connection(self._address)
        self._listing.append(connection)
        found: list[decoding.Item] = []
        revision = None
        after = ""
        try:
            for _ in range(MAX_PAGES):
                query = {"prefix": ""}
                if after:
                    query["after"] = after
                page = await connection.get(RANGE_PATH, query, READ_TIMEOUT_S)
                # Pages are no snapshot: changes after the first page are
                # watched.
                revision = page.as_of if revision is None else revision
                found += page.items
                if not page.has_more or not page.items:
                    break
                after = page.items[-1].key
        finally:
            self._listing.remove(connection)
            await connection.aclose()
        return decoding.decode(
            found, revision or 0, anyio.current_time(), True
        )

    async def watch(self, after: int, wait_s: float) -> view.Changes:
        """Wait for changes after a revision; empty ones after ``wait_s``."""
        query = {
            "prefix": "",
            "after": str(after),
            "wait_ms": str(int(wait_s * 1000)),
        }
        timeout_s = wait_s + READ_TIMEOUT_S
        page = await self._watching.get(WATCH_PATH, query, timeout_s)
        now_s = anyio.current_time()
        return decoding.decode(page.events, page.as_of, now_s, False)

    async def aclose(self) -> None:
        """Close the connection that watches use."""
        await self._watching.aclose()
