"""Serves the readiness check of the network fabric over HTTP."""

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import http_server


@kernel_module.service(
    "readiness", roles=("stream_balancer", "stream_agent"), needs=("view",)
)
class Readiness(kernel_module.Service):
    """Answers 200 while a view is loaded and the daemon is not draining."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.leaving = False
        self._view_manager = kernel.get("view")
        self._server = http_server.HttpServer(self._answer, "readiness")

    def status(self) -> int:
        """Return the HTTP status: 200 when ready, otherwise 503."""
        return (
            200 if self._view_manager.view.loaded and not self.leaving else 503
        )

    def _answer(self, path: bytes) -> http_server.Answer:
        expected = self.kernel.settings.readiness_path.encode("ascii")
        return http_server.Answer(self.status() if path == expected else 404)

    async def start(self) -> None:
        """Open the listener."""
        self._listener = await self.kernel.environment.open_listener(
            self.kernel.settings.readiness
        )

    async def run(self) -> None:
        """Serve connections until cancelled."""
        await self._listener.serve(self._server.serve)

    async def stop(self) -> None:
        """Close the listener."""
        await self._listener.aclose()
