"""Keeps the view, from the metadata store and from other daemons."""

import dataclasses

import anyio

from bramleypin import errors
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import view as view_module

# A watch that waits longer finds a silent connection later; a shorter one
# costs more calls. The bound for a drained endpoint is 3 s in the deployments
# that run today.
WATCH_WAIT_S = 4.0
# Changes come in groups, as when several endpoints start. After some have
# arrived, the next watch starts this much later and fetches the rest of the
# group in one call. It is a tenth of the tightest bound, 3 s for a change.
GROUP_S = 0.3
# Just after a start or an outage callers wait for each registration.
URGENT_GROUP_S = 0.05
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 0.8
# Callers wait while a daemon has no view at all, so the next listing starts
# before the last one has timed out: the store may have come back since. The
# store answers in 4 ms; the interval grows, as each call is charged.
FIRST_HEDGE_S = 0.1
MAX_HEDGE_S = 0.3
HEDGE_GROWTH = 1.3
# A gap of at least this length may have let registrations lapse.
OUTAGE_S = 1.0

REVISION = metrics.declare(
    "view.revision", "gauge", "revision", "Revision of the view in force."
)
VERSION = metrics.declare(
    "view.version", "gauge", "version", "Version of the configuration."
)
STORE_CALLS = metrics.declare(
    "store.calls_answered", "counter", "calls", "Calls the store answered."
)
STORE_FAILURES = metrics.declare(
    "store.calls_failed",
    "counter",
    "calls",
    "Calls that the store refused or did not answer in time.",
)
LISTING_TIME = metrics.declare(
    "store.listing_time",
    "histogram",
    "seconds",
    "Time until the first listing of the store was complete.",
)

_log = logs.get("view")


