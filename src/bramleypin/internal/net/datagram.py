"""UDP ports over raw non-blocking sockets.

An event loop's datagram protocol costs a callback, a copy and a task switch
for each datagram. Waiting for readability once and then draining the socket
costs a few system calls for a whole burst.
"""

import errno
import socket
import typing

import anyio
import anyio.lowlevel

from bramleypin import errors
from bramleypin.internal import address as address_module

RECEIVE_BYTES = 65_535
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024

# Error numbers of a connected UDP socket that mean "nothing listens there".
_REFUSED = frozenset((errno.ECONNREFUSED,))


def new_socket() -> socket.socket:
    """Return a non-blocking UDP socket with large kernel buffers."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    return sock


async def wait_readable(sock: socket.socket) -> None:
    """Wait until a socket has something to read.

    :raises errors.PortClosed: when the socket is or gets closed.
    """
    if sock.fileno() < 0:
        raise errors.PortClosed("the port is closed")
    try:
        await anyio.wait_readable(sock)
    except (anyio.ClosedResourceError, OSError, ValueError) as error:
        raise errors.PortClosed("the port is closed") from error


def close_socket(sock: socket.socket) -> None:
    """Close a socket and wake up the task that waits for it."""
    if sock.fileno() >= 0:
        anyio.notify_closing(sock)
        sock.close()


class UdpPort:
    """A bound UDP port; ``send_failures`` counts datagrams not sent."""

    def __init__(self, sock: socket.socket):
        self._socket = sock
        self._sendto = sock.sendto
        self._recvfrom = sock.recvfrom
        self.address = address_module.Address(*sock.getsockname())
        self.send_failures = 0

    def send(self, data: bytes, to: address_module.Address) -> None:
        """Send one datagram; drops it when the kernel does not take it."""
        try:
            self._sendto(data, to)
        except OSError:
            self.send_failures += 1

    def send_burst(
        self, burst: list[tuple[bytes, address_module.Address]]
    ) -> int:
        """Send datagrams; returns how many the kernel did not take."""
        sendto = self._sendto
        rest = iter(burst)
        failures = 0
        while True:
            try:
                for data, to in rest:
                    sendto(data, to)
                self.send_failures += failures
                return failures
            except OSError:
                failures += 1

    async def receive(self) -> tuple[bytes, address_module.Address]:
        """Wait for a datagram and its sender.

        Always lets other tasks run first, so that a port under load starves
        nobody.

        :raises errors.PortClosed: when the port is or gets closed.
        """
        found = self.receive_nowait()
        if found is not None:
            await anyio.lowlevel.checkpoint()
            return found
        while True:
            await wait_readable(self._socket)
            found = self.receive_nowait()
            if found is not None:
                return found

    def receive_nowait(
        self,
    ) -> tuple[bytes, address_module.Address] | None:
        """Return a datagram that has arrived already, or ``None``.

        The sender is the plain tuple that the socket returns, which equals
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

    def receive_more(self, limit: int, into: list) -> None:
        """Append datagrams that have arrived until there are ``limit``.

        :raises errors.PortClosed: when the port is or gets closed.
        """
        receive = self._recvfrom
        append = into.append
        try:
            for _ in range(limit - len(into)):
                append(receive(RECEIVE_BYTES))
        except BlockingIOError:
            return
        except OSError:
            if self._socket.fileno() < 0:
                raise errors.PortClosed("the port is closed") from None

    async def aclose(self) -> None:
        """Close the port."""
        close_socket(self._socket)


def receive_more(port: typing.Any, limit: int, into: list) -> None:
    """Append a port's datagrams that have arrived, up to ``limit``.

    A port that can read a burst by itself does so, which saves a call for
    each datagram.
    """
    if isinstance(port, UdpPort):
        port.receive_more(limit, into)
        return
    while len(into) < limit:
        item = port.receive_nowait()
        if item is None:
            return
        into.append(item)


def send_burst(
    port: typing.Any, burst: list[tuple[bytes, address_module.Address]]
) -> int:
    """Send datagrams from a port, in one call if it can do so.

    Returns how many the kernel did not take, as far as the port tells.
    """
    if isinstance(port, UdpPort):
        return port.send_burst(burst)
    for data, to in burst:
        port.send(data, to)
    return 0


class ConnectedPort:
    """A UDP port connected to one remote address, which shows refusals."""

    def __init__(self, sock: socket.socket):
        self._socket = sock
        self._refused = False

    def send(self, data: bytes) -> None:
        """Send one datagram; a pending refusal is kept for ``receive``."""
        try:
            self._socket.send(data)
        except OSError as error:
            self._refused |= error.errno in _REFUSED

    async def receive(self) -> bytes:
        """Wait for a datagram from the remote address.

        :raises errors.EndpointRefused: when the remote host reports that
            nothing listens there.
        :raises errors.PortClosed: when the port is or gets closed.
        """
        while True:
            if self._refused:
                self._refused = False
                raise errors.EndpointRefused("nothing listens on the port")
            try:
                return self._socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                await wait_readable(self._socket)
            except OSError as error:
                if error.errno not in _REFUSED:
                    raise errors.PortClosed(str(error)) from error
                self._refused = True

    async def aclose(self) -> None:
        """Close the port."""
        close_socket(self._socket)


async def open_port(at: address_module.Address) -> UdpPort:
    """Open a UDP port; port 0 takes a free one."""
    sock = new_socket()
    try:
        sock.bind(at)
    except OSError:
        sock.close()
        raise
    return UdpPort(sock)


async def open_endpoint_port(to: address_module.Address) -> ConnectedPort:
    """Open a UDP port that is connected to ``to``."""
    sock = new_socket()
    try:
        sock.connect(to)
    except OSError:
        sock.close()
        raise
    return ConnectedPort(sock)
