"""Maintains the view from the metadata store and from other daemons."""

import dataclasses

import anyio

from bramleypin import errors
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import view as view_module

# Maximum duration of a watch without a change. A longer watch detects a silent
# connection later, though a drained endpoint must receive no new flow after
# 3 s; a shorter watch costs more calls.
WATCH_WAIT_S = 4.0
# Changes arrive in groups, e.g. when several endpoints start. After a change,
# the next watch is delayed by this time and fetches the rest of the group in
# one call. This is a tenth of the tightest bound for a change, 3 s.
GROUP_DELAY_S = 0.3
# Group delay after a start or an outage, when callers wait for registrations.
URGENT_GROUP_DELAY_S = 0.05
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

VIEW_REVISION = metrics.declare(
    "view.revision", "gauge", "revision", "Revision of the view in force."
)
VIEW_VERSION = metrics.declare(
    "view.version", "gauge", "version", "Version of the configuration."
)
STORE_CALLS_ANSWERED = metrics.declare(
    "store.calls_answered", "counter", "calls", "Calls the store answered."
)
STORE_CALLS_FAILED = metrics.declare(
    "store.calls_failed",
    "counter",
    "calls",
    "Calls that the store refused or did not answer in time.",
)
STORE_LISTING_TIME = metrics.declare(
    "store.listing_time",
    "histogram",
    "seconds",
    "Time until the first listing of the store was complete.",
)

_log = logs.get("view")


