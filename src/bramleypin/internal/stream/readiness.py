"""Answers the fabric's question whether a daemon takes part."""

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import http_server


@kernel_module.service(
    "readiness", roles=("stream_balancer", "stream_agent"), needs=("view",)
)
class Readiness(kernel_module.Service):
    """Serves 200 while the daemon has a view and is not leaving."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.leaving = False
        self._keeper = kernel.get("view")
        self._server = http_server.HttpServer(self._page, "readiness")

    def status(self) -> int:
        """Return the HTTP status of an answer given now."""
        return 200 if self._keeper.view.loaded and not self.leaving else 503

    def _page(self, path: bytes) -> http_server.Answer:
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
