"""The active view of the configuration in a process."""

import collections
import dataclasses
import typing

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.model import configuration
from bramleypin.internal.model import view as view_module

# A peer that is at most this many changes behind receives a delta; others
# receive the shards that differ.
CHANGE_LOG_SIZE = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Names of the services that changed from ``base`` to ``revision``."""

    base: int
    revision: int
    names: tuple[str, ...]


@kernel_module.service("view", roles=("balancer", "agent"))
class ViewStore(kernel_module.Service):
    """Holds the active view, whose revision increases monotonically."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.view = view_module.empty()
        self.listeners: list[typing.Callable[[], None]] = []
        self._changed = anyio.Event()
        self._changes: collections.deque[Change] = collections.deque(
            maxlen=CHANGE_LOG_SIZE
        )
        self._encoded_manifest = b""

    def apply(
        self,
        manifest: configuration.Manifest,
        changed: dict[str, bytes | None],
    ) -> None:
        """Apply a newer revision; after an error the view is unchanged.

        :raises errors.StaleRevision: when the revision is not newer.
        :raises errors.ConflictingRevision: when the active revision has the
            same number and other contents.
        :raises errors.InvalidConfiguration: when any part of it is invalid.
        """
        limit = self.kernel.settings.limits.decoded_services
        base_revision = self.view.revision
        self.view = view_module.advance(self.view, manifest, changed, limit)
        self._changes.append(
            Change(base_revision, manifest.revision, (*changed,))
        )
        self._encoded_manifest = b""
        self._changed.set()
        self._changed = anyio.Event()
        for listener in self.listeners:
            listener()

    async def wait_for_change(self, revision: int) -> view_module.View:
        """Return the view as soon as its revision exceeds ``revision``."""
        while self.view.revision <= revision:
            await self._changed.wait()
        return self.view

    def encoded_manifest(self) -> bytes:
        """Return the encoded manifest, which is cached per revision."""
        if not self._encoded_manifest:
            manifest = self.view.manifest
            self._encoded_manifest = configuration.encode(manifest)
        return self._encoded_manifest

    def delta(self, since: int) -> dict[str, bytes | None] | None:
        """Return the services that changed after a revision.

        The values are those of the active view, so the delta also fits a
        receiver that has advanced past ``since`` in the meantime. A delta for
        a revision that this process skipped may lack a change. The receiver
        then finds that the digests do not match and asks for whole shards.
        ``None`` means that the change log does not reach back to ``since``.
        """
        newer_changes = [
            item for item in self._changes if item.revision > since
        ]
        if not newer_changes or newer_changes[0].base > since:
            return None
        encoded = self.view.encoded_by_service
        return {
            name: encoded.get(name)
            for item in newer_changes
            for name in item.names
        }

    def shards(self, numbers: set[int]) -> dict[int, dict[str, bytes]]:
        """Return the encoded services of the given shards, by shard."""
        by_shard: dict[int, dict[str, bytes]] = {n: {} for n in numbers}
        for name, encoded in self.view.encoded_by_service.items():
            number = configuration.shard_of(name)
            if number in by_shard:
                by_shard[number][name] = encoded
        return by_shard

    def diff_shards(
        self, shards: dict[int, dict[str, bytes]]
    ) -> dict[str, bytes | None]:
        """Return the changes from the view to the given whole shards.

        A removed service has the value ``None``.
        """
        changed: dict[str, bytes | None] = {}
        for number, own_services in self.shards(set(shards)).items():
            new_services = shards[number]
            for name in own_services.keys() - new_services.keys():
                changed[name] = None
            for name, encoded in new_services.items():
                if own_services.get(name) != encoded:
                    changed[name] = encoded
        return changed
