"""Reads the manifest, shards and VM list from the platform, rate-limited."""

import dataclasses
import typing

import anyio

from bramleypin import errors
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.membership import metric_names
from bramleypin.internal.membership import trees
from bramleypin.internal.model import configuration
from bramleypin.internal.model import vms
from bramleypin.internal.net import environment
from bramleypin.internal.observe import logs

READS_PER_S = 0.2
# A process that starts without a reachable peer reads the manifest and all 64
# shards at once. The burst is twice that number, which leaves room for one
# more change of all shards.
READ_BURST = 130
WATCH_WAIT_S = 30.0
# Pause between two watches of the VM list. A watch returns at once on a
# change, so the pause batches changes that follow each other closely. The
# pause is short because a leaving endpoint must get no new work after 3 s.
MEMBERS_INTERVAL_S = 1.0
# Interval between attempts while the platform has no VM list.
NO_MEMBERS_INTERVAL_S = 15.0
RETRY_MIN_S = 2.5
RETRY_MAX_S = 7.5
# Delay before the manifest is read again after a shard did not match its
# digest; this happens while a newer revision is being published.
INCONSISTENT_READ_RETRY_S = 0.5

_log = logs.get("sync")


class TokenBucket:
    """A token bucket that limits this process's calls to the platform."""

    def __init__(self) -> None:
        self._tokens = float(READ_BURST)
        self._updated_at = anyio.current_time()

    async def acquire(self) -> None:
        """Wait until a call is allowed, and take its token."""
        while not self.try_acquire():
            await anyio.sleep((1.0 - self._tokens) / READS_PER_S)

    def try_acquire(self) -> bool:
        """Take a token and return ``True`` if a call is allowed now."""
        now = anyio.current_time()
        refill = (now - self._updated_at) * READS_PER_S
        self._tokens = min(float(READ_BURST), self._tokens + refill)
        self._updated_at = now
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True


@dataclasses.dataclass
class _CachedPart:
    """A cached part of the VM list, which holds one failure domain."""

    version: int
    members: list[vms.Vm]