@kernel_module.service(
    "view", roles=("stream_balancer", "stream_agent"), needs=("metrics",)
)
class ViewManager(kernel_module.Service):
    """Holds the newest view; its revision never decreases.

    Registrations that lapsed in an outage of the store are kept for the time
    that a live endpoint needs to register again, ``bounds.reregistration_s``.
    """

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.view = view_module.EMPTY_VIEW
        self._metrics = kernel.get("metrics")
        self._view_changed = anyio.Event()
        self._removal_s_by_id: dict[str, float] = {}
        self._no_removal_until_s = float("-inf")
        self._listing_incomplete_until_s = float("-inf")
        self._old_versions: list[tuple[float, view_module.Configuration]] = []

    def services_for_address(self, address: tuple[int, int]) -> set[str]:
        """Return the services that may hold flows to a service address.

        A new configuration does not move open flows, so the services of
        earlier versions are included for the maximum lifetime of a flow.
        """
        now_s = anyio.current_time()
        self._old_versions = [
            item for item in self._old_versions if item[0] > now_s
        ]
        services: set[str] = set()
        versions = [version for _, version in self._old_versions]
        for configuration in (*versions, self.view.configuration):
            route = configuration.route_by_address.get(address)
            if route is not None:
                services |= {name for name, _ in route.weight_by_service}
        return services

    def apply(self, changes: view_module.Changes) -> None:
        """Merge changes from the store or from a relay into the view."""
        old_view = self.view
        now_s = anyio.current_time()
        if changes.revision < old_view.revision:
            return
        if changes.empty and changes.revision == old_view.revision:
            return
        endpoint_by_id = dict(old_view.endpoint_by_id)
        removed_ids = set(changes.removed_ids)
        if changes.complete:
            removed_ids |= endpoint_by_id.keys()
            removed_ids -= {endpoint.id for endpoint in changes.endpoints}
        for endpoint in changes.endpoints:
            old = endpoint_by_id.get(endpoint.id)
            self._removal_s_by_id.pop(endpoint.id, None)
            if old is None or old.revision < endpoint.revision:
                endpoint_by_id[endpoint.id] = endpoint
                self._log_endpoint(endpoint, old)
        for id_ in removed_ids & endpoint_by_id.keys():
            if now_s < self._no_removal_until_s:
                self._removal_s_by_id.setdefault(id_, self._no_removal_until_s)
                continue
            removed_endpoint = endpoint_by_id.pop(id_)
            _log.info(
                "endpoint removed",
                endpoint=id_,
                host=removed_endpoint.host,
                service=removed_endpoint.service,
                revision=changes.revision,
            )
        domains_out = set(() if changes.complete else old_view.domains_out)
        domains_out |= set(changes.domains_out)
        domains_out -= set(changes.domains_returned)
        self._install(
            view_module.View(
                max(old_view.revision, changes.revision),
                self._newer_configuration(changes),
                endpoint_by_id,
                frozenset(domains_out),
            )
        )

    def install_if_newer(self, peer_view: view_module.View) -> bool:
        """Install another daemon's view; return false if it is not newer."""
        if peer_view.revision <= self.view.revision or not peer_view.loaded:
            return False
        if peer_view.configuration.version < self.view.configuration.version:
            return False
        _log.info(
            "installed the view of another daemon",
            revision=peer_view.revision,
            before=self.view.revision,
            version=peer_view.configuration.version,
        )
        self._install(peer_view)
        return True

    def _newer_configuration(
        self, changes: view_module.Changes
    ) -> view_module.Configuration:
        current = self.view.configuration
        received = changes.configuration
        if received is None or received.version <= current.version:
            return current
        _log.info(
            "configuration in force",
            version=received.version,
            before=current.version,
            revision=changes.revision,
            routes=len(received.route_by_address),
        )
        return received

    def _log_endpoint(
        self, endpoint: view_module.Endpoint, old: view_module.Endpoint | None
    ) -> None:
        """Log a new endpoint, or a change of its draining or cold state."""
        if old is not None and (old.draining, old.cold_s > 0) == (
            endpoint.draining,
            endpoint.cold_s > 0,
        ):
            return
        _log.info(
            "endpoint added" if old is None else "endpoint changed",
            endpoint=endpoint.id,
            host=endpoint.host,
            service=endpoint.service,
            draining=endpoint.draining,
            cold_s=endpoint.cold_s,
            revision=endpoint.revision,
        )

    def _install(self, new_view: view_module.View) -> None:
        if new_view.domains_out != self.view.domains_out:
            _log.info(
                "failure domains out of service",
                domains=",".join(sorted(new_view.domains_out)),
                revision=new_view.revision,
            )
        old = self.view.configuration
        if old.version >= 0 and new_view.configuration is not old:
            lifetime_s = self.kernel.settings.bounds.flow_lifetime_s
            until_s = anyio.current_time() + lifetime_s
            self._old_versions.append((until_s, old))
        self.view = new_view
        self._metrics.gauge(VIEW_REVISION, new_view.revision)
        self._metrics.gauge(VIEW_VERSION, new_view.configuration.version)
        changed, self._view_changed = self._view_changed, anyio.Event()
        changed.set()

    async def wait_for_change(self) -> None:
        """Wait until the view is replaced."""
        await self._view_changed.wait()

    def delay_removals(self) -> None:
        """Keep lapsed registrations for ``bounds.reregistration_s``."""
        grace_s = self.kernel.settings.bounds.reregistration_s
        self._no_removal_until_s = anyio.current_time() + grace_s

    def record_first_listing(self) -> None:
        """Treat the listing as incomplete for ``bounds.reregistration_s``.

        Registrations may have lapsed in an outage before this process started.
        """
        grace_s = self.kernel.settings.bounds.reregistration_s
        self._listing_incomplete_until_s = anyio.current_time() + grace_s

    def may_miss_registrations(self) -> bool:
        """Return whether live endpoints may be missing from the view."""
        now_s = anyio.current_time()
        return now_s < max(
            self._no_removal_until_s, self._listing_incomplete_until_s
        )

    def registrations_settled(self, service: str) -> bool:
        """Return whether all live endpoints of a service are known.

        Shortly after an outage of the store, registrations of live endpoints
        may be missing. Shortly after the first listing, this is assumed only
        of a service without endpoints.
        """
        now_s = anyio.current_time()
        if now_s < self._no_removal_until_s:
            return False
        if self.view.endpoint_by_host(service):
            return True
        return now_s >= self._listing_incomplete_until_s

    def remove_lapsed(self) -> None:
        """Remove lapsed endpoints that did not register again in time."""
        now_s = anyio.current_time()
        lapsed_ids = [
            id_
            for id_, removal_s in self._removal_s_by_id.items()
            if removal_s <= now_s
        ]
        if not lapsed_ids:
            return
        endpoint_by_id = dict(self.view.endpoint_by_id)
        for id_ in lapsed_ids:
            del self._removal_s_by_id[id_]
            if endpoint_by_id.pop(id_, None) is not None:
                _log.info("endpoint did not register again", endpoint=id_)
        self._install(
            dataclasses.replace(self.view, endpoint_by_id=endpoint_by_id)
        )


