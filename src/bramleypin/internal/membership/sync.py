"""Keeps this process's configuration and member list up to date."""

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

# Without any process to receive updates from for this long, a process asks
# other members, and then the platform.
ORPHAN_S = 2.0
CHECK_INTERVAL_S = 0.25
HELPERS = 3
RECONNECT_MIN_S = 0.25
RECONNECT_MAX_S = 5.0
# A link that lived this long resets the delay before the next attempt.
STABLE_S = 5.0
# Two reads in this time stay within the 0.2 calls a second of a process.
ASK_PLATFORM_INTERVAL_S = 10.0
FETCH_TIMEOUT_S = 2.0
# Whole shards to all 32 children at once would take many times the memory of
# the view.
MAX_TRANSFERS = 4
FETCH_INTERVAL_S = 0.1

_log = logs.get("sync")


@dataclasses.dataclass
class _Dialler:
    vm: vms.Vm
    scope: anyio.CancelScope


@kernel_module.service(
    "sync",
    roles=("balancer", "agent"),
    needs=("view", "members", "lease", "metrics", "status"),
)
class Sync(kernel_module.Service):
    """Owns the control links and decides from whom to receive updates."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.links: set[peer_link.PeerLink] = set()
        self.first_view_asked = False
        self.rejected_by_reason: dict[str, int] = {}
        self.conflicts = 0
        self.transfers = anyio.Semaphore(MAX_TRANSFERS)
        self._dialler_by_id: dict[str, _Dialler] = {}
        self._ask_platform_at = 0.0
        self._linked_at = 0.0
        self._tasks: anyio.abc.TaskGroup
        self._reported: dict[address.Address, int] = {}
        self._report = anyio.Event()
        self._members_known = anyio.Event()
        self._members_changed = anyio.Event()

    async def start(self) -> None:
        """Look up the services that hold the state."""
        self._store = self.kernel.get("view")
        self._members = self.kernel.get("members")
        self._metrics = self.kernel.get("metrics")
        self._lease = self.kernel.get("lease")
        self._linked_at = anyio.current_time()
        self._reader = platform_reader.PlatformReader(self.kernel, self)
        self._store.listeners.append(self._on_view)
        self._members.listeners.append(self._on_members)
        self.kernel.get("status").register("sync", self.status)

    async def run(self) -> None:
        """Read, connect and serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._read_members)
            tasks.start_soon(self._read_manifest)
            tasks.start_soon(self._manage_diallers)
            tasks.start_soon(self._fallback)
            tasks.start_soon(self._fetch_reported)

    def status(self) -> dict[str, typing.Any]:
        """Return what the tool shows about configuration and links."""
        return {
            "revision": self._store.view.revision,
            "members_version": self._members.version,
            "reader": self._members.position.is_reader,
            "links": sorted(link.peer.id for link in self.links),
            "lease_valid": self._lease.is_valid(),
            "conflicts": self.conflicts,
            "rejected": dict(self.rejected_by_reason),
        }

    def report_newer(self, revision: int, control: address.Address) -> None:
        """Fetch a revision that another process was seen to have."""
        if revision <= self._store.view.revision:
            return
        if len(self._reported) < HELPERS or control in self._reported:
            self._reported[control] = revision
            self._report.set()

    def offer(
        self,
        manifest: configuration.Manifest,
        changed: dict[str, bytes | None],
        source: str,
    ) -> bool:
        """Put a configuration in force if it is newer and valid.

        ``False`` means that the documents do not give what the manifest
        states, so that the source should send whole shards.
        """
        try:
            self._store.apply(manifest, changed)
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
            _log.info("put revision in force", revision=manifest.revision)
        return True

    def report_conflict(self, revision: int, source: str) -> None:
        """Record that a source has other contents under our revision."""
        self.conflicts += 1
        self._metrics.count(metric_names.CONFLICTS)
        error = errors.ConflictingRevision(revision)
        _log.warn_throttled(
            "conflict", f"kept the accepted one: {error}", at=source
        )

    def report_invalid(
        self, error: errors.InvalidConfiguration, source: str
    ) -> None:
        """Record a configuration that was refused as a whole."""
        self._metrics.count(metric_names.INVALID)
        _log.warn_throttled("invalid", f"refused: {error}", source=source)

    def reject(self, reason: str, peer: str) -> None:
        """Count a link that ended because of what the peer sent."""
        count = self.rejected_by_reason.get(reason, 0)
        self.rejected_by_reason[reason] = count + 1
        name = metric_names.REJECTED_BY_REASON.get(reason)
        if name is not None:
            self._metrics.count(name)
        _log.warn_throttled(
            reason, "ended a control link", reason=reason, peer=peer
        )

    async def serve_link(
        self, secure: secure_link.SecureLink, outgoing: bool
    ) -> None:
        """Use an authenticated link until it ends."""
        link = peer_link.PeerLink(self.kernel, self, secure, outgoing)
        self.links.add(link)
        self._metrics.gauge(metric_names.LINKS, len(self.links))
        try:
            await link.run()
        finally:
            self.links.discard(link)
            self._linked_at = anyio.current_time()
            self._metrics.gauge(metric_names.LINKS, len(self.links))
            with anyio.CancelScope(shield=True):
                await link.aclose()

    async def open_link(self, to: address.Address) -> secure_link.SecureLink:
        """Open a link; failures are counted and raised as LinkClosed."""
        settings = self.kernel.settings
        try:
            return await secure_link.open_link(
                self.kernel.environment.control,
                to,
                self.hello(),
                settings.key_bytes,
            )
        except errors.AuthenticationFailed as error:
            self.reject("authentication", str(to))
            raise errors.LinkClosed(str(error)) from error
        except errors.InvalidFrame as error:
            self.reject(error.reason, str(to))
            raise errors.LinkClosed(str(error)) from error

    def hello(self) -> typing.Any:
        """Return what this process says first on a link."""
        settings = self.kernel.settings
        return secure_link.new_hello(
            self.kernel.environment.random,
            settings.id,
            settings.role,
            settings.failure_domain,
        )

    def _on_view(self) -> None:
        for link in self.links:
            link.wake()

    def _on_members(self) -> None:
        self._members_known.set()
        self._members_changed.set()
        self._members_changed = anyio.Event()
        for link in self.links:
            link.wake()

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
                # Without a VM list the process reads the platform itself.
                self._members_known.set()
                pause = platform_reader.NO_MEMBERS_INTERVAL_S
            except errors.PlatformUnavailable:
                pause = self._reader.retry_s()
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
                _log.warn_throttled(
                    "missing", "the platform has no manifest yet"
                )
                await anyio.sleep(self._reader.retry_s())
            except errors.PlatformUnavailable as error:
                _log.warn_throttled(
                    "platform", f"platform unavailable: {error}"
                )
                await anyio.sleep(self._reader.retry_s())

    async def _manage_diallers(self) -> None:
        while True:
            wanted = self._members.position.upstream
            for vm_id, dialler in list(self._dialler_by_id.items()):
                if wanted.get(vm_id) != dialler.vm:
                    dialler.scope.cancel()
                    del self._dialler_by_id[vm_id]
            for vm_id, vm in wanted.items():
                if vm_id not in self._dialler_by_id:
                    dialler = _Dialler(vm, anyio.CancelScope())
                    self._dialler_by_id[vm_id] = dialler
                    self._tasks.start_soon(self._dial, dialler)
            await self._members_changed.wait()

    async def _dial(self, dialler: _Dialler) -> None:
        delay = RECONNECT_MIN_S
        source = self.kernel.environment.random
        with dialler.scope:
            while True:
                opened_at = anyio.current_time()
                try:
                    to = dialler.vm.control_address
                    secure = await self.open_link(to)
                    await self.serve_link(secure, outgoing=True)
                except (errors.PeerUnreachable, errors.LinkClosed):
                    pass
                if anyio.current_time() - opened_at > STABLE_S:
                    delay = RECONNECT_MIN_S
                await anyio.sleep(delay * source.uniform(0.5, 1.0))
                delay = min(2 * delay, RECONNECT_MAX_S)

    def _has_upstream(self) -> bool:
        return any(link.outgoing for link in self.links)

    def is_orphan(self) -> bool:
        """Tell whether no peer has been reachable for a while."""
        orphan_s = anyio.current_time() - self._linked_at
        return not self.links and orphan_s >= ORPHAN_S

    async def _fallback(self) -> None:
        await self._members_known.wait()
        orphan_since = anyio.current_time()
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = anyio.current_time()
            if self._has_upstream():
                orphan_since = now
            elif now - orphan_since >= ORPHAN_S:
                await self._find_help()

    async def _find_help(self) -> None:
        connected = {link.peer.id for link in self.links if link.outgoing}
        others = [vm for vm in self._members.peers() if vm.id not in connected]
        source = self.kernel.environment.random
        candidates = source.sample(others, min(HELPERS, len(others)))
        async with anyio.create_task_group() as tasks:
            for vm in candidates:
                tasks.start_soon(self._try_helper, vm)
        if not self._has_upstream():
            await self._ask_platform()

    async def _try_helper(self, vm: vms.Vm) -> None:
        try:
            secure = await self.open_link(vm.control_address)
        except (errors.PeerUnreachable, errors.LinkClosed):
            return
        self._tasks.start_soon(self._use_helper, secure)
        await anyio.sleep(0)

    async def _use_helper(self, secure: secure_link.SecureLink) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._release_helper, tasks.cancel_scope)
            await self.serve_link(secure, outgoing=True)
            tasks.cancel_scope.cancel()

    async def _release_helper(self, scope: anyio.CancelScope) -> None:
        """End a helper's link when a regular one has been up for a while."""
        up_since = None
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = anyio.current_time()
            wanted = self._members.position.upstream
            regular = {link.peer.id for link in self.links if link.outgoing}
            if not wanted.keys() & regular:
                up_since = None
            elif up_since is None:
                up_since = now
            elif now - up_since > STABLE_S:
                scope.cancel()

    async def _ask_platform(self) -> None:
        """Read both documents, at most once in about 10 s."""
        now = anyio.current_time()
        if now < self._ask_platform_at:
            return
        source = self.kernel.environment.random
        pause = ASK_PLATFORM_INTERVAL_S * source.uniform(1.0, 1.5)
        self._ask_platform_at = now + pause
        await anyio.sleep(source.uniform(0.0, 1.0))
        try:
            await self._reader.read_members()
            await self._reader.read_manifest()
        except (errors.PlatformKeyMissing, errors.PlatformUnavailable):
            return

    async def _fetch_reported(self) -> None:
        while True:
            await self._report.wait()
            self._report = anyio.Event()
            reported, self._reported = self._reported, {}
            async with anyio.create_task_group() as tasks:
                for control, revision in reported.items():
                    tasks.start_soon(self._fetch, control, revision)
            await anyio.sleep(FETCH_INTERVAL_S)

    async def _fetch(self, control: address.Address, revision: int) -> None:
        with anyio.move_on_after(FETCH_TIMEOUT_S):
            try:
                secure = await self.open_link(control)
            except (errors.PeerUnreachable, errors.LinkClosed):
                return
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.serve_link, secure, False)
                await self._store.wait_for_change(revision - 1)
                tasks.cancel_scope.cancel()
