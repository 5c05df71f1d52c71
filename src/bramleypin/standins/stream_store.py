"""A simulated metadata store for stream flows, and its clients."""

import dataclasses
import math
import typing

import anyio

from bramleypin import errors
from bramleypin.internal.stream import store_era
from bramleypin.internal.stream import view

STORE_LATENCY_S = 0.004
# The real store client waits this long for a listing.
LISTING_TIMEOUT_S = 1.5
TRANSFER_STEP_S = 0.01

# Decodes an entry of a given revision as the store's client does.
EntryDecoder = typing.Callable[[int], view.Changes]


def _with_decoded(
    changes: view.Changes, entries: typing.Iterable[tuple[int, EntryDecoder]]
) -> view.Changes:
    """Add the entries that are decoded when the store is read."""
    for revision, decode in entries:
        decoded = decode(revision)
        changes = dataclasses.replace(
            changes,
            endpoints=(*changes.endpoints, *decoded.endpoints),
            removed_ids=(*changes.removed_ids, *decoded.removed_ids),
            skipped_count=changes.skipped_count + decoded.skipped_count,
        )
    return changes


@dataclasses.dataclass(frozen=True, slots=True)
class _State:
    """What the store held from a time on."""

    written_s: float
    revision: int
    configuration: view.Configuration
    endpoints: tuple[view.Endpoint, ...]
    domains_out: tuple[str, ...]
    foreign_by_id: dict[str, tuple[int, EntryDecoder]]


class Store:
    """A simulated metadata store.

    While ``down`` is set, all requests fail at once; those of
    ``refused_hosts`` always do. While ``silent`` is set, all requests stay
    unanswered and fail after ``LISTING_TIMEOUT_S``; those of ``silent_hosts``
    always do. A watch that is already waiting fails in the same way at the
    next change or at its end. A stale listing shows the state
    ``stale_commits`` changes ago. Answers carry ``era`` once ``restore`` has
    raised it, or ``era_value`` if that is not empty.
    A watch is cut after it has waited for ``cut_watch_s`` seconds.
    ``calls`` counts calls as they are charged: a stale one costs a tenth.
    """

    def __init__(self):
        self.revision = 1
        self.configuration = view.NO_CONFIGURATION
        self.endpoint_by_id: dict[str, view.Endpoint] = {}
        self._foreign_by_id: dict[str, tuple[int, EntryDecoder]] = {}
        self.domains_out: set[str] = set()
        self.down = False
        self.silent = False
        self.transfer_s = 0.0
        self.refused_hosts: set[str] = set()
        self.silent_hosts: set[str] = set()
        self.cut_watch_s = math.inf
        self.calls = 0.0
        self.stale_commits = 0
        self.era = 0
        self.era_value = b""
        self._states: list[_State] = [
            _State(0.0, self.revision, self.configuration, (), (), {})
        ]
        self._change_log: list[tuple[int, str, object]] = []
        self._oldest_revision = 0
        self._change_event = anyio.Event()

    def _commit(self, kind: str, value: object) -> None:
        self.revision += 1
        self._change_log.append((self.revision, kind, value))
        self._states.append(
            _State(
                anyio.current_time(),
                self.revision,
                self.configuration,
                tuple(self.endpoint_by_id.values()),
                tuple(self.domains_out),
                dict(self._foreign_by_id),
            )
        )
        self._wake_watches()

    def _wake_watches(self) -> None:
        change_event, self._change_event = self._change_event, anyio.Event()
        change_event.set()

    def configure(self, new_configuration: view.Configuration) -> None:
        """Publish a configuration."""
        self.configuration = new_configuration
        self._commit("configuration", new_configuration)

    def put(self, endpoint: view.Endpoint) -> None:
        """Register an endpoint or replace its registration."""
        endpoint = dataclasses.replace(endpoint, revision=self.revision + 1)
        self.endpoint_by_id[endpoint.id] = endpoint
        self._commit("endpoint", endpoint)

    def put_foreign(self, id_: str, decode: EntryDecoder) -> None:
        """Write an entry of another writer, which each read decodes."""
        entry = (self.revision + 1, decode)
        self._foreign_by_id[id_] = entry
        self._commit("foreign", entry)

    def remove(self, id_: str) -> None:
        """Remove an endpoint's registration."""
        del self.endpoint_by_id[id_]
        self._commit("removed", id_)

    def take_out_of_service(self, domain: str) -> None:
        """Take a failure domain out of service."""
        self.domains_out.add(domain)
        self._commit("out", domain)

    def return_to_service(self, domain: str) -> None:
        """Return a failure domain to service."""
        self.domains_out.discard(domain)
        self._commit("back", domain)

    def forget_history(self) -> None:
        """Discard the change history; watches from older revisions fail."""
        self._oldest_revision = self.revision

    def restore(self, seconds_back: float, ends_watches: bool = True) -> None:
        """Come back from a copy; what was written since is lost.

        Watches may go on until the next change or their own end.
        """
        copied_s = anyio.current_time() - seconds_back
        while len(self._states) > 1 and self._states[-1].written_s > copied_s:
            self._states.pop()
        state = self._states[-1]
        self.era += 1
        self.revision = state.revision
        self.configuration = state.configuration
        self.endpoint_by_id = {item.id: item for item in state.endpoints}
        self.domains_out = set(state.domains_out)
        self._foreign_by_id = dict(state.foreign_by_id)
        self._change_log = [
            item for item in self._change_log if item[0] <= self.revision
        ]
        self._oldest_revision = min(self._oldest_revision, self.revision)
        if ends_watches:
            self._wake_watches()

    def answer_era(self) -> bytes | None:
        """Return the era in the form in which an answer carries it."""
        if self.era_value or not self.era:
            return self.era_value or None
        return b"%d" % self.era

    async def _raise_if_unavailable(self, host: str) -> None:
        if self.silent or host in self.silent_hosts:
            await anyio.sleep(LISTING_TIMEOUT_S)
            raise errors.PlatformUnavailable("the store does not answer")
        if self.down or host in self.refused_hosts:
            raise errors.PlatformUnavailable("the store refuses requests")

    def _mark_seen(self, endpoint: view.Endpoint) -> view.Endpoint:
        return dataclasses.replace(endpoint, seen_s=anyio.current_time())

    async def read(self, host: str, allow_stale: bool) -> view.Changes:
        """Return a complete listing.

        :raises errors.PlatformUnavailable: when the store is unavailable.
        """
        self.calls += 0.1 if allow_stale else 1.0
        await anyio.sleep(STORE_LATENCY_S)
        await self._raise_if_unavailable(host)
        index = len(self._states) - 1
        if allow_stale:
            index = max(0, index - self.stale_commits)
        state = self._states[index]
        listed = state.configuration
        listing = view.Changes(
            state.revision,
            listed if listed.version >= 0 else None,
            tuple(self._mark_seen(item) for item in state.endpoints),
            (),
            state.domains_out,
            (),
            complete=True,
        )
        return _with_decoded(listing, self._foreign_by_id.values())

    def _raise_if_unknown(self, after: int, oldest_revision: int) -> None:
        if not oldest_revision <= after <= self.revision:
            raise errors.PlatformHistoryLost(
                "the simulated store does not have some of these changes"
            )

    async def watch(
        self, host: str, after: int, wait_s: float
    ) -> view.Changes:
        """Wait up to ``wait_s`` for changes after a revision.

        :raises errors.PlatformHistoryLost: when some of these changes
            have been discarded.
        :raises errors.PlatformUnavailable: when the store is unavailable.
        """
        self.calls += 1
        await anyio.sleep(STORE_LATENCY_S)
        await self._raise_if_unavailable(host)
        self._raise_if_unknown(after, self._oldest_revision)
        with anyio.move_on_after(min(wait_s, self.cut_watch_s)):
            while self.revision == after:
                await self._change_event.wait()
                await self._raise_if_unavailable(host)
        if self.revision == after and wait_s > self.cut_watch_s:
            raise errors.PlatformUnavailable("the watch was cut")
        await self._raise_if_unavailable(host)
        self._raise_if_unknown(after, 0)
        changes = [item for item in self._change_log if item[0] > after]
        by_kind: dict[str, list] = {}
        for _, kind, value in changes:
            by_kind.setdefault(kind, []).append(value)
        watched = view.Changes(
            self.revision,
            by_kind.get("configuration", [None])[-1],
            tuple(
                self._mark_seen(item) for item in by_kind.get("endpoint", ())
            ),
            tuple(by_kind.get("removed", ())),
            tuple(by_kind.get("out", ())),
            tuple(by_kind.get("back", ())),
        )
        return _with_decoded(watched, by_kind.get("foreign", ()))


