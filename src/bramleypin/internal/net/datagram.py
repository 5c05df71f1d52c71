"""UDP ports on non-blocking sockets.

An event loop's datagram protocol costs a callback, a copy and a task switch
per datagram. Waiting until the socket is readable and then draining it costs
a few system calls per burst. Where datagrams arrive one by one, waking a task
costs most of the time, so ``serve`` handles them in the loop's callback.
"""

import asyncio
import errno
import socket
import typing

import anyio
import anyio.lowlevel

from bramleypin import errors
from bramleypin.internal import address as address_module

RECEIVE_BYTES = 65_535
# Datagrams that are handled before other tasks run.
MAX_BURST_DATAGRAMS = 64
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024

Handler = typing.Callable[[bytes, tuple[str, int]], None]

# Error numbers with which a connected UDP socket reports that an ICMP "port
# unreachable" message has arrived.
_REFUSED_ERRNOS = frozenset((errno.ECONNREFUSED,))


def new_socket() -> socket.socket:
    """Return a non-blocking UDP socket with large kernel buffers."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    return sock


async def wait_readable(sock: socket.socket) -> None:
    """Wait until a socket is readable.

    :raises errors.PortClosed: when the socket is closed, before or during
        the wait.
    """
    if sock.fileno() < 0:
        raise errors.PortClosed("the port is closed")
    try:
        await anyio.wait_readable(sock)
    except (anyio.ClosedResourceError, OSError, ValueError) as error:
        raise errors.PortClosed("the port is closed") from error


def close_socket(sock: socket.socket) -> None:
    """Close a socket and wake the task that waits for it."""
    if sock.fileno() >= 0:
        anyio.notify_closing(sock)
        sock.close()


class UdpPort:
    """A bound UDP port.

    ``send_failures`` counts the datagrams that the kernel did not accept.
    """

    def __init__(self, sock: socket.socket):
        self._socket = sock
        self._sendto = sock.sendto
        self._recvfrom = sock.recvfrom
        self.address = address_module.Address(*sock.getsockname())
        self.send_failures = 0
        self._stop_serving: typing.Callable[[], None] | None = None

    def send(self, data: bytes, destination: address_module.Address) -> None:
        """Send one datagram; drop it when the kernel does not accept it."""
        try:
            self._sendto(data, destination)
        except OSError:
            self.send_failures += 1

    def send_burst(
        self, burst: list[tuple[bytes, address_module.Address]]
    ) -> int:
        """Send datagrams; return how many the kernel did not accept."""
        sendto = self._sendto
        # The iterator is kept after an error, so that the loop continues with
        # the datagram after the failed one.
        unsent_datagrams = iter(burst)
        failures = 0
        while True:
            try:
                for data, destination in unsent_datagrams:
                    sendto(data, destination)
                self.send_failures += failures
                return failures
            except OSError:
                failures += 1

    async def receive(self) -> tuple[bytes, address_module.Address]:
        """Wait for a datagram and its sender.

        Always yields to the event loop, so that a port under load does not
        starve other tasks.

        :raises errors.PortClosed: when the port is closed, before or during
            the call.
        """
        received = self.receive_nowait()
        if received is not None:
            await anyio.lowlevel.checkpoint()
            return received
        while True:
            await wait_readable(self._socket)
            received = self.receive_nowait()
            if received is not None:
                return received

    def receive_nowait(
        self,
    ) -> tuple[bytes, address_module.Address] | None:
        """Return a datagram that is ready to be read, or ``None``.

        The sender is the plain tuple that the socket returns; it is equal to
        the ``Address`` with the same fields.
        """
        try:
            return self._recvfrom(RECEIVE_BYTES)
        except BlockingIOError:
            return None
        except OSError:
            if self._socket.fileno() < 0:
                raise errors.PortClosed("the port is closed") from None
            return None

    def receive_more(self, limit: int, buffer: list) -> None:
        """Append ready datagrams to ``buffer`` until it holds ``limit``.

        :raises errors.PortClosed: when the port is closed.
        """
        receive = self._recvfrom
        append = buffer.append
        try:
            for _ in range(limit - len(buffer)):
                append(receive(RECEIVE_BYTES))
        except BlockingIOError:
            return
        except OSError:
            if self._socket.fileno() < 0:
                raise errors.PortClosed("the port is closed") from None

    async def serve(self, handler: Handler) -> None:
        """Call ``handler`` with each datagram and its sender until closed.

        ``handler`` runs in a callback of the event loop, which must be that
        of asyncio; anyio has no such callbacks.

        :raises errors.PortClosed: when the port is closed, before or during
            the call.
        """
        descriptor = self._socket.fileno()
        if descriptor >= 0:
            loop = asyncio.get_running_loop()
            closed = anyio.Event()
            loop.add_reader(descriptor, self._handle_burst, handler)

            def stop_serving() -> None:
                loop.remove_reader(descriptor)
                self._stop_serving = None
                closed.set()

            self._stop_serving = stop_serving
            try:
                await closed.wait()
            finally:
                if self._stop_serving is not None:
                    self._stop_serving()
        raise errors.PortClosed("the port is closed")

    def _handle_burst(self, handler: Handler) -> None:
        burst: list[tuple[bytes, tuple[str, int]]] = []
        self.receive_more(MAX_BURST_DATAGRAMS, burst)
        for data, sender in burst:
            handler(data, sender)

    async def aclose(self) -> None:
        """Close the port."""
        if self._stop_serving is not None:
            self._stop_serving()
        close_socket(self._socket)


async def serve(port: typing.Any, handler: Handler) -> None:
    """Call ``handler`` with each datagram of a port until it is closed.

    :raises errors.PortClosed: when the port is closed.
    """
    if isinstance(port, UdpPort):
        await port.serve(handler)
        return
    burst: list[tuple[bytes, tuple[str, int]]] = []
    while True:
        burst.append(await port.receive())
        receive_more(port, MAX_BURST_DATAGRAMS, burst)
        for data, sender in burst:
            handler(data, sender)
        burst.clear()


def receive_more(port: typing.Any, limit: int, buffer: list) -> None:
    """Append a port's ready datagrams to ``buffer`` until it holds ``limit``.

    A ``UdpPort`` reads the burst in one call, which saves a method call per
    datagram.
    """
    if isinstance(port, UdpPort):
        port.receive_more(limit, buffer)
        return
    while len(buffer) < limit:
        item = port.receive_nowait()
        if item is None:
            return
        buffer.append(item)


def send_burst(
    port: typing.Any, burst: list[tuple[bytes, address_module.Address]]
) -> int:
    """Send datagrams from a port, in one call if it is a ``UdpPort``.

    Returns how many the kernel did not accept; 0 for any other port, which
    does not report failures.
    """
    if isinstance(port, UdpPort):
        return port.send_burst(burst)
    for data, destination in burst:
        port.send(data, destination)
    return 0


class ConnectedPort:
    """A UDP port connected to one remote address; it detects refusals."""

    def __init__(self, sock: socket.socket):
        self._socket = sock
        self._refusal_pending = False

    def send(self, data: bytes) -> None:
        """Send one datagram; a refusal is raised by the next ``receive``."""
        try:
            self._socket.send(data)
        except OSError as error:
            self._refusal_pending |= error.errno in _REFUSED_ERRNOS

    async def receive(self) -> bytes:
        """Wait for a datagram from the remote address.

        :raises errors.EndpointRefused: when the remote host reports that
            the port is unreachable.
        :raises errors.PortClosed: when the port is closed, before or during
            the call, or reading fails.
        """
        while True:
            if self._refusal_pending:
                self._refusal_pending = False
                raise errors.EndpointRefused(
                    "connection refused by the remote host"
                )
            try:
                return self._socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                await wait_readable(self._socket)
            except OSError as error:
                if error.errno not in _REFUSED_ERRNOS:
                    raise errors.PortClosed(str(error)) from error
                self._refusal_pending = True

    async def aclose(self) -> None:
        """Close the port."""
        close_socket(self._socket)


async def open_port(local_address: address_module.Address) -> UdpPort:
    """Open a UDP port; port 0 lets the kernel choose a free one."""
    sock = new_socket()
    try:
        sock.bind(local_address)
    except OSError:
        sock.close()
        raise
    return UdpPort(sock)


async def open_endpoint_port(
    remote_address: address_module.Address,
) -> ConnectedPort:
    """Open a UDP port that is connected to a remote address."""
    sock = new_socket()
    try:
        sock.connect(remote_address)
    except OSError:
        sock.close()
        raise
    return ConnectedPort(sock)