@kernel_module.service(
    "view", roles=("stream_balancer", "stream_agent"), needs=("metrics",)
)
class ViewKeeper(kernel_module.Service):
    """Holds the newest view; its revision never falls.

    Registrations that lapsed during an outage of the store stay for as long
    as the deployment says that a living endpoint needs to be listed again.
    """

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.view = view_module.EMPTY
        self._metrics = kernel.get("metrics")
        self._changed = anyio.Event()
        self._lapse_by_id: dict[str, float] = {}
        self._trust_removals_s = float("-inf")
        self._trust_listing_s = float("-inf")
        self._former: list[tuple[float, view_module.Configuration]] = []

    def services_of(self, address: tuple[int, int]) -> set[str]:
        """Return the services that may hold flows to a service address.

        A new configuration leaves open flows where they are, so services of
        earlier versions count for as long as a flow may last.
        """
        now_s = anyio.current_time()
        self._former = [item for item in self._former if item[0] > now_s]
        found: set[str] = set()
        versions = [former for _, former in self._former]
        for configuration in (*versions, self.view.configuration):
            route = configuration.route_by_address.get(address)
            if route is not None:
                found |= {name for name, _ in route.weight_by_service}
        return found

    def apply(self, changes: view_module.Changes) -> None:
        """Merge what the store said."""
        old = self.view
        now_s = anyio.current_time()
        if changes.revision < old.revision:
            return
        if changes.empty and changes.revision == old.revision:
            return
        endpoint_by_id = dict(old.endpoint_by_id)
        removed = set(changes.removed_ids)
        if changes.complete:
            removed |= endpoint_by_id.keys()
            removed -= {endpoint.id for endpoint in changes.endpoints}
        for endpoint in changes.endpoints:
            known = endpoint_by_id.get(endpoint.id)
            self._lapse_by_id.pop(endpoint.id, None)
            if known is None or known.revision < endpoint.revision:
                endpoint_by_id[endpoint.id] = endpoint
                self._log_endpoint(endpoint, known)
        for id_ in removed & endpoint_by_id.keys():
            if now_s < self._trust_removals_s:
                self._lapse_by_id.setdefault(id_, self._trust_removals_s)
                continue
            gone = endpoint_by_id.pop(id_)
            _log.info(
                "endpoint is gone",
                endpoint=id_,
                host=gone.host,
                service=gone.service,
                revision=changes.revision,
            )
        out = set(() if changes.complete else old.domains_out)
        out |= set(changes.domains_out)
        out -= set(changes.domains_returned)
        self._replace(
            view_module.View(
                max(old.revision, changes.revision),
                self._newer_configuration(changes),
                endpoint_by_id,
                frozenset(out),
            )
        )

    def adopt(self, newer: view_module.View) -> bool:
        """Take another daemon's view if it is newer; tell whether it was."""
        if newer.revision <= self.view.revision or not newer.loaded:
            return False
        if newer.configuration.version < self.view.configuration.version:
            return False
        _log.info(
            "adopted the view of another daemon",
            revision=newer.revision,
            before=self.view.revision,
            version=newer.configuration.version,
        )
        self._replace(newer)
        return True

    def _newer_configuration(
        self, changes: view_module.Changes
    ) -> view_module.Configuration:
        known = self.view.configuration
        offered = changes.configuration
        if offered is None or offered.version <= known.version:
            return known
        _log.info(
            "configuration in force",
            version=offered.version,
            before=known.version,
            revision=changes.revision,
            routes=len(offered.route_by_address),
        )
        return offered

    def _log_endpoint(
        self,
        endpoint: view_module.Endpoint,
        known: view_module.Endpoint | None,
    ) -> None:
        if known is not None and (known.draining, known.cold_s > 0) == (
            endpoint.draining,
            endpoint.cold_s > 0,
        ):
            return
        _log.info(
            "endpoint is known" if known is None else "endpoint changed",
            endpoint=endpoint.id,
            host=endpoint.host,
            service=endpoint.service,
            draining=endpoint.draining,
            cold_s=endpoint.cold_s,
            revision=endpoint.revision,
        )

    def _replace(self, newer: view_module.View) -> None:
        if newer.domains_out != self.view.domains_out:
            _log.info(
                "failure domains out of service",
                domains=",".join(sorted(newer.domains_out)),
                revision=newer.revision,
            )
        known = self.view.configuration
        if known.version >= 0 and newer.configuration is not known:
            lifetime_s = self.kernel.settings.bounds.flow_lifetime_s
            until_s = anyio.current_time() + lifetime_s
            self._former.append((until_s, known))
        self.view = newer
        self._metrics.gauge(REVISION, newer.revision)
        self._metrics.gauge(VERSION, newer.configuration.version)
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def wait_for_change(self) -> None:
        """Wait until another view is in force."""
        await self._changed.wait()

    def hold_removals(self) -> None:
        """Keep lapsed registrations for a while after an outage."""
        grace_s = self.kernel.settings.bounds.lapsed_entry_s
        self._trust_removals_s = anyio.current_time() + grace_s

    def note_first_listing(self) -> None:
        """Doubt services without an endpoint for a while.

        Registrations may have lapsed in an outage before this process began.
        """
        grace_s = self.kernel.settings.bounds.lapsed_entry_s
        self._trust_listing_s = anyio.current_time() + grace_s

    def doubts_registrations(self) -> bool:
        """Tell whether living endpoints may be missing from the view."""
        now_s = anyio.current_time()
        return now_s < max(self._trust_removals_s, self._trust_listing_s)

    def settled(self, service: str) -> bool:
        """Tell whether a service's missing endpoints are known to be gone.

        Just after an outage of the store, living endpoints may be missing
        from it.
        """
        now_s = anyio.current_time()
        if now_s < self._trust_removals_s:
            return False
        if self.view.endpoint_by_host(service):
            return True
        return now_s >= self._trust_listing_s

    def drop_lapsed(self) -> None:
        """Remove the endpoints that were not listed again in time."""
        now_s = anyio.current_time()
        due = [id_ for id_, at in self._lapse_by_id.items() if at <= now_s]
        if not due:
            return
        endpoint_by_id = dict(self.view.endpoint_by_id)
        for id_ in due:
            del self._lapse_by_id[id_]
            if endpoint_by_id.pop(id_, None) is not None:
                _log.info("endpoint was not listed again", endpoint=id_)
        self._replace(
            dataclasses.replace(self.view, endpoint_by_id=endpoint_by_id)
        )


