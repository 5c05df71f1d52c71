"""Ingress: receives callers' datagrams and sends answers to callers."""

import socket
import struct
import typing

import anyio

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.balancer import drops
from bramleypin.internal.balancer import fast_path
from bramleypin.internal.balancer import flow_key
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import datagram as datagram_module
from bramleypin.internal import registry
from bramleypin.internal.wire import proxy_header

# Maximum number of bursts handled before other tasks run.
MAX_BURSTS_PER_TURN = 32
ANCILLARY_BUFFER_BYTES = 64

# struct in_pktinfo of ip(7): interface, local address, destination address.
_PKTINFO = struct.Struct("=I4s4s")
# The socket module may lack IP_PKTINFO, which is 8 on Linux.
_IP_PKTINFO = getattr(socket, "IP_PKTINFO", 8)


class IngressVariant(typing.Protocol):
    """A way to receive callers' datagrams and to send answers."""

    addresses: list[address.Address]

    async def start(self) -> None:
        """Open the sockets."""

    async def run(self, handle_burst: typing.Callable) -> None:
        """Pass lists of proxied datagrams to ``handle_burst``.

        Each item is a pair: the flow key followed by the datagram, and the
        address that it came from or ``None``.
        """

    def send(
        self,
        data: bytes,
        caller: address.Address,
        service_address: address.Address,
        via: address.Address | None,
    ) -> None:
        """Send an answer to a caller."""

    async def stop(self) -> None:
        """Close the sockets."""


VARIANTS: registry.Registry[type] = registry.Registry("ingress variant")


@kernel_module.service("ingress", roles=("balancer",), needs=("metrics",))
class Ingress(kernel_module.Service):
    """Runs the ingress variant named in the settings."""

    async def start(self) -> None:
        """Open the variant's sockets."""
        name = self.kernel.settings.ingress.variant
        self._variant = VARIANTS.get(name)(self.kernel)
        await self._variant.start()

    async def run(self) -> None:
        """Pass datagrams to the forwarder until the sockets are closed."""
        await self.kernel.started.wait()
        forwarder = self.kernel.get("forwarder")
        await self._variant.run(forwarder.handle_burst)

    async def stop(self) -> None:
        """Close the sockets."""
        await self._variant.stop()

    @property
    def addresses(self) -> list[address.Address]:
        """Addresses on which the ingress listens."""
        return self._variant.addresses

    def send(
        self,
        datagram: bytes,
        caller: address.Address,
        service_address: address.Address,
        via: address.Address | None = None,
    ) -> None:
        """Send an answer to a caller.

        ``via`` is the address that the flow's datagrams come from,
        or ``None`` if it is unknown.
        """
        self._variant.send(datagram, caller, service_address, via)


@VARIANTS.register("proxied")
class ProxiedIngress:
    """Receives datagrams with PROXY protocol v2 headers from the fabric."""

    def __init__(self, kernel: kernel_module.Kernel):
        self._kernel = kernel
        self._metrics = kernel.get("metrics")

    async def start(self) -> None:
        """Open the ingress port at the address in the settings."""
        listen_address = address.parse(self._kernel.settings.ingress.address)
        self.port = await self._kernel.environment.open_datagram_port(
            listen_address
        )

    @property
    def addresses(self) -> list[address.Address]:
        """Address of the ingress port."""
        return [self.port.address]

    async def run(self, handle_burst: typing.Callable) -> None:
        """Receive until the port is closed.

        Headers are not validated here: cached flows are looked up by the
        whole header, so the forwarder only has to check the headers of
        other flows.
        """
        while True:
            try:
                burst = [await self.port.receive()]
                for _ in range(MAX_BURSTS_PER_TURN):
                    datagram_module.receive_more(
                        self.port, fast_path.MAX_BURST, burst
                    )
                    if burst:
                        handle_burst(burst)
                    if len(burst) < fast_path.MAX_BURST:
                        break
                    burst = []
            except errors.PortClosed:
                return

    def send(
        self,
        data: bytes,
        caller: address.Address,
        service_address: address.Address,
        via: address.Address | None,
    ) -> None:
        """Send an answer with a PROXY header to the fabric.

        ``via`` is the fabric's address from which the flow's last datagram
        came.
        """
        if via is None:
            drops.count(self._metrics, "no_ingress_path")
            return
        header = proxy_header.encode(service_address, caller)
        self.port.send(header + data, via)

    async def stop(self) -> None:
        """Close the ingress port."""
        await self.port.aclose()


