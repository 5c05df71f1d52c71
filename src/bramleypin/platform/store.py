"""Client for the platform's metadata store: JSON over HTTP/1.1."""

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
# A connection that receives no data for this long is closed. The store answers
# in milliseconds; a slow store takes up to 60 times as long.
READ_TIMEOUT_S = 1.5
# A response that arrives in parts may exceed its timeout by this much. A
# listing of 1,800 routes takes 1 s on a link of 5 Mbit/s.
MAX_RESPONSE_S = 10.0
CONNECT_TIMEOUT_S = 1.0
# A page holds about 1 MB of data; base64 adds a third.
MAX_BODY_BYTES = 4 * 1024 * 1024
# Maximum number of pages in a listing, in case the store never reports a last
# page. A page may hold as few as 50 items, and the target size is 7,400 hosts.
MAX_PAGES = 1_024


class _Page(msgspec.Struct):
    as_of: int
    items: list[decoding.Item] = []
    events: list[decoding.Item] = []
    has_more: bool = False


class _Connection:
    """A connection to the store, opened by the first request.

    ``receiving`` is true while a response is partly received.
    """

    def __init__(self, store_address: address.Address):
        self._address = store_address
        self._stream: anyio.abc.ByteStream | None = None
        self._connection: h11.Connection | None = None
        self.receiving = False

    async def aclose(self) -> None:
        """Close the connection; the next request opens a new one."""
        stream, self._stream, self._connection = self._stream, None, None
        if stream is not None:
            await anyio.aclose_forcefully(stream)

    async def get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> _Page:
        """Send a GET request and return the page in the response.

        ``timeout_s`` applies to the first data. After that, each part of the
        response must arrive within ``READ_TIMEOUT_S`` of the previous one,
        and the whole of it within ``timeout_s + MAX_RESPONSE_S``.

        :raises errors.PlatformUnavailable: if there is no valid response.
        :raises errors.PlatformHistoryLost: if the store has discarded the
            requested changes.
        """
        target = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            with anyio.fail_after(timeout_s) as scope:
                end_s = scope.deadline + MAX_RESPONSE_S
                status, body = await self._exchange(target, scope, end_s)
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
            raise errors.PlatformHistoryLost(
                f"{path}: the store has discarded the changes"
            )
        if status != 200:
            raise errors.PlatformUnavailable(f"{path}: HTTP status {status}")
        try:
            return msgspec.json.decode(body, type=_Page)
        except msgspec.DecodeError as error:
            raise errors.PlatformAnswerUnusable(f"{path}: {error}") from error

    async def _exchange(
        self, target: str, scope: anyio.CancelScope, end_s: float
    ) -> tuple[int, bytes]:
        def on_data() -> None:
            self.receiving = True
            read_end_s = anyio.current_time() + READ_TIMEOUT_S
            scope.deadline = min(end_s, max(scope.deadline, read_end_s))

        if self._stream is None or self._connection is None:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                self._stream = await anyio.connect_tcp(*self._address)
            self._connection = h11.Connection(h11.CLIENT)
        stream, connection = self._stream, self._connection
        headers = [("Host", str(self._address))]
        request = h11.Request(method="GET", target=target, headers=headers)
        data = connection.send(request) + connection.send(h11.EndOfMessage())
        await stream.send(data)
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

    All watches share one connection. Each listing opens its own connection,
    so that a listing without an answer does not delay the next one.
    """

    def __init__(self, store_address: address.Address):
        self._address = store_address
        self._watch_connection = _Connection(store_address)
        self._listings: list[_Connection] = []

    @property
    def receiving(self) -> bool:
        """Whether a listing has arrived in part, but not completely."""
        return any(connection.receiving for connection in self._listings)

    async def read(
        self, allow_stale: bool = False
    ) -> tuple[view.Changes, ...]:
        """Read all items of the store, page by page, and the changes since.

        A stale page costs a tenth of a current one. A watch that returns at
        once then adds the changes after the oldest of the pages.

        :raises errors.PlatformUnavailable: if the store does not answer.
        :raises errors.PlatformHistoryLost: as ``watch`` does.
        """
        connection = _Connection(self._address)
        self._listings.append(connection)
        items: list[decoding.Item] = []
        revision = None
        query = {"prefix": ""} | ({"allow_stale": "1"} if allow_stale else {})
        try:
            for _ in range(MAX_PAGES):
                page = await connection.get(RANGE_PATH, query, READ_TIMEOUT_S)
                # Pages are not a snapshot, and a stale page may be older than
                # the one before. A watch from the oldest reports all changes.
                revision = min(page.as_of, revision or page.as_of)
                items += page.items
                if not page.has_more or not page.items:
                    break
                query["after"] = page.items[-1].key
            if page.has_more:
                # Items that are not listed would count as removed.
                message = f"{RANGE_PATH}: the listing has no last page"
                raise errors.PlatformUnavailable(message)
            now_s = anyio.current_time()
            listing = decoding.decode(items, revision or 0, now_s, True)
            if not allow_stale:
                return (listing,)
            return listing, await self._watch(connection, revision or 0, 0.0)
        finally:
            self._listings.remove(connection)
            await connection.aclose()

    async def watch(self, after: int, wait_s: float) -> view.Changes:
        """Wait for changes after the revision ``after``.

        Returns empty changes if there are none within ``wait_s`` seconds.

        :raises errors.PlatformUnavailable: if the store does not answer.
        :raises errors.PlatformHistoryLost: if the store has discarded the
            changes after that revision.
        """
        return await self._watch(self._watch_connection, after, wait_s)

    @staticmethod
    async def _watch(
        connection: _Connection, after: int, wait_s: float
    ) -> view.Changes:
        wait_ms = str(int(wait_s * 1000))
        query = {"prefix": "", "after": str(after), "wait_ms": wait_ms}
        timeout_s = wait_s + READ_TIMEOUT_S
        page = await connection.get(WATCH_PATH, query, timeout_s)
        now_s = anyio.current_time()
        return decoding.decode(page.events, page.as_of, now_s, False)

    async def aclose(self) -> None:
        """Close the connection that is used for watches."""
        await self._watch_connection.aclose()
