"""The view that is in force in this process."""

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.model import configuration
from bramleypin.internal.model import view as view_module


@kernel_module.service("view", roles=("balancer", "agent"))
class ViewStore(kernel_module.Service):
    """Holds the accepted view; its revision only grows."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.view = view_module.empty()
        self._changed = anyio.Event()

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
        self.view = view_module.advance(self.view, manifest, changed, limit)
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for_change(self, revision: int) -> view_module.View:
        """Return the view as soon as its revision exceeds ``revision``."""
        while self.view.revision <= revision:
            await self._changed.wait()
        return self.view
