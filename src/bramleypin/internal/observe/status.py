"""What a running daemon says about itself."""

import typing

import anyio

import bramleypin
from bramleypin.internal import kernel as kernel_module


@kernel_module.service("status", roles=("balancer", "agent"))
class Status(kernel_module.Service):
    """Collects sections that other services register."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._source_by_section: dict[
            str, typing.Callable[[], dict[str, typing.Any]]
        ] = {}
        self._started_s = 0.0

    async def start(self) -> None:
        """Remember when the process started, for its uptime."""
        self._started_s = anyio.current_time()

    def register(
        self, section: str, source: typing.Callable[[], dict[str, typing.Any]]
    ) -> None:
        """Add a section; ``source`` is called for every status request."""
        self._source_by_section[section] = source

    def collect(self) -> dict[str, typing.Any]:
        """Return all sections with the process's id, role and revision.

        A section whose source fails is replaced by the error, so that an
        operator sees the others in the very moment when a part is broken.
        """
        settings = self.kernel.settings
        store = self.kernel.service_by_name.get("view")
        result: dict[str, typing.Any] = {
            "id": settings.id,
            "role": settings.role,
            "failure_domain": settings.failure_domain,
            "version": bramleypin.__version__,
            "uptime_s": anyio.current_time() - self._started_s,
            "revision": 0 if store is None else store.view.revision,
        }
        metrics = self.kernel.service_by_name.get("metrics")
        if metrics is not None:
            result["metrics"] = metrics.snapshot()
        for section, source in self._source_by_section.items():
            try:
                result[section] = source()
            except Exception as error:
                text = f"{type(error).__name__}: {error}"
                result[section] = {"error": text}
        return result