@VARIANTS.register("direct")
class DirectIngress:
    """Receives datagrams on one wildcard socket for each port.

    IP_PKTINFO gives the destination address of each datagram, so that
    thousands of service addresses don't need a socket each.
    """

    def __init__(self, kernel: kernel_module.Kernel):
        self._kernel = kernel
        self._metrics = kernel.get("metrics")
        self._socket_by_port: dict[int, socket.socket] = {}

    async def start(self) -> None:
        """Open a socket for each port in the settings."""
        for port in self._kernel.settings.ingress.ports:
            sock = datagram_module.new_socket()
            sock.setsockopt(socket.IPPROTO_IP, _IP_PKTINFO, 1)
            sock.bind(("", port))
            self._socket_by_port[sock.getsockname()[1]] = sock

    @property
    def addresses(self) -> list[address.Address]:
        """Wildcard address with each of the open ports."""
        return [
            address.Address("0.0.0.0", port) for port in self._socket_by_port
        ]

    async def run(self, handle_burst: typing.Callable) -> None:
        """Receive on all sockets, with one task for each."""
        async with anyio.create_task_group() as tasks:
            for port, sock in self._socket_by_port.items():
                tasks.start_soon(self._read, port, sock, handle_burst)

    async def _read(
        self, port: int, sock: socket.socket, handle_burst: typing.Callable
    ) -> None:
        while True:
            try:
                await datagram_module.wait_readable(sock)
            except errors.PortClosed:
                return
            for _ in range(MAX_BURSTS_PER_TURN):
                burst = self._read_burst(port, sock)
                handle_burst(burst)
                if len(burst) < fast_path.MAX_BURST:
                    break

    def _read_burst(
        self, port: int, sock: socket.socket
    ) -> list[tuple[bytes, None]]:
        """Read a burst of datagrams from the socket.

        Each datagram gets the PROXY header that the fabric would add to it,
        so that both ingress variants share one parser.
        """
        burst = []
        while len(burst) < fast_path.MAX_BURST:
            try:
                data, ancillary_data, _, caller = sock.recvmsg(
                    datagram_module.RECEIVE_BYTES, ANCILLARY_BUFFER_BYTES
                )
            except OSError:
                break
            for level, message_type, value in ancillary_data:
                if (level, message_type) == (socket.IPPROTO_IP, _IP_PKTINFO):
                    host = socket.inet_ntoa(_PKTINFO.unpack_from(value)[2])
                    destination = address.Address(host, port)
                    key = flow_key.encode(
                        address.Address(*caller), destination
                    )
                    burst.append((key + data, None))
        return burst

    def send(
        self,
        data: bytes,
        caller: address.Address,
        service_address: address.Address,
        via: address.Address | None,
    ) -> None:
        """Send an answer from the service's own address."""
        sock = self._socket_by_port.get(service_address.port)
        if sock is None:
            drops.count(self._metrics, "no_ingress_path")
            return
        source = socket.inet_aton(service_address.host)
        packet_info = _PKTINFO.pack(0, source, b"\0\0\0\0")
        try:
            sock.sendmsg(
                [data],
                [(socket.IPPROTO_IP, _IP_PKTINFO, packet_info)],
                0,
                caller,
            )
        except OSError:
            drops.count(self._metrics, "no_ingress_path")

    async def stop(self) -> None:
        """Close all sockets."""
        for sock in self._socket_by_port.values():
            datagram_module.close_socket(sock)