@kernel_module.service(
    "view_reader",
    roles=("stream_balancer", "stream_agent"),
    needs=("view", "relay", "metrics"),
)
class ViewReader(kernel_module.Service):
    """Lists the store once; watches it while no relay confirms the view."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._view_manager: ViewManager = kernel.get("view")
        self._relay = kernel.get("relay")
        self._metrics = kernel.get("metrics")
        self._source: view_module.ViewSource = kernel.environment.platform
        self._random = kernel.environment.random
        self._listing_complete = False
        self.store_failing = False

    async def run(self) -> None:
        """Read the store until cancelled, retrying after failures."""
        retry_s = MIN_RETRY_S
        outage_started_s: float | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._remove_lapsed_periodically)
            await self._list_store()
            while True:
                await self._relay.wait_until_unconfirmed()
                # An unanswered request fails long after the outage began, so
                # the outage is measured from the start of the request.
                request_started_s = anyio.current_time()
                try:
                    changes = await self._next_changes()
                except errors.PlatformHistoryLost as error:
                    _log.info(
                        "store history lost, listing again", reason=str(error)
                    )
                    self._listing_complete = False
                    continue
                except errors.PlatformUnavailable as error:
                    self.store_failing = True
                    self._metrics.count(STORE_CALLS_FAILED)
                    if outage_started_s is None:
                        outage_started_s = request_started_s
                        self._log_failure(error)
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
                self._relay.record_store_answer()
                changed = changes.revision > self._view_manager.view.revision
                self._view_manager.apply(changes)
                self._listing_complete = True
                if changed:
                    may_miss = self._view_manager.may_miss_registrations()
                    await anyio.sleep(
                        URGENT_GROUP_DELAY_S if may_miss else GROUP_DELAY_S
                    )

    def _log_failure(self, error: errors.PlatformUnavailable) -> None:
        _log.warning(
            "the store does not answer",
            error=str(error),
            revision=self._view_manager.view.revision,
        )

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
                        self._attempt_listing, attempts.cancel_scope
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

    async def _attempt_listing(self, attempts: anyio.CancelScope) -> None:
        try:
            changes = await self._source.read()
        except errors.PlatformUnavailable as error:
            self._metrics.count(STORE_CALLS_FAILED)
            if not self.store_failing:
                self.store_failing = True
                self._log_failure(error)
            return
        if not self._listing_complete:
            self._listing_complete = True
            self._relay.record_store_answer()
            self._view_manager.record_first_listing()
            self._view_manager.apply(changes)
        attempts.cancel()

    async def _next_changes(self) -> view_module.Changes:
        if not self._listing_complete:
            return await self._source.read()
        revision = self._view_manager.view.revision
        wait_s = WATCH_WAIT_S
        if self._relay.has_followers():
            wait_s = min(wait_s, self._relay.watch_wait_s)
        return await self._source.watch(revision, wait_s)

    async def _remove_lapsed_periodically(self) -> None:
        while True:
            await anyio.sleep(self.kernel.settings.bounds.reregistration_s / 4)
            self._view_manager.remove_lapsed()
