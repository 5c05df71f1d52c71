"""The view that is in force in this process."""

import collections
import dataclasses
import typing

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.model import configuration
from bramleypin.internal.model import view as view_module

# A peer that lacks no more than this many changes receives what changed;
# any other one receives the shards that differ.
CHANGES_KEPT = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Names of the services that changed between two revisions."""

    base: int
    revision: int
    names: tuple[str, ...]


@kernel_module.service("view", roles=("balancer", "agent"))
class ViewStore(kernel_module.Service):
    """Holds the accepted view; its revision only grows."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.view = view_module.empty()
        self.listeners: list[typing.Callable[[], None]] = []
        self._changed = anyio.Event()
        self._changes: collections.deque[Change] = collections.deque(
            maxlen=CHANGES_KEPT
        )
        self._encoded_manifest = b""

    def apply(
        self,
        manifest: configuration.Manifest,
        changed: dict[str, bytes | None],
    ) -> None:
        """Put a newer revision in force, or leave everything as it is.

        :raises errors.StaleRevision: when the revision is not higher.
        :raises errors.ConflictingRevision: same number, other contents.
        :raises errors.InvalidConfiguration: when anything in it is invalid.
        """
        limit = self.kernel.settings.limits.decoded_services
        before = self.view.revision
        self.view = view_module.advance(self.view, manifest, changed, limit)
        self._changes.append(Change(before, manifest.revision, (*changed,)))
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
        """Return the manifest as peers receive it."""
        if not self._encoded_manifest:
            manifest = self.view.manifest
            self._encoded_manifest = configuration.encode(manifest)
        return self._encoded_manifest

    def delta(self, since: int) -> dict[str, bytes | None] | None:
        """Return what changed after a revision.

        The services are as they are now, so the result also suits a
        receiver that has moved on from ``since`` in the meantime. A receiver
        at a revision that this process skipped may lack a change; the
        digests show that, and it asks for whole shards. ``None`` means that
        the log does not reach back to ``since``.
        """
        later = [item for item in self._changes if item.revision > since]
        if not later or later[0].base > since:
            return None
        encoded = self.view.encoded_by_service
        return {
            name: encoded.get(name) for item in later for name in item.names
        }

    def shards(self, numbers: set[int]) -> dict[int, dict[str, bytes]]:
        """Return the services of some shards."""
        by_shard: dict[int, dict[str, bytes]] = {n: {} for n in numbers}
        for name, encoded in self.view.encoded_by_service.items():
            number = configuration.shard_of(name)
            if number in by_shard:
                by_shard[number][name] = encoded
        return by_shard

    def differences(
        self, shards: dict[int, dict[str, bytes]]
    ) -> dict[str, bytes | None]:
        """Return how whole shards differ from those of the view."""
        changed: dict[str, bytes | None] = {}
        for number, own in self.shards(set(shards)).items():
            theirs = shards[number]
            for name in own.keys() - theirs.keys():
                changed[name] = None
            for name, encoded in theirs.items():
                if own.get(name) != encoded:
                    changed[name] = encoded
        return changed
