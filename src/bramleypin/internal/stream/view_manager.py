"""Holds the view and merges changes from the store and from peers."""

import dataclasses
import math
import typing

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import store_era
from bramleypin.internal.stream import view as view_module

VIEW_ERA = metrics.declare(
    "view.era", "gauge", "era", "Era of the store that the view shows."
)
VIEW_RESTORATIONS = metrics.declare(
    "view.restorations",
    "counter",
    "restorations",
    "Restorations of the store from an older copy that the view followed.",
)
VIEW_REVISION = metrics.declare(
    "view.revision", "gauge", "revision", "Revision of the view in force."
)
VIEW_VERSION = metrics.declare(
    "view.version", "gauge", "version", "Version of the configuration."
)
_log = logs.get("view")


@dataclasses.dataclass(frozen=True, slots=True)
class _LapsedRegistration:
    """A registration that has lapsed, with the time of its removal.

    ``stamp`` is that of the lapsed registration.
    """

    removal_s: float
    stamp: tuple[int, int]


@kernel_module.service(
    "view", roles=("stream_balancer", "stream_agent"), needs=("metrics",)
)
class ViewManager(kernel_module.Service):
    """Holds the newest view; its era and revision never decrease.

    The revision starts again with a new era of the store.

    Registrations that lapsed in an outage of the store are kept for the time
    that a live endpoint needs to register again, ``bounds.reregistration_s``.
    """

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.view = view_module.EMPTY_VIEW
        # When a caller's or an endpoint's packet was last routed by the view.
        self.last_use_s = float("-inf")
        self._metrics = kernel.get("metrics")
        self._view_changed = anyio.Event()
        self._lapsed_by_id: dict[str, _LapsedRegistration] = {}
        self._no_removal_until_s = float("-inf")
        # Endpoints that only the latest restoration brought into the view.
        self._ids_of_copy: set[str] = set()
        self._kept = store_era.NOTHING_KEPT
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
        if changes.stamp < old_view.stamp:
            return
        if changes.empty and changes.stamp == old_view.stamp:
            return
        is_restored = self._is_restored(changes.era)
        if is_restored:
            if not changes.complete:
                return
            self._begin_era(changes.era, changes.revision)
        endpoint_by_id = dict(old_view.endpoint_by_id)
        removed_ids = set(changes.removed_ids)
        if changes.complete:
            removed_ids |= endpoint_by_id.keys()
            removed_ids -= {endpoint.id for endpoint in changes.endpoints}
        for endpoint in changes.endpoints:
            old = endpoint_by_id.get(endpoint.id)
            self._lapsed_by_id.pop(endpoint.id, None)
            if old is None or old.stamp < endpoint.stamp:
                self._ids_of_copy.discard(endpoint.id)
                endpoint_by_id[endpoint.id] = endpoint
                self._log_endpoint(endpoint, old)
        for id_ in removed_ids & endpoint_by_id.keys():
            if changes.complete and self._is_removal_due_later(id_, now_s):
                continue
            if (
                now_s < self._no_removal_until_s
                and id_ not in self._ids_of_copy
            ):
                self._record_lapsed(
                    endpoint_by_id[id_], self._no_removal_until_s
                )
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
        new_view = view_module.View(
            changes.revision,
            self._newer_configuration(changes),
            endpoint_by_id,
            frozenset(domains_out),
            changes.era,
        )
        if is_restored:
            self._ids_of_copy = endpoint_by_id.keys() - old_view.endpoint_by_id
            self._kept = store_era.states_to_keep(old_view, new_view)
        self._kept = self._kept.without_domains(changes.domains_returned)
        self._install(new_view)
        self._record_lapsed_elsewhere(changes.lapsed_ids)

    def _is_restored(self, era: int) -> bool:
        """Return whether an era shows a restoration since the view."""
        return era > self.view.era and self.view.revision >= 0

    def _begin_era(self, era: int, revision: int) -> None:
        """Treat registrations as after an outage once the era has risen."""
        _log.warning(
            "the store was restored from an older copy",
            era=era,
            before=self.view.era,
            revision=revision,
            revision_before=self.view.revision,
            endpoints_before=len(self.view.endpoint_by_id),
        )
        self._metrics.count(VIEW_RESTORATIONS)
        self.delay_removals()

    def _is_removal_due_later(self, id_: str, now_s: float) -> bool:
        lapsed = self._lapsed_by_id.get(id_)
        return (
            lapsed is not None
            and lapsed.removal_s > now_s
            and lapsed.stamp >= self.view.endpoint_by_id[id_].stamp
        )

    def install_if_newer(
        self,
        peer_view: view_module.View,
        lapsed_ids: typing.Iterable[str] = (),
    ) -> bool:
        """Install another daemon's view; return false if it is not newer.

        That daemon has kept the endpoints in ``lapsed_ids`` for the time being
        though the store has removed their registrations.
        """
        if peer_view.stamp <= self.view.stamp or not peer_view.loaded:
            return False
        own_configuration = self.view.configuration
        if peer_view.configuration.version < own_configuration.version:
            # Only a restored store has newer revisions with older versions.
            if peer_view.era == 0:
                return False
            peer_view = dataclasses.replace(
                peer_view, configuration=own_configuration
            )
        lapsed_ids = set(lapsed_ids)
        if self._is_restored(peer_view.era):
            self._begin_era(peer_view.era, peer_view.revision)
            own_by_id = self.view.endpoint_by_id
            lapsed_ids |= own_by_id.keys() - peer_view.endpoint_by_id.keys()
            peer_view = dataclasses.replace(
                peer_view,
                endpoint_by_id={**own_by_id, **peer_view.endpoint_by_id},
            )
            self._kept = store_era.states_to_keep(self.view, peer_view)
        _log.info(
            "installed the view of another daemon",
            revision=peer_view.revision,
            before=self.view.revision,
            era=peer_view.era,
            version=peer_view.configuration.version,
        )
        self._install(peer_view)
        self._record_lapsed_elsewhere(lapsed_ids)
        return True

    def _record_lapsed_elsewhere(
        self, lapsed_ids: typing.Iterable[str]
    ) -> None:
        """Record endpoints that another daemon told to have lapsed."""
        grace_s = self.kernel.settings.bounds.reregistration_s
        removal_s = anyio.current_time() + grace_s
        for id_ in lapsed_ids:
            endpoint = self.view.endpoint_by_id.get(id_)
            if endpoint is not None:
                self._record_lapsed(endpoint, removal_s)

    def lapsed_ids(self) -> list[str]:
        """Return the endpoints of the view whose registrations have lapsed."""
        return [
            id_
            for id_, lapsed in self._lapsed_by_id.items()
            if id_ in self.view.endpoint_by_id
            and self.view.endpoint_by_id[id_].stamp <= lapsed.stamp
        ]

    def _record_lapsed(
        self, endpoint: view_module.Endpoint, removal_s: float
    ) -> None:
        lapsed = self._lapsed_by_id.get(endpoint.id)
        if lapsed is None or lapsed.stamp < endpoint.stamp:
            self._lapsed_by_id[endpoint.id] = _LapsedRegistration(
                removal_s, endpoint.stamp
            )

    def _newer_configuration(
        self, changes: view_module.Changes
    ) -> view_module.Configuration:
        current = self.view.configuration
        received = changes.configuration
        if received is None or received.version <= current.version:
            if received is not None and received.version < current.version:
                _log.info(
                    "configuration not applied",
                    reason="its version is lower than the one in force",
                    version=received.version,
                    in_force=current.version,
                    era=changes.era,
                )
            return current
        received = received.with_routes_kept(current)
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
        self.view = store_era.with_kept_states(new_view, self._kept)
        self._metrics.gauge(VIEW_ERA, new_view.era)
        self._metrics.gauge(VIEW_REVISION, new_view.revision)
        self._metrics.gauge(VIEW_VERSION, new_view.configuration.version)
        changed, self._view_changed = self._view_changed, anyio.Event()
        changed.set()

    async def wait_for_change(self) -> None:
        """Wait until the view is replaced."""
        await self._view_changed.wait()

    def delay_removals(self) -> None:
        """Keep lapsed registrations for ``bounds.reregistration_s``.

        This includes those that lapsed in an earlier outage, since their
        endpoints may not have reached the store before the latest one.
        """
        grace_s = self.kernel.settings.bounds.reregistration_s
        self._no_removal_until_s = anyio.current_time() + grace_s
        self._ids_of_copy = set()
        self._lapsed_by_id = {
            id_: _LapsedRegistration(self._no_removal_until_s, lapsed.stamp)
            for id_, lapsed in self._lapsed_by_id.items()
        }

    def record_first_listing(self) -> None:
        """Treat the listing as incomplete for ``bounds.reregistration_s``.

        Registrations may have lapsed in an outage before this process started.
        """
        grace_s = self.kernel.settings.bounds.reregistration_s
        self._listing_incomplete_until_s = anyio.current_time() + grace_s

    def registrations_settle_in_s(self) -> float:
        """Return the time for which live endpoints may be missing, in s."""
        settled_s = max(
            self._no_removal_until_s, self._listing_incomplete_until_s
        )
        return max(0.0, settled_s - anyio.current_time())

    def may_miss_registrations(self) -> bool:
        """Return whether live endpoints may be missing from the view."""
        return self.registrations_settle_in_s() > 0

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

    def next_removal_s(self) -> float:
        """Return when the next lapsed endpoint is due; infinite if none is.

        The states that are kept after a restoration end in the same way.
        """
        return min(
            (lapsed.removal_s for lapsed in self._lapsed_by_id.values()),
            default=self._no_removal_until_s if self._kept else math.inf,
        )

    def remove_lapsed(self, current_s: float) -> None:
        """Remove lapsed endpoints that did not register again in time.

        ``current_s`` is when the view was last known to be current. What has
        registered since then is not known.
        """
        has_kept = bool(self._kept)
        if has_kept and self._no_removal_until_s <= current_s:
            self._kept = store_era.NOTHING_KEPT
            _log.info("states from before the restoration end")
        due_ids = [
            id_
            for id_, lapsed in self._lapsed_by_id.items()
            if lapsed.removal_s <= current_s
        ]
        if not due_ids and has_kept == bool(self._kept):
            return
        endpoint_by_id = dict(self.view.endpoint_by_id)
        for id_ in due_ids:
            lapsed = self._lapsed_by_id.pop(id_)
            endpoint = endpoint_by_id.get(id_)
            # It may have registered again, by a change or a peer's view.
            if endpoint is not None and endpoint.stamp <= lapsed.stamp:
                del endpoint_by_id[id_]
                _log.info("endpoint did not register again", endpoint=id_)
        if has_kept != bool(self._kept) or len(endpoint_by_id) < len(
            self.view.endpoint_by_id
        ):
            self._install(
                dataclasses.replace(self.view, endpoint_by_id=endpoint_by_id)
            )