class PlatformReader:
    """Makes all calls of a process to the platform, for ``sync``."""

    def __init__(self, kernel: kernel_module.Kernel, sync: typing.Any):
        self.kernel = kernel
        self._sync = sync
        self._view_store = kernel.get("view")
        self._members = kernel.get("members")
        self._lease = kernel.get("lease")
        self._metrics = kernel.get("metrics")
        self._call_limiter = TokenBucket()
        self._index_by_key: dict[str, int] = {}
        self._part_by_domain: dict[str, _CachedPart] = {}

    async def watch_manifest(self) -> None:
        """Wait once for a newer manifest, and apply it."""
        sent_at = anyio.current_time()
        value = await self._watch("manifest")
        if value is None:
            return
        await self._apply_manifest(value, sent_at)

    async def read_manifest(self) -> None:
        """Read the manifest now, and apply it when it is newer."""
        sent_at = anyio.current_time()
        value = await self._read("manifest")
        await self._apply_manifest(value, sent_at)

    async def watch_members(self) -> None:
        """Wait once for a newer VM list, and apply it."""
        value = await self._watch("vms")
        if value is not None:
            await self._apply_members(value)

    async def read_members(self) -> None:
        """Read the VM list now, and apply it when it is newer."""
        await self._apply_members(await self._read("vms"))

    def retry_delay_s(self) -> float:
        """Return a random delay before a failed call is repeated."""
        return self.kernel.environment.random.uniform(RETRY_MIN_S, RETRY_MAX_S)

    async def _count_call(self, call: typing.Awaitable) -> typing.Any:
        self._metrics.count(metric_names.PLATFORM_READS)
        try:
            return await call
        except errors.PlatformUnavailable:
            self._metrics.count(metric_names.PLATFORM_FAILURES)
            raise

    async def _read(self, name: str) -> environment.PlatformValue:
        await self._call_limiter.acquire()
        platform = self.kernel.environment.platform
        value = await self._count_call(platform.read(self._key(name)))
        self._index_by_key[name] = value.index
        return value

    async def _watch(self, name: str) -> environment.PlatformValue | None:
        last_index = self._index_by_key.get(name)
        if last_index is None:
            return await self._read(name)
        await self._call_limiter.acquire()
        platform = self.kernel.environment.platform
        try:
            value = await self._count_call(
                platform.watch(self._key(name), last_index, WATCH_WAIT_S)
            )
        except errors.PlatformUnavailable:
            # After an outage the platform may have a different index for the
            # key. The next call is therefore a read, which returns the index.
            self._index_by_key.pop(name, None)
            raise
        if value is not None:
            self._index_by_key[name] = value.index
        return value

    def _key(self, name: str) -> str:
        return f"{self.kernel.settings.platform.prefix}/{name}"

    async def _apply_manifest(
        self, value: environment.PlatformValue, sent_at: float
    ) -> None:
        try:
            manifest = configuration.decode(
                value.value, configuration.Manifest, "manifest"
            )
            if manifest.revision > self._view_store.view.revision:
                shards = await self._read_shards(manifest)
                if shards is None:
                    self._index_by_key.pop("manifest", None)
                    await anyio.sleep(INCONSISTENT_READ_RETRY_S)
                    return
                changed = self._view_store.diff_shards(shards)
                self._sync.offer(manifest, changed, "platform")
            elif manifest != self._view_store.view.manifest:
                self._sync.offer(manifest, {}, "platform")
        except errors.InvalidConfiguration as error:
            self._sync.report_invalid(error, "platform")
            return
        # A platform replica may be stale without reporting it. Its answer
        # therefore extends the lease only when no peer can be asked.
        if not self._members.peers() or self._sync.is_disconnected():
            self._lease.confirm(sent_at, manifest.revision)

    async def _read_shards(
        self, manifest: configuration.Manifest
    ) -> dict[int, dict[str, bytes]] | None:
        """Return the services of the shards that differ from the view.

        ``None`` means that a shard did not match its digest in the manifest.
        """
        own_digests = self._view_store.view.manifest.digest_by_shard
        digests = manifest.digest_by_shard
        shards = {n: {} for n in own_digests.keys() - digests.keys()}
        for number, digest in digests.items():
            if own_digests.get(number) == digest:
                continue
            value = await self._read(f"shard/{number:02d}")
            services = configuration.decode_shard(
                value.value, f"shard {number}"
            )
            if configuration.shard_digest(services) != digest:
                return None
            shards[number] = services
            if self._view_store.view.revision >= manifest.revision:
                # The revision has arrived from a peer in the meantime.
                return {}
        return shards

    async def _apply_members(self, value: environment.PlatformValue) -> None:
        try:
            document = vms.decode(value.value)
            if document.version <= self._members.version:
                return
            members = list(document.vms)
            for domain, version in document.version_by_part.items():
                members.extend(await self._read_part(domain, version))
        except errors.InvalidConfiguration as error:
            self._sync.report_invalid(error, "platform")
            return
        self._members.apply_list(document.version, members)

    async def _read_part(self, domain: str, version: int) -> list[vms.Vm]:
        part = self._part_by_domain.get(domain)
        if part is None or part.version < version:
            value = await self._read(f"vms/{domain}")
            document = vms.decode(value.value)
            members = [
                vm for vm in document.vms if vm.failure_domain == domain
            ]
            if domain != self._members.own_vm.failure_domain:
                members = _select_for_other_domains(members)
            part = _CachedPart(document.version, members)
            self._part_by_domain[domain] = part
        return part.members


def _select_for_other_domains(members: list[vms.Vm]) -> list[vms.Vm]:
    """Return the VMs that other failure domains need to know.

    These are the readers of the first tree and the VMs that are leaving.
    """
    readers = trees.rank_members(members, 0)[: trees.READERS_PER_DOMAIN]
    leaving = [vm for vm in members if vm.state == "leaving"]
    return [*readers, *(vm for vm in leaving if vm not in readers)]
