"""Collects the status of a running daemon."""

import typing

import anyio

import bramleypin
from bramleypin.internal import kernel as kernel_module


@kernel_module.service("status", roles=("balancer", "agent"))
class Status(kernel_module.Service):
    """Assembles the status from sections that other services register."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._collector_by_section: dict[
            str, typing.Callable[[], dict[str, typing.Any]]
        ] = {}
        self._started_s = 0.0

    async def start(self) -> None:
        """Record the start time, from which the uptime is computed."""
        self._started_s = anyio.current_time()

    def register(
        self,
        section: str,
        collect_section: typing.Callable[[], dict[str, typing.Any]],
    ) -> None:
        """Register a section of the status.

        ``collect_section`` is called for every status request.
        """
        self._collector_by_section[section] = collect_section

    def collect(self) -> dict[str, typing.Any]:
        """Return all sections, with the id, role and revision of the process.

        If collecting a section fails, the section holds the error, so that an
        operator still sees the other sections.
        """
        settings = self.kernel.settings
        view_store = self.kernel.service_by_name.get("view")
        result: dict[str, typing.Any] = {
            "id": settings.id,
            "role": settings.role,
            "failure_domain": settings.failure_domain,
            "version": bramleypin.__version__,
            "uptime_s": anyio.current_time() - self._started_s,
            "revision": 0 if view_store is None else view_store.view.revision,
        }
        metrics = self.kernel.service_by_name.get("metrics")
        if metrics is not None:
            result["metrics"] = metrics.snapshot()
        for section, collect_section in self._collector_by_section.items():
            try:
                result[section] = collect_section()
            except Exception as error:
                message = f"{type(error).__name__}: {error}"
                result[section] = {"error": message}
        return result
