"""Answers the fabric's question whether a daemon takes part."""

import anyio
import anyio.abc
import h11

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import http_response
from bramleypin.internal.observe import logs

RECEIVE_BYTES = 4_096
# A connection that asks nothing for this long is closed.
IDLE_S = 10.0

_log = logs.get("readiness")


@kernel_module.service(
    "readiness", roles=("stream_balancer", "stream_agent"), needs=("view",)
)
class Readiness(kernel_module.Service):
    """Serves 200 while the daemon has a view and is not leaving."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.leaving = False
        self._keeper = kernel.get("view")

    def status(self) -> int:
        """Return the HTTP status of an answer given now."""
        return 200 if self._keeper.view.loaded and not self.leaving else 503

    async def start(self) -> None:
        """Open the listener."""
        self._listener = await self.kernel.environment.open_listener(
            self.kernel.settings.readiness
        )

    async def run(self) -> None:
        """Serve connections until cancelled."""
        await self._listener.serve(self._serve)

    async def stop(self) -> None:
        """Close the listener."""
        await self._listener.aclose()

    async def _serve(self, stream: anyio.abc.ByteStream) -> None:
        connection = h11.Connection(h11.SERVER)
        try:
            async with stream:
                with anyio.move_on_after(IDLE_S) as scope:
                    while await self._answer_one(connection, stream):
                        scope.deadline = anyio.current_time() + IDLE_S
        except http_response.FAILURES as error:
            _log.limited("connection", "connection ended", error=repr(error))

    async def _answer_one(
        self, connection: h11.Connection, stream: anyio.abc.ByteStream
    ) -> bool:
        """Answer one request; tell whether another one may follow."""
        path = b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                try:
                    data = await stream.receive(RECEIVE_BYTES)
                except anyio.EndOfStream:
                    data = b""
                connection.receive_data(data)
            elif isinstance(event, h11.Request):
                path = event.target
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                return False
        expected = self.kernel.settings.readiness_path.encode("ascii")
        status = self.status() if path == expected else 404
        response = h11.Response(
            status_code=status, headers=[("Content-Length", "0")]
        )
        sent = connection.send(response)
        await stream.send(sent + connection.send(h11.EndOfMessage()))
        if connection.our_state is not h11.DONE:
            return False
        connection.start_next_cycle()
        return True
