"""Reads the view from the metadata store."""

import contextlib
import math
import typing

import anyio

from bramleypin import errors
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import guard
from bramleypin.internal.stream import store_era
from bramleypin.internal.stream import view as view_module
from bramleypin.internal.stream import view_manager

# Maximum duration of a watch without a change. A longer watch detects a silent
# connection later, though a drained endpoint must receive no new flow after
# 3 s; a shorter watch costs more calls.
WATCH_WAIT_S = 4.0
# Duration of a watch while registrations that have lapsed may come back. The
# store may cut a longer one, which looks like another outage.
LAPSED_WATCH_WAIT_S = 0.25
# Minimum duration of a watch that ends early for the sake of a removal.
MIN_WATCH_WAIT_S = 0.1
# Changes arrive in groups, e.g. when several endpoints start. After a change,
# the next watch is delayed by this time and fetches the rest of the group in
# one call. This is a tenth of the tightest bound for a change, 3 s.
GROUP_DELAY_S = 0.3
# Group delay after a start or an outage, when callers wait for registrations.
URGENT_GROUP_DELAY_S = 0.05
# Group delay after the first start of a deployment while no caller waits: all
# endpoints register in these seconds, before traffic is sent.
IDLE_GROUP_DELAY_S = 0.6
# Callers wait if one sent a packet within this time.
MAX_USE_AGE_S = 2.0
MIN_RETRY_S = 0.05
MAX_RETRY_S = 0.8
# Callers wait while a daemon has no view, so another attempt to list the store
# starts before the last one times out: the store may have recovered since. It
# answers in 4 ms. The interval grows because each call is charged.
MIN_HEDGE_INTERVAL_S = 0.1
MAX_HEDGE_INTERVAL_S = 0.3
HEDGE_GROWTH = 1.3
# Registrations may have lapsed in an outage of at least this length.
MIN_OUTAGE_S = 1.0

STORE_CALLS_ANSWERED = metrics.declare(
    "store.calls_answered", "counter", "calls", "Calls the store answered."
)
STORE_CALLS_FAILED = metrics.declare(
    "store.calls_failed",
    "counter",
    "calls",
    "Calls that the store refused or did not answer in time.",
)
STORE_ANSWERS_UNUSABLE = metrics.declare(
    "store.answers_unusable",
    "counter",
    "calls",
    "Calls that the store answered with data that cannot be used.",
)
STORE_ENTRIES_SKIPPED = metrics.declare(
    "store.entries_skipped",
    "counter",
    "entries",
    "Entries of the store that could not be decoded.",
)
CONFIGURATION_VALUES_REFUSED = metrics.declare(
    "configuration.values_refused",
    "counter",
    "entries",
    "Routes and services of configurations with a value that is not valid.",
)
STORE_ERAS_INVALID = metrics.declare(
    "store.eras_invalid",
    "counter",
    "answers",
    "Answers of the store whose era cannot be read or is an earlier one.",
)
STORE_LISTING_TIME = metrics.declare(
    "store.listing_time",
    "histogram",
    "seconds",
    "Time until the first listing of the store was complete.",
)

_log = logs.get("view")


@contextlib.contextmanager
def _unexpected_errors_as_unusable() -> typing.Iterator[None]:
    """Raise ``PlatformAnswerUnusable`` for an error that nobody foresaw.

    The reader then tries again, instead of ending the daemon.
    """
    try:
        yield
    except errors.BramleypinError:
        raise
    except Exception as error:
        raise errors.PlatformAnswerUnusable(
            f"unexpected {type(error).__name__}: {error}"[:200]
        ) from error