@dataclasses.dataclass
class StoreClient:
    """One machine's client of the store.

    A listing takes ``store.transfer_s`` on the machine's network link, whose
    bandwidth concurrent listings share.
    """

    store: Store
    host: str
    transfers: int = 0
    eras: store_era.AnswerEras = dataclasses.field(
        default_factory=store_era.AnswerEras
    )

    @property
    def receiving(self) -> bool:
        """Whether a listing is being transferred."""
        return self.transfers > 0

    async def read(
        self, allow_stale: bool = False
    ) -> tuple[view.Changes, ...]:
        """Return a listing after its simulated transfer, and later changes.

        :raises errors.PlatformUnavailable: when the store is unavailable, or
            the transfer takes longer than ``LISTING_TIMEOUT_S``.
        """
        listing = self._with_era(await self.store.read(self.host, allow_stale))
        remaining_s = self.store.transfer_s
        if remaining_s <= 0:
            return await self._with_later_changes(listing, allow_stale)
        self.transfers += 1
        try:
            with anyio.fail_after(LISTING_TIMEOUT_S):
                while remaining_s > 0:
                    await anyio.sleep(TRANSFER_STEP_S)
                    remaining_s -= TRANSFER_STEP_S / self.transfers
        except TimeoutError as error:
            message = "the listing took longer than LISTING_TIMEOUT_S"
            raise errors.PlatformUnavailable(message) from error
        finally:
            self.transfers -= 1
        return await self._with_later_changes(listing, allow_stale)

    async def _with_later_changes(
        self, listing: view.Changes, allow_stale: bool
    ) -> tuple[view.Changes, ...]:
        if not allow_stale:
            return (listing,)
        later = await self.watch(listing.revision, 0.0)
        store_era.raise_if_restored((listing.era, later.era))
        return listing, later

    def _with_era(self, changes: view.Changes) -> view.Changes:
        era = self.eras.of_answer(self.store.answer_era())
        return self.eras.stamp(changes, era)

    async def watch(self, after: int, wait_s: float) -> view.Changes:
        """Wait up to ``wait_s`` for changes after a revision."""
        changes = await self.store.watch(self.host, after, wait_s)
        return self._with_era(changes)