@kernel_module.service(
    "view_reader",
    roles=("stream_balancer", "stream_agent"),
    needs=("view", "relay", "metrics"),
)
class ViewReader(kernel_module.Service):
    """Lists the store once, then watches it while no relay does."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._keeper: ViewKeeper = kernel.get("view")
        self._relay = kernel.get("relay")
        self._metrics = kernel.get("metrics")
        self._source: view_module.ViewSource = kernel.environment.platform
        self._random = kernel.environment.random
        self._listed = False
        self.failing = False

    async def run(self) -> None:
        """Read until cancelled; an outage only delays what follows."""
        retry_s = FIRST_RETRY_S
        failed_s: float | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._drop_lapsed)
            await self._read_first()
            while True:
                await self._relay.wait_for_doubt()
                # A request that stays silent fails long after the outage
                # began, so the outage counts from the request on.
                asked_s = anyio.current_time()
                try:
                    changes = await self._next()
                except errors.PlatformHistoryLost as error:
                    _log.info("listing the store anew", reason=str(error))
                    self._listed = False
                    continue
                except errors.PlatformUnavailable as error:
                    self.failing = True
                    self._metrics.count(STORE_FAILURES)
                    if failed_s is None:
                        failed_s = asked_s
                        self._log_failure(error)
                    await anyio.sleep(retry_s * (0.5 + self._random.random()))
                    retry_s = min(MAX_RETRY_S, 2 * retry_s)
                    continue
                if failed_s is not None:
                    outage_s = anyio.current_time() - failed_s
                    _log.info("the store answers", after_s=round(outage_s, 3))
                    if outage_s > OUTAGE_S:
                        self._keeper.hold_removals()
                retry_s, failed_s = FIRST_RETRY_S, None
                self.failing = False
                self._metrics.count(STORE_CALLS)
                self._relay.confirmed()
                changed = changes.revision > self._keeper.view.revision
                self._keeper.apply(changes)
                self._listed = True
                if changed:
                    doubted = self._keeper.doubts_registrations()
                    await anyio.sleep(URGENT_GROUP_S if doubted else GROUP_S)

    def _log_failure(self, error: errors.PlatformUnavailable) -> None:
        _log.warning(
            "the store does not answer",
            error=str(error),
            revision=self._keeper.view.revision,
        )

    async def _read_first(self) -> None:
        """List the store for the first time, with overlapping attempts.

        No attempt is added while an answer arrives: on a narrow link several
        large listings would only slow each other down until all time out.
        """
        started_s = anyio.current_time()
        hedge_s = FIRST_HEDGE_S
        async with anyio.create_task_group() as attempts:
            while not self._listed:
                if not self._source.receiving:
                    attempts.start_soon(
                        self._attempt_first, attempts.cancel_scope
                    )
                await anyio.sleep(hedge_s)
                hedge_s = min(MAX_HEDGE_S, hedge_s * HEDGE_GROWTH)
                if self._keeper.view.loaded:
                    # Another daemon has told its view meanwhile.
                    hedge_s = MAX_RETRY_S
        self.failing = False
        after_s = anyio.current_time() - started_s
        self._metrics.observe(LISTING_TIME, after_s)
        _log.info(
            "store listed",
            after_s=round(after_s, 3),
            revision=self._keeper.view.revision,
        )

    async def _attempt_first(self, attempts: anyio.CancelScope) -> None:
        try:
            changes = await self._source.read()
        except errors.PlatformUnavailable as error:
            self._metrics.count(STORE_FAILURES)
            if not self.failing:
                self.failing = True
                self._log_failure(error)
            return
        if not self._listed:
            self._listed = True
            self._relay.confirmed()
            self._keeper.note_first_listing()
            self._keeper.apply(changes)
        attempts.cancel()

    async def _next(self) -> view_module.Changes:
        if not self._listed:
            return await self._source.read()
        revision = self._keeper.view.revision
        wait_s = WATCH_WAIT_S
        if self._relay.has_followers():
            wait_s = min(wait_s, self._relay.watch_wait_s)
        return await self._source.watch(revision, wait_s)

    async def _drop_lapsed(self) -> None:
        while True:
            await anyio.sleep(self.kernel.settings.bounds.lapsed_entry_s / 4)
            self._keeper.drop_lapsed()
