"""Keeps the configuration and the member list of a process up to date."""

import dataclasses
import typing

import anyio
import anyio.abc

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.membership import metric_names
from bramleypin.internal.membership import peer_link
from bramleypin.internal.membership import platform_reader
from bramleypin.internal.membership import secure_link
from bramleypin.internal.model import configuration
from bramleypin.internal.model import vms
from bramleypin.internal.observe import logs

# After this long without an upstream link, a process connects to other
# members, and if none accepts, it reads the platform.
DISCONNECTED_S = 2.0
CHECK_INTERVAL_S = 0.25
# Members to which a process without an upstream link connects concurrently.
# Also limits concurrent fetches of newer revisions from other processes.
MAX_FALLBACK_PEERS = 3
RECONNECT_MIN_S = 0.25
RECONNECT_MAX_S = 5.0
# A link that was open for longer resets the reconnection delay.
STABLE_LINK_S = 5.0
# Two reads per interval stay within a process's limit of 0.2 calls per second.
PLATFORM_FALLBACK_INTERVAL_S = 10.0
# Time limit for fetching a newer revision that another process reported.
FETCH_TIMEOUT_S = 2.0
# Limits concurrent transfers of whole shards: sending them to all 32 children
# at once would take many times the memory of the view.
MAX_TRANSFERS = 4
# Pause between rounds of fetches of newer revisions.
FETCH_INTERVAL_S = 0.1

_log = logs.get("sync")


@dataclasses.dataclass
class _UpstreamConnection:
    """An upstream process and the scope of the task that connects to it."""

    vm: vms.Vm
    scope: anyio.CancelScope


