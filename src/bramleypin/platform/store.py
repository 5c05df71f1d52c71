"""Client for the platform's metadata store: JSON over HTTP/1.1."""

import urllib.parse

import anyio
import msgspec

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.net import http_client
from bramleypin.internal.stream import store_era
from bramleypin.internal.stream import view
from bramleypin.platform import decoding

RANGE_PATH = "/bramleypin/kv-range"
WATCH_PATH = "/bramleypin/kv-watch"
ERA_HEADER = b"store-era"
# A page holds about 1 MB of data, to which base64 adds a third. The changes
# that a watch returns have no limit of their own.
MAX_BODY_BYTES = 8 * 1024 * 1024


class _Page(msgspec.Struct):
    as_of: int
    items: list[msgspec.Raw] = []
    events: list[msgspec.Raw] = []
    has_more: bool = False


class _Connection(http_client.HttpConnection):
    """A connection to the store, opened by the first request.

    ``era`` is that of the latest page.
    """

    def __init__(
        self, store_address: address.Address, eras: store_era.AnswerEras
    ):
        super().__init__(store_address, MAX_BODY_BYTES)
        self._eras = eras
        self.era = 0

    async def get_page(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> _Page:
        """Return the page in the response to a GET request.

        :raises errors.PlatformUnavailable: if there is no valid response.
        :raises errors.PlatformHistoryLost: if the store has discarded the
            requested changes.
        """
        target = f"{path}?{urllib.parse.urlencode(query)}"
        status, headers, body = await self.get(target, timeout_s)
        if status in (200, 410):
            self.era = self._eras.of_answer(headers.get(ERA_HEADER))
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


class StoreClient:
    """Implements ``view.ViewSource``.

    All watches share one connection. Each listing opens its own connection,
    so that a listing without an answer does not delay the next one.
    """

    def __init__(self, store_address: address.Address):
        self._address = store_address
        self._eras = store_era.AnswerEras()
        self._watch_connection = _Connection(store_address, self._eras)
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
        :raises errors.PlatformHistoryLost: as ``watch`` does, or when the
            answers are of several eras.
        """
        connection = _Connection(self._address, self._eras)
        self._listings.append(connection)
        items: list[decoding.Item] = []
        revision = None
        eras: list[int] = []
        query = {"prefix": ""} | ({"allow_stale": "1"} if allow_stale else {})
        try:
            while True:
                page = await connection.get_page(
                    RANGE_PATH, query, http_client.READ_TIMEOUT_S
                )
                # Pages are not a snapshot, and a stale page may be older than
                # the one before. A watch from the oldest reports all changes.
                revision = min(page.as_of, revision or page.as_of)
                eras.append(connection.era)
                page_items = decoding.decode_items(page.items)
                items += page_items
                last_key = page_items[-1].key if page_items else ""
                if not page.has_more or last_key <= query.get("after", ""):
                    break
                query["after"] = last_key
            store_era.raise_if_restored(eras)
            if page.has_more:
                # Items that are not listed would count as removed.
                message = f"{RANGE_PATH}: the listing has no last page"
                raise errors.PlatformUnavailable(message)
            now_s = anyio.current_time()
            decoded = decoding.decode(items, revision or 0, now_s, True)
            listing = self._eras.stamp(decoded, eras[0])
            if not allow_stale:
                return (listing,)
            later = await self._watch(connection, revision or 0, 0.0)
            store_era.raise_if_restored((listing.era, later.era))
            return listing, later
        finally:
            self._listings.remove(connection)
            await connection.aclose()

    async def watch(self, after: int, wait_s: float) -> view.Changes:
        """Wait for changes after the revision ``after``.

        Returns empty changes if there are none within ``wait_s`` seconds.

        :raises errors.PlatformUnavailable: if the store does not answer.
        :raises errors.PlatformHistoryLost: if the store has discarded the
            changes after that revision, or they are too long for an answer.
        """
        return await self._watch(self._watch_connection, after, wait_s)

    async def _watch(
        self, connection: _Connection, after: int, wait_s: float
    ) -> view.Changes:
        wait_ms = str(int(wait_s * 1000))
        query = {"prefix": "", "after": str(after), "wait_ms": wait_ms}
        timeout_s = wait_s + http_client.READ_TIMEOUT_S
        try:
            page = await connection.get_page(WATCH_PATH, query, timeout_s)
        except errors.PlatformAnswerTooLong as error:
            # The next answer would hold the same changes. A listing has pages.
            raise errors.PlatformHistoryLost(str(error)) from error
        now_s = anyio.current_time()
        events = decoding.decode_items(page.events)
        decoded = decoding.decode(events, page.as_of, now_s, False)
        return self._eras.stamp(decoded, connection.era)

    async def aclose(self) -> None:
        """Close the connection that is used for watches."""
        await self._watch_connection.aclose()
