"""What a running daemon says about itself."""

import typing

from bramleypin.internal import kernel as kernel_module


@kernel_module.service("status", roles=("balancer", "agent"))
class Status(kernel_module.Service):
    """Collects sections that other services register."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._source_by_section: dict[
            str, typing.Callable[[], dict[str, typing.Any]]
        ] = {}

    def register(
        self, section: str, source: typing.Callable[[], dict[str, typing.Any]]
    ) -> None:
        """Add a section; ``source`` is called for every status request."""
        self._source_by_section[section] = source

    def collect(self) -> dict[str, typing.Any]:
        """Return all sections with the process's id and role."""
        settings = self.kernel.settings
        result: dict[str, typing.Any] = {
            "id": settings.id,
            "role": settings.role,
            "failure_domain": settings.failure_domain,
        }
        for section, source in self._source_by_section.items():
            result[section] = source()
        return result