@kernel_module.service(
    "view_reader",
    roles=("stream_balancer", "stream_agent"),
    needs=("view", "relay", "peer_port", "metrics"),
)
class ViewReader(kernel_module.Service):
    """Lists the store once; watches it while no relay confirms the view."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._view_manager: view_manager.ViewManager = kernel.get("view")
        self._relay = kernel.get("relay")
        self._peers = kernel.get("peer_port")
        self._peers.on_newer_era = self._on_newer_era
        self._metrics = kernel.get("metrics")
        self._source: view_module.ViewSource = kernel.environment.platform
        self._random = kernel.environment.random
        self._listing_complete = False
        self._store_answered_s = float("-inf")
        self.store_failing = False
        self._restoration_seen = False
        # Highest era that another daemon had announced before a listing.
        self._listed_era = 0
        self._watch_scope: anyio.CancelScope | None = None

    async def run(self) -> None:
        """Read the store until cancelled, retrying after failures."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._remove_lapsed_periodically)
            await guard.keep_running(self._metrics, self._list_store)
            await guard.keep_running(self._metrics, self._follow_store)

    async def _follow_store(self) -> None:
        retry_s = MIN_RETRY_S
        outage_started_s: float | None = None
        while True:
            if self._relay.confirmed_for_s() > 0:
                # Relays reach the store. The result of this daemon's own last
                # call may be old, as it makes none while they confirm.
                self.store_failing = False
            await self._relay.wait_until_unconfirmed()
            # An unanswered request fails long after the outage began, so
            # the outage is measured from the start of the request.
            request_started_s = anyio.current_time()
            try:
                results = await self._next_changes()
            except errors.PlatformHistoryLost as error:
                _log.info(
                    "store history lost, listing again", reason=str(error)
                )
                self._listing_complete = False
                continue
            except errors.PlatformUnavailable as error:
                if outage_started_s is None:
                    outage_started_s = request_started_s
                self._record_failure(
                    error, request_started_s - outage_started_s
                )
                await anyio.sleep(retry_s * (0.5 + self._random.random()))
                retry_s = min(MAX_RETRY_S, 2 * retry_s)
                continue
            if outage_started_s is not None:
                outage_s = anyio.current_time() - outage_started_s
                _log.info(
                    "the store answers again", after_s=round(outage_s, 3)
                )
                if outage_s > MIN_OUTAGE_S:
                    self._view_manager.delay_removals()
            retry_s, outage_started_s = MIN_RETRY_S, None
            self.store_failing = False
            self._metrics.count(STORE_CALLS_ANSWERED)
            old_stamp = self._view_manager.view.stamp
            self._apply(results)
            # A relay must not confirm a view that lacks these changes.
            self._relay.record_store_answer()
            self._store_answered_s = anyio.current_time()
            self._listing_complete = True
            if self._view_manager.view.stamp > old_stamp:
                await anyio.sleep(self._group_delay_s())

    def _group_delay_s(self) -> float:
        """Return the time after a change until the next watch, in seconds."""
        if not self._view_manager.may_miss_registrations():
            return GROUP_DELAY_S
        if self.kernel.settings.is_first_start and not self._is_used():
            return IDLE_GROUP_DELAY_S
        return URGENT_GROUP_DELAY_S

    def _is_used(self) -> bool:
        """Return whether a packet was routed by the view recently."""
        age_s = anyio.current_time() - self._view_manager.last_use_s
        return age_s < MAX_USE_AGE_S

    def _record_failure(
        self, error: errors.BramleypinError, outage_s: float
    ) -> None:
        """Count and log a failed call, ``outage_s`` after the first one.

        Data that cannot be used are told from a store that does not answer:
        they are the same for all daemons, and no other daemon can help.
        """
        self.store_failing = True
        self._metrics.count(STORE_CALLS_FAILED)
        event = "the store does not answer"
        if isinstance(error, errors.PlatformAnswerUnusable):
            self._metrics.count(STORE_ANSWERS_UNUSABLE)
            event = "an answer of the store cannot be used"
        if isinstance(error, errors.PlatformEraOutdated):
            self._metrics.count(STORE_ERAS_INVALID)
            event = "an answer of the store is of an earlier era"
        view = self._view_manager.view
        _log.warn_throttled(
            event,
            event,
            error=str(error),
            revision=view.revision,
            version=view.configuration.version,
            outage_s=round(outage_s, 3),
        )

    def _apply(self, results: tuple[view_module.Changes, ...]) -> None:
        for changes in results:
            if changes.skipped_count:
                self._metrics.count(
                    STORE_ENTRIES_SKIPPED, changes.skipped_count
                )
            configuration = changes.configuration
            if configuration is not None and configuration.refused_count:
                self._metrics.count(
                    CONFIGURATION_VALUES_REFUSED, configuration.refused_count
                )
            if changes.invalid_era_count:
                self._metrics.count(
                    STORE_ERAS_INVALID, changes.invalid_era_count
                )
            self._view_manager.apply(changes)

    async def _list_store(self) -> None:
        """List the store for the first time, with overlapping attempts.

        No attempt is added while an answer is being received: on a slow link,
        several large listings would delay each other until all time out.
        """
        started_s = anyio.current_time()
        hedge_interval_s = MIN_HEDGE_INTERVAL_S
        async with anyio.create_task_group() as attempts:
            while not self._listing_complete:
                if not self._source.receiving:
                    attempts.start_soon(
                        self._attempt_listing,
                        attempts.cancel_scope,
                        started_s,
                    )
                await anyio.sleep(hedge_interval_s)
                hedge_interval_s = min(
                    MAX_HEDGE_INTERVAL_S, hedge_interval_s * HEDGE_GROWTH
                )
                if self._view_manager.view.loaded:
                    # Another daemon has since supplied a view, so callers no
                    # longer wait for this listing. Each call is charged, so
                    # the next request waits for the longest retry interval.
                    hedge_interval_s = MAX_RETRY_S
        self.store_failing = False
        after_s = anyio.current_time() - started_s
        self._metrics.observe(STORE_LISTING_TIME, after_s)
        _log.info(
            "first listing of the store complete",
            after_s=round(after_s, 3),
            revision=self._view_manager.view.revision,
        )

    async def _attempt_listing(
        self, attempts: anyio.CancelScope, started_s: float
    ) -> None:
        try:
            try:
                results = await self._read(not self._restoration_seen)
            except errors.PlatformHistoryLost:
                results = await self._read()
        except (
            errors.PlatformUnavailable,
            errors.PlatformRestored,
        ) as error:
            # A stale answer may be of the earlier era for some time.
            self._restoration_seen |= isinstance(
                error, (errors.PlatformEraOutdated, errors.PlatformRestored)
            )
            self._record_failure(error, anyio.current_time() - started_s)
            return
        if not self._listing_complete:
            self._view_manager.record_first_listing()
            self._apply(results)
            self._relay.record_store_answer()
            self._listing_complete = True
        attempts.cancel()

    async def _next_changes(self) -> tuple[view_module.Changes, ...]:
        announced_era = self._peers.newest[0]
        if not self._listing_complete or self._is_era_announced():
            results = await self._read()
            self._listed_era = max(self._listed_era, announced_era)
            return results
        view = self._view_manager.view
        wait_s = WATCH_WAIT_S
        if self._relay.has_followers():
            wait_s = min(wait_s, self._relay.watch_wait_s)
        # An endpoint is removed only if an answer shows that it is still
        # missing when its removal is due.
        due_s = self._view_manager.next_removal_s() - anyio.current_time()
        if due_s < math.inf:
            wait_s = min(wait_s, LAPSED_WATCH_WAIT_S)
        wait_s = max(min(wait_s, due_s), MIN_WATCH_WAIT_S)
        if self.store_failing:
            # An answer at once tells how long the store has been away. A
            # watch that waits may have been cut without any outage.
            wait_s = 0.0
        self._watch_scope = anyio.CancelScope()
        with self._watch_scope, _unexpected_errors_as_unusable():
            changes = await self._source.watch(view.revision, wait_s)
            store_era.raise_if_older(changes.era, self._view_manager.view.era)
            store_era.raise_if_restored((view.era, changes.era))
            return (changes,)
        raise errors.PlatformRestored("another daemon announces a newer era")

    def _is_era_announced(self) -> bool:
        """Return whether a daemon announced an era that was not listed."""
        known_era = max(self._view_manager.view.era, self._listed_era)
        return self._peers.newest[0] > known_era

    def _on_newer_era(self) -> None:
        """End a watch that began before a restoration of the store."""
        if self._is_era_announced():
            self._relay.check_confirmation()
            if self._watch_scope is not None:
                self._watch_scope.cancel()

    async def _read(
        self, allow_stale: bool = False
    ) -> tuple[view_module.Changes, ...]:
        with _unexpected_errors_as_unusable():
            results = await self._source.read(allow_stale)
            for changes in results:
                store_era.raise_if_older(
                    changes.era, self._view_manager.view.era
                )
            return results

    async def _remove_lapsed_periodically(self) -> None:
        while True:
            await anyio.sleep(self.kernel.settings.bounds.reregistration_s / 4)
            guard.call(self._metrics, self._remove_lapsed)

    def _remove_lapsed(self) -> None:
        """Remove lapsed endpoints if the view is known to be current.

        A relay that confirms the view again may have had an outage, so it has
        to confirm it for as long as endpoints may take to register again.
        """
        now_s = anyio.current_time()
        current_s = self._store_answered_s
        grace_s = self.kernel.settings.bounds.reregistration_s
        if now_s - self._relay.last_unconfirmed_s() >= grace_s:
            current_s = now_s
        self._view_manager.remove_lapsed(current_s)
