"""Reads manifest, shards and VM list from the platform, at a bounded rate."""

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
# A process that starts while no peer can help reads the manifest and all 64
# shards at once; twice that lets a second change of everything through.
READ_BURST = 130
WATCH_WAIT_S = 30.0
# A watch returns at once on a change. The pause before the next one joins
# changes that come together, and is short because a leaving endpoint must get
# no new work after 3 s.
MEMBERS_INTERVAL_S = 1.0
NO_MEMBERS_INTERVAL_S = 15.0
RETRY_MIN_S = 2.5
RETRY_MAX_S = 7.5
# A shard that is newer than the manifest belongs to a revision that is just
# being published.
MIXED_RETRY_S = 0.5

_log = logs.get("sync")


class Budget:
    """Calls to the platform that a process may still make (token bucket)."""

    def __init__(self) -> None:
        self._tokens = float(READ_BURST)
        self._updated_at = anyio.current_time()

    async def take(self) -> None:
        """Wait until a call is allowed."""
        while not self.try_take():
            await anyio.sleep((1.0 - self._tokens) / READS_PER_S)

    def try_take(self) -> bool:
        """Take a call if one is allowed now."""
        now = anyio.current_time()
        gained = (now - self._updated_at) * READS_PER_S
        self._tokens = min(float(READ_BURST), self._tokens + gained)
        self._updated_at = now
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True


@dataclasses.dataclass
class _Part:
    """What is kept of a part of the VM list."""

    version: int
    members: list[vms.Vm]


class PlatformReader:
    """Reads on behalf of ``sync``; all calls of a process come from here."""

    def __init__(self, kernel: kernel_module.Kernel, sync: typing.Any):
        self.kernel = kernel
        self._sync = sync
        self._store = kernel.get("view")
        self._members = kernel.get("members")
        self._lease = kernel.get("lease")
        self._metrics = kernel.get("metrics")
        self._budget = Budget()
        self._index_by_key: dict[str, int] = {}
        self._part_by_domain: dict[str, _Part] = {}

    async def watch_manifest(self) -> None:
        """Wait for a newer manifest once, and put it in force."""
        sent_at = anyio.current_time()
        value = await self._watch("manifest")
        if value is None:
            return
        await self._take_manifest(value, sent_at)

    async def read_manifest(self) -> None:
        """Read the manifest now, and put it in force when it is newer."""
        sent_at = anyio.current_time()
        value = await self._read("manifest")
        await self._take_manifest(value, sent_at)

    async def watch_members(self) -> None:
        """Wait for a newer VM list once, and take it over."""
        value = await self._watch("vms")
        if value is not None:
            await self._take_members(value)

    async def read_members(self) -> None:
        """Read the VM list now."""
        await self._take_members(await self._read("vms"))

    def retry_s(self) -> float:
        """Return how long to wait after a failed call, with jitter."""
        return self.kernel.environment.random.uniform(RETRY_MIN_S, RETRY_MAX_S)

    async def _call(self, call: typing.Awaitable) -> typing.Any:
        self._metrics.count(metric_names.PLATFORM_READS)
        try:
            return await call
        except errors.PlatformUnavailable:
            self._metrics.count(metric_names.PLATFORM_FAILURES)
            raise

    async def _read(self, name: str) -> environment.PlatformValue:
        await self._budget.take()
        source = self.kernel.environment.platform
        value = await self._call(source.read(self._key(name)))
        self._index_by_key[name] = value.index
        return value

    async def _watch(self, name: str) -> environment.PlatformValue | None:
        after = self._index_by_key.get(name)
        if after is None:
            return await self._read(name)
        await self._budget.take()
        source = self.kernel.environment.platform
        try:
            value = await self._call(
                source.watch(self._key(name), after, WATCH_WAIT_S)
            )
        except errors.PlatformUnavailable:
            # The service may come back with another index; a read shows it.
            self._index_by_key.pop(name, None)
            raise
        if value is not None:
            self._index_by_key[name] = value.index
        return value

    def _key(self, name: str) -> str:
        return f"{self.kernel.settings.platform.prefix}/{name}"

    async def _take_manifest(
        self, value: environment.PlatformValue, sent_at: float
    ) -> None:
        try:
            manifest = configuration.decode(
                value.value, configuration.Manifest, "manifest"
            )
            if manifest.revision > self._store.view.revision:
                shards = await self._read_shards(manifest)
                if shards is None:
                    self._index_by_key.pop("manifest", None)
                    await anyio.sleep(MIXED_RETRY_S)
                    return
                changed = self._store.differences(shards)
                self._sync.offer(manifest, changed, "platform")
            elif manifest != self._store.view.manifest:
                self._sync.offer(manifest, {}, "platform")
        except errors.InvalidConfiguration as error:
            self._sync.report_invalid(error, "platform")
            return
        # A replica may be stale without knowing it, so that the platform
        # confirms the view only when no other process can be asked.
        if not self._members.peers() or self._sync.is_orphan():
            self._lease.confirm(sent_at, manifest.revision)

    async def _read_shards(
        self, manifest: configuration.Manifest
    ) -> dict[int, dict[str, bytes]] | None:
        """Read the shards that differ; ``None`` when they do not fit."""
        own = self._store.view.manifest.digest_by_shard
        digests = manifest.digest_by_shard
        shards = {n: {} for n in own.keys() - digests.keys()}
        for number, digest in digests.items():
            if own.get(number) == digest:
                continue
            value = await self._read(f"shard/{number:02d}")
            services = configuration.decode_shard(
                value.value, f"shard {number}"
            )
            if configuration.shard_digest(services) != digest:
                return None
            shards[number] = services
            if self._store.view.revision >= manifest.revision:
                # A peer has delivered the revision in the meantime.
                return {}
        return shards

    async def _take_members(self, value: environment.PlatformValue) -> None:
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
            if domain != self._members.own.failure_domain:
                members = _summary(members)
            part = _Part(document.version, members)
            self._part_by_domain[domain] = part
        return part.members


def _summary(members: list[vms.Vm]) -> list[vms.Vm]:
    """Keep what other failure domains need: readers and leaving VMs."""
    readers = trees.rank_members(members, 0)[: trees.READERS_PER_DOMAIN]
    leaving = [vm for vm in members if vm.state == "leaving"]
    return [*readers, *(vm for vm in leaving if vm not in readers)]
