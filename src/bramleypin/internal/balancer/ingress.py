"""Where callers' datagrams enter and answers leave, in two variants."""

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

# Bursts handled before other tasks get their turn.
MAX_BURSTS_PER_TURN = 32
ANCILLARY_BUFFER_BYTES = 64

# struct in_pktinfo of ip(7): interface, local address, destination address.
_PKTINFO = struct.Struct("=I4s4s")
_IP_PKTINFO = getattr(socket, "IP_PKTINFO", 8)


class IngressVariant(typing.Protocol):
    """A way for datagrams to enter and leave."""

    addresses: list[address.Address]

    async def start(self) -> None:
        """Open the sockets."""

    async def run(self, handle_burst: typing.Callable) -> None:
        """Pass lists of (flow key and datagram, via) to ``handle_burst``."""

    def send(
        self,
        data: bytes,
        caller: address.Address,
        service_address: address.Address,
        previous_hop: address.Address | None,
    ) -> None:
        """Send an answer to a caller."""

    async def stop(self) -> None:
        """Close the sockets."""


VARIANTS: registry.Registry[type] = registry.Registry("ingress variant")


@kernel_module.service("ingress", roles=("balancer",), needs=("metrics",))
class Ingress(kernel_module.Service):
    """Runs the variant that the settings name."""

    async def start(self) -> None:
        """Open the variant's sockets."""
        name = self.kernel.settings.ingress.variant
        self._variant = VARIANTS.get(name)(self.kernel)
        await self._variant.start()

    async def run(self) -> None:
        """Hand datagrams to the forwarder until the sockets are closed."""
        await self.kernel.started.wait()
        forwarder = self.kernel.get("forwarder")
        await self._variant.run(forwarder.handle_burst)

    async def stop(self) -> None:
        """Close the sockets."""
        await self._variant.stop()

    @property
    def addresses(self) -> list[address.Address]:
        """Where the ingress listens."""
        return self._variant.addresses

    def send(
        self,
        datagram: bytes,
        caller: address.Address,
        service_address: address.Address,
        previous_hop: address.Address | None = None,
    ) -> None:
        """Send an answer to a caller.

        ``previous_hop`` is where the flow's datagrams come from, when it is known.
        """
        self._variant.send(datagram, caller, service_address, previous_hop)


@VARIANTS.register("proxied")
class ProxiedIngress:
    """Takes datagrams with a PROXY protocol v2 header from the fabric."""

    def __init__(self, kernel: kernel_module.Kernel):
        self._kernel = kernel
        self._metrics = kernel.get("metrics")

    async def start(self) -> None:
        """Open the ingress port."""
        at = address.parse(self._kernel.settings.ingress.address)
        self.port = await self._kernel.environment.open_datagram_port(at)

    @property
    def addresses(self) -> list[address.Address]:
        """The ingress port's address."""
        return [self.port.address]

    async def run(self, handle_burst: typing.Callable) -> None:
        """Read until the port is closed.

        Datagrams without a valid header are left to the forwarder, because
        the cached flows are looked up by the whole header.
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
        previous_hop: address.Address | None,
    ) -> None:
        """Send an answer through the fabric that the flow came from."""
        if previous_hop is None:
            drops.count(self._metrics, "no_ingress_path")
            return
        header = proxy_header.encode(service_address, caller)
        self.port.send(header + data, previous_hop)

    async def stop(self) -> None:
        """Close the ingress port."""
        await self.port.aclose()


@VARIANTS.register("direct")
class DirectIngress:
    """Takes datagrams on wildcard sockets, one for each port.

    IP_PKTINFO tells the address that a datagram was sent to, so thousands of
    service addresses need no socket each.
    """

    def __init__(self, kernel: kernel_module.Kernel):
        self._kernel = kernel
        self._metrics = kernel.get("metrics")
        self._socket_by_port: dict[int, socket.socket] = {}

    async def start(self) -> None:
        """Open a socket for each port of the settings."""
        for port in self._kernel.settings.ingress.ports:
            sock = datagram_module.new_socket()
            sock.setsockopt(socket.IPPROTO_IP, _IP_PKTINFO, 1)
            sock.bind(("", port))
            self._socket_by_port[sock.getsockname()[1]] = sock

    @property
    def addresses(self) -> list[address.Address]:
        """Wildcard addresses with the open ports."""
        return [address.Address("0.0.0.0", p) for p in self._socket_by_port]

    async def run(self, handle_burst: typing.Callable) -> None:
        """Read all sockets, with one task for each."""
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
        """Return datagrams with the headers that a fabric would prefix."""
        burst = []
        while len(burst) < fast_path.MAX_BURST:
            try:
                data, ancillary, _, caller = sock.recvmsg(
                    datagram_module.RECEIVE_BYTES, ANCILLARY_BUFFER_BYTES
                )
            except OSError:
                break
            for level, kind, value in ancillary:
                if (level, kind) == (socket.IPPROTO_IP, _IP_PKTINFO):
                    host = socket.inet_ntoa(_PKTINFO.unpack_from(value)[2])
                    at = address.Address(host, port)
                    key = flow_key.encode(address.Address(*caller), at)
                    burst.append((key + data, None))
        return burst

    def send(
        self,
        data: bytes,
        caller: address.Address,
        service_address: address.Address,
        previous_hop: address.Address | None,
    ) -> None:
        """Send an answer from the service's own address."""
        sock = self._socket_by_port.get(service_address.port)
        if sock is None:
            drops.count(self._metrics, "no_ingress_path")
            return
        source = socket.inet_aton(service_address.host)
        info = _PKTINFO.pack(0, source, b"\0\0\0\0")
        try:
            sock.sendmsg(
                [data],
                [(socket.IPPROTO_IP, _IP_PKTINFO, info)],
                0,
                caller,
            )
        except OSError:
            drops.count(self._metrics, "no_ingress_path")

    async def stop(self) -> None:
        """Close all sockets."""
        for sock in self._socket_by_port.values():
            datagram_module.close_socket(sock)