@kernel_module.service(
    "sync",
    roles=("balancer", "agent"),
    needs=("view", "members", "lease", "metrics", "status"),
)
class Sync(kernel_module.Service):
    """Owns the control links and selects the sources of updates."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.links: set[peer_link.PeerLink] = set()
        self.first_view_requested = False
        self.rejected_by_reason: dict[str, int] = {}
        self.conflicts = 0
        self.transfer_slots = anyio.Semaphore(MAX_TRANSFERS)
        self._connection_by_id: dict[str, _UpstreamConnection] = {}
        self._next_platform_read_at = 0.0
        self._last_linked_at = 0.0
        self._tasks: anyio.abc.TaskGroup
        self._reports: dict[address.Address, int] = {}
        self._revision_reported = anyio.Event()
        self._members_known = anyio.Event()
        self._members_changed = anyio.Event()

    async def start(self) -> None:
        """Resolve the services that this one depends on."""
        self._view_store = self.kernel.get("view")
        self._members = self.kernel.get("members")
        self._metrics = self.kernel.get("metrics")
        self._lease = self.kernel.get("lease")
        self._last_linked_at = anyio.current_time()
        self._reader = platform_reader.PlatformReader(self.kernel, self)
        self._view_store.listeners.append(self._on_view_changed)
        self._members.listeners.append(self._on_members_changed)
        self.kernel.get("status").register("sync", self.status)

    async def run(self) -> None:
        """Read the platform and maintain the links until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._read_members)
            tasks.start_soon(self._read_manifest)
            tasks.start_soon(self._manage_connections)
            tasks.start_soon(self._monitor_upstream)
            tasks.start_soon(self._fetch_reported)

    def status(self) -> dict[str, typing.Any]:
        """Return the ``sync`` section of the daemon's status."""
        return {
            "revision": self._view_store.view.revision,
            "members_version": self._members.version,
            "reader": self._members.position.is_reader,
            "links": sorted(link.peer.id for link in self.links),
            "lease_valid": self._lease.is_valid(),
            "conflicts": self.conflicts,
            "rejected": dict(self.rejected_by_reason),
        }

    def report_newer(self, revision: int, peer: address.Address) -> None:
        """Schedule the fetch of a newer revision from another process.

        Keeps reports of at most ``MAX_FALLBACK_PEERS`` processes per fetch.
        """
        if revision <= self._view_store.view.revision:
            return
        if len(self._reports) < MAX_FALLBACK_PEERS or peer in self._reports:
            self._reports[peer] = revision
            self._revision_reported.set()

    def offer(
        self,
        manifest: configuration.Manifest,
        changed: dict[str, bytes | None],
        source: str,
    ) -> bool:
        """Apply a configuration if it is newer and valid.

        Returns ``False`` for an invalid one, for example when digests do not
        match its services; the source should then send whole shards.
        """
        try:
            self._view_store.apply(manifest, changed)
        except errors.ConflictingRevision:
            self.report_conflict(manifest.revision, source)
        except errors.StaleRevision:
            self._metrics.count(metric_names.STALE)
        except errors.InvalidConfiguration as error:
            self.report_invalid(error, source)
            return False
        else:
            self._metrics.count(metric_names.APPLIED)
            self._metrics.gauge(metric_names.REVISION, manifest.revision)
            _log.info("applied revision", revision=manifest.revision)
        return True

    def report_conflict(self, revision: int, source: str) -> None:
        """Record a source with different contents for the same revision."""
        self.conflicts += 1
        self._metrics.count(metric_names.CONFLICTS)
        error = errors.ConflictingRevision(revision)
        _log.warn_throttled(
            "conflict", f"kept the active view: {error}", at=source
        )

    def report_invalid(
        self, error: errors.InvalidConfiguration, source: str
    ) -> None:
        """Record a configuration that was rejected as a whole."""
        self._metrics.count(metric_names.INVALID)
        _log.warn_throttled(
            "invalid", f"rejected a configuration: {error}", source=source
        )

    def record_rejection(self, reason: str, peer: str) -> None:
        """Count a link that was closed because of what the peer sent."""
        count = self.rejected_by_reason.get(reason, 0)
        self.rejected_by_reason[reason] = count + 1
        name = metric_names.REJECTED_BY_REASON.get(reason)
        if name is not None:
            self._metrics.count(name)
        _log.warn_throttled(
            reason, "closed a control link", reason=reason, peer=peer
        )

    async def serve_link(
        self, auth_link: secure_link.AuthenticatedLink, outgoing: bool
    ) -> None:
        """Serve an authenticated link until it is closed."""
        link = peer_link.PeerLink(self.kernel, self, auth_link, outgoing)
        self.links.add(link)
        self._metrics.gauge(metric_names.LINKS, len(self.links))
        try:
            await link.run()
        finally:
            self.links.discard(link)
            self._last_linked_at = anyio.current_time()
            self._metrics.gauge(metric_names.LINKS, len(self.links))
            with anyio.CancelScope(shield=True):
                await link.aclose()

    async def open_link(
        self, peer: address.Address
    ) -> secure_link.AuthenticatedLink:
        """Open a link to a process, and count a rejected handshake.

        :raises errors.PeerUnreachable: when the connection is not accepted.
        :raises errors.LinkClosed: when the handshake fails.
        """
        settings = self.kernel.settings
        try:
            return await secure_link.open_link(
                self.kernel.environment.control,
                peer,
                self.hello(),
                settings.key_bytes,
            )
        except errors.AuthenticationFailed as error:
            self.record_rejection("authentication", str(peer))
            raise errors.LinkClosed(str(error)) from error
        except errors.InvalidFrame as error:
            self.record_rejection(error.reason, str(peer))
            raise errors.LinkClosed(str(error)) from error

    def hello(self) -> typing.Any:
        """Return the first message that this process sends on a link."""
        settings = self.kernel.settings
        return secure_link.new_hello(
            self.kernel.environment.random,
            settings.id,
            settings.role,
            settings.failure_domain,
        )

    def _on_view_changed(self) -> None:
        for link in self.links:
            link.notify()

    def _on_members_changed(self) -> None:
        self._members_known.set()
        self._members_changed.set()
        self._members_changed = anyio.Event()
        for link in self.links:
            link.notify()

    async def _read_members(self) -> None:
        while True:
            try:
                if self._members_known.is_set():
                    await self._reader.watch_members()
                else:
                    await self._reader.read_members()
                    self._members_known.set()
                pause = platform_reader.MEMBERS_INTERVAL_S
            except errors.PlatformKeyMissing:
                # Without a VM list this process is a reader: it ranks first.
                self._members_known.set()
                pause = platform_reader.NO_MEMBERS_INTERVAL_S
            except errors.PlatformUnavailable:
                pause = self._reader.retry_delay_s()
            await anyio.sleep(pause)
            if self._members_known.is_set():
                await self._wait_until_reader()

    async def _wait_until_reader(self) -> None:
        while not self._members.position.is_reader:
            await self._members_changed.wait()

    async def _read_manifest(self) -> None:
        await self._members_known.wait()
        while True:
            await self._wait_until_reader()
            try:
                await self._reader.watch_manifest()
            except errors.PlatformKeyMissing:
                _log.warn_throttled("missing", "no manifest on the platform")
                await anyio.sleep(self._reader.retry_delay_s())
            except errors.PlatformUnavailable as error:
                _log.warn_throttled("platform", f"platform failure: {error}")
                await anyio.sleep(self._reader.retry_delay_s())

    async def _manage_connections(self) -> None:
        while True:
            upstream = self._members.position.upstream
            for vm_id, connection in list(self._connection_by_id.items()):
                if upstream.get(vm_id) != connection.vm:
                    connection.scope.cancel()
                    del self._connection_by_id[vm_id]
            for vm_id, vm in upstream.items():
                if vm_id not in self._connection_by_id:
                    connection = _UpstreamConnection(vm, anyio.CancelScope())
                    self._connection_by_id[vm_id] = connection
                    self._tasks.start_soon(self._keep_connected, connection)
            await self._members_changed.wait()

    async def _keep_connected(self, connection: _UpstreamConnection) -> None:
        delay = RECONNECT_MIN_S
        rng = self.kernel.environment.random
        with connection.scope:
            while True:
                opened_at = anyio.current_time()
                try:
                    peer = connection.vm.control_address
                    auth_link = await self.open_link(peer)
                    await self.serve_link(auth_link, outgoing=True)
                except (errors.PeerUnreachable, errors.LinkClosed):
                    pass
                if anyio.current_time() - opened_at > STABLE_LINK_S:
                    delay = RECONNECT_MIN_S
                await anyio.sleep(delay * rng.uniform(0.5, 1.0))
                delay = min(2 * delay, RECONNECT_MAX_S)

    def _has_upstream(self) -> bool:
        return any(link.outgoing for link in self.links)

    def is_disconnected(self) -> bool:
        """Return whether there has been no link for ``DISCONNECTED_S``."""
        disconnected_s = anyio.current_time() - self._last_linked_at
        return not self.links and disconnected_s >= DISCONNECTED_S

    async def _monitor_upstream(self) -> None:
        await self._members_known.wait()
        without_upstream_since = anyio.current_time()
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = anyio.current_time()
            if self._has_upstream():
                without_upstream_since = now
            elif now - without_upstream_since >= DISCONNECTED_S:
                await self._connect_to_fallback_peers()

    async def _connect_to_fallback_peers(self) -> None:
        connected = {link.peer.id for link in self.links if link.outgoing}
        others = [vm for vm in self._members.peers() if vm.id not in connected]
        rng = self.kernel.environment.random
        candidates = rng.sample(others, min(MAX_FALLBACK_PEERS, len(others)))
        async with anyio.create_task_group() as tasks:
            for vm in candidates:
                tasks.start_soon(self._try_fallback_peer, vm)
        if not self._has_upstream():
            await self._read_platform()

    async def _try_fallback_peer(self, vm: vms.Vm) -> None:
        try:
            auth_link = await self.open_link(vm.control_address)
        except (errors.PeerUnreachable, errors.LinkClosed):
            return
        self._tasks.start_soon(self._serve_fallback, auth_link)
        # Let the new task add its link before the caller looks for one.
        await anyio.sleep(0)

    async def _serve_fallback(
        self, auth_link: secure_link.AuthenticatedLink
    ) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._close_when_stable, tasks.cancel_scope)
            await self.serve_link(auth_link, outgoing=True)
            tasks.cancel_scope.cancel()

    async def _close_when_stable(self, scope: anyio.CancelScope) -> None:
        """Close a fallback link once an upstream link is stable."""
        upstream_since = None
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = anyio.current_time()
            upstream = self._members.position.upstream
            connected = {link.peer.id for link in self.links if link.outgoing}
            if not upstream.keys() & connected:
                upstream_since = None
            elif upstream_since is None:
                upstream_since = now
            elif now - upstream_since > STABLE_LINK_S:
                scope.cancel()

    async def _read_platform(self) -> None:
        """Read the VM list and the manifest, at most once per 10 to 15 s."""
        now = anyio.current_time()
        if now < self._next_platform_read_at:
            return
        rng = self.kernel.environment.random
        pause = PLATFORM_FALLBACK_INTERVAL_S * rng.uniform(1.0, 1.5)
        self._next_platform_read_at = now + pause
        await anyio.sleep(rng.uniform(0.0, 1.0))
        try:
            await self._reader.read_members()
            await self._reader.read_manifest()
        except (errors.PlatformKeyMissing, errors.PlatformUnavailable):
            return

    async def _fetch_reported(self) -> None:
        while True:
            await self._revision_reported.wait()
            self._revision_reported = anyio.Event()
            reported, self._reports = self._reports, {}
            async with anyio.create_task_group() as tasks:
                for peer, revision in reported.items():
                    tasks.start_soon(self._fetch, peer, revision)
            await anyio.sleep(FETCH_INTERVAL_S)

    async def _fetch(self, peer: address.Address, revision: int) -> None:
        with anyio.move_on_after(FETCH_TIMEOUT_S):
            try:
                auth_link = await self.open_link(peer)
            except (errors.PeerUnreachable, errors.LinkClosed):
                return
            async with anyio.create_task_group() as tasks:
                # Not outgoing: a link for one fetch is not an upstream link.
                tasks.start_soon(self.serve_link, auth_link, False)
                await self._view_store.wait_for_change(revision - 1)
                tasks.cancel_scope.cancel()
