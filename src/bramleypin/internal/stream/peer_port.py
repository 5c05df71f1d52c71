"""Sends and receives frames between daemons over UDP."""

import typing

from bramleypin import errors
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import datagram
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import guard
from bramleypin.internal.stream import recent_hosts

FRAMES_RECEIVED = metrics.declare(
    "stream.frames_received", "counter", "frames", "Frames of other daemons."
)
FRAMES_INVALID = metrics.declare(
    "stream.frames_invalid",
    "counter",
    "frames",
    "Datagrams of other daemons that are no frame.",
)
FRAMES_TOO_LONG = metrics.declare(
    "stream.frames_too_long",
    "counter",
    "frames",
    "Frames that were not sent, as they exceed the receivers' limit.",
)
# Counters by the reason of ``InvalidFrame``.
FRAMES_INVALID_BY_REASON = {
    reason: metrics.declare(
        f"stream.frames_invalid.{reason}", "counter", "frames", meaning
    )
    for reason, meaning in (
        ("bad_length", "Frames that are too short or too long."),
        ("bad_kind", "Frames of an unknown kind, or cut off."),
        (
            "bad_header",
            "Frames whose fields are missing or of another type, as in those "
            "of an older version.",
        ),
    )
}
RECENT_PEER_S = 5.0

_log = logs.get("peer_port")

Handler = typing.Callable[[typing.Any, bytes, str], None]


@kernel_module.service(
    "peer_port", roles=("stream_balancer", "stream_agent"), needs=("metrics",)
)
class PeerPort(kernel_module.Service):
    """Sends frames and dispatches received ones to registered handlers.

    A handler is called with the message, the packet that follows it and the
    sender's host. ``newest`` is the highest era and revision of a view that a
    peer has announced, and ``newest_host`` is that peer. ``on_newer_era`` is
    called when the era of ``newest`` rises.
    """

    newest: tuple[int, int] = frames.NO_STAMP

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._handler_by_message: dict[type, Handler] = {}
        self._metrics = kernel.get("metrics")
        self._port_number = kernel.settings.peers.port
        self.newest_host = ""
        self.on_newer_era: typing.Callable[[], None] = lambda: None
        self._recent_peers = recent_hosts.RecentHosts(RECENT_PEER_S)

    async def start(self) -> None:
        """Open the UDP port."""
        self._port = await self.kernel.environment.open_datagram_port(
            self.kernel.settings.peers
        )

    def set_handler(
        self, message: type[frames.Message], handler: Handler
    ) -> None:
        """Register the handler of a message class."""
        self._handler_by_message[message] = handler

    def send(
        self, host: str, message: frames.Message, packet: bytes = b""
    ) -> None:
        """Send a frame to the daemon on a host."""
        self._send_frame((host,), message, packet)

    def send_to_all(
        self, hosts: typing.Iterable[str], message: frames.Message
    ) -> None:
        """Send the same message to the daemons on several hosts."""
        self._send_frame(hosts, message, b"")

    def _send_frame(
        self,
        hosts: typing.Iterable[str],
        message: frames.Message,
        packet: bytes,
    ) -> None:
        """Send a frame; one that is too long is dropped, like a lost one."""
        try:
            data = frames.encode(message, packet)
        except errors.FrameTooLong as error:
            self._metrics.count(FRAMES_TOO_LONG)
            _log.warn_throttled("long", "frame not sent", error=str(error))
            return
        for host in hosts:
            self._port.send(data, (host, self._port_number))

    def send_raw(self, data: bytes, destination: tuple[str, int]) -> None:
        """Send a packet without a frame, e.g. to a caller."""
        self._port.send(data, destination)

    async def run(self) -> None:
        """Dispatch received frames until the port is closed."""
        await datagram.serve(self._port, self._on_datagram)

    def _on_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        sender_host = sender[0]
        try:
            message, packet = frames.decode(data)
        except errors.InvalidFrame as error:
            self._metrics.count(FRAMES_INVALID)
            self._metrics.count(FRAMES_INVALID_BY_REASON[error.reason])
            _log.warn_throttled(
                f"invalid {error.reason}",
                "frame refused",
                reason=error.reason,
                host=sender_host,
                error=str(error)[:200],
            )
            return
        self._metrics.count(FRAMES_RECEIVED)
        stamp = message.view_stamp()
        if stamp[1] >= 0:
            self._recent_peers.record(sender_host)
            self._record_stamp(stamp, sender_host)
        handler = self._handler_by_message.get(type(message))
        if handler is not None:
            guard.call(self._metrics, handler, message, packet, sender_host)

    def _record_stamp(self, stamp: tuple[int, int], host: str) -> None:
        if stamp <= self.newest:
            return
        has_newer_era = stamp[0] > self.newest[0]
        self.newest, self.newest_host = stamp, host
        if has_newer_era:
            self.on_newer_era()

    def recent_peer_hosts(self) -> list[str]:
        """Return the hosts that announced a view recently, newest first."""
        return self._recent_peers.newest_first()

    def forget(self, host: str) -> None:
        """Discard the state of a daemon that cannot be reached."""
        self._recent_peers.forget(host)
        if host == self.newest_host:
            self.newest, self.newest_host = frames.NO_STAMP, ""

    async def stop(self) -> None:
        """Close the UDP port."""
        await self._port.aclose()
