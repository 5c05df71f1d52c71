"""The UDP port for frames between daemons."""

import typing

from bramleypin import errors
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import datagram
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import recent_hosts

RECEIVED = metrics.declare(
    "stream.frames_received", "counter", "frames", "Frames of other daemons."
)
INVALID = metrics.declare(
    "stream.frames_invalid",
    "counter",
    "frames",
    "Datagrams of other daemons that are no frame.",
)
BURST = 64
HEARD_S = 5.0

Handler = typing.Callable[[typing.Any, bytes, str], None]


@kernel_module.service(
    "peer_port", roles=("stream_balancer", "stream_agent"), needs=("metrics",)
)
class PeerPort(kernel_module.Service):
    """Sends frames and hands received ones to the registered handlers.

    A handler gets the message, the packet after it and the sender's host.
    """

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._handler_by_message: dict[type, Handler] = {}
        self._metrics = kernel.get("metrics")
        self._port_number = kernel.settings.peers.port
        self.newest_revision = -1
        self.newest_host = ""
        self._recent = recent_hosts.RecentHosts(HEARD_S)

    async def start(self) -> None:
        """Open the port."""
        self._port = await self.kernel.environment.open_datagram_port(
            self.kernel.settings.peers
        )

    def on(self, message: type[frames.Message], handler: Handler) -> None:
        """Register the handler of a kind of message."""
        self._handler_by_message[message] = handler

    def send(
        self, host: str, message: frames.Message, packet: bytes = b""
    ) -> None:
        """Send a frame to the daemon on a host."""
        data = frames.encode(message, packet)
        self._port.send(data, (host, self._port_number))

    def send_raw(self, data: bytes, to: tuple[str, int]) -> None:
        """Send a packet that is not for a daemon."""
        self._port.send(data, to)

    async def run(self) -> None:
        """Read frames until the port is closed."""
        burst: list[tuple[bytes, tuple[str, int]]] = []
        while True:
            burst.append(await self._port.receive())
            datagram.receive_more(self._port, BURST, burst)
            for data, sender in burst:
                self._dispatch(data, sender[0])
            burst.clear()

    def _dispatch(self, data: bytes, sender_host: str) -> None:
        try:
            message, packet = frames.decode(data)
        except errors.InvalidFrame:
            self._metrics.count(INVALID)
            return
        self._metrics.count(RECEIVED)
        revision = message.view_revision()
        if revision >= 0:
            self._recent.heard(sender_host)
            if revision > self.newest_revision:
                self.newest_revision = revision
                self.newest_host = sender_host
        handler = self._handler_by_message.get(type(message))
        if handler is not None:
            handler(message, packet, sender_host)

    def heard_hosts(self) -> list[str]:
        """Return the daemons that sent something within the last seconds."""
        return self._recent.newest_first()

    def forget(self, host: str) -> None:
        """Note that a daemon cannot be reached."""
        self._recent.forget(host)
        if host == self.newest_host:
            self.newest_revision, self.newest_host = -1, ""

    async def stop(self) -> None:
        """Close the port."""
        await self._port.aclose()
