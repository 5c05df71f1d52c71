"""UDP ports of the virtual network, unconnected and connected."""

import collections
import typing

import anyio

from bramleypin import errors
from bramleypin.internal import address

# Approximate number of small datagrams that the receive buffer of a UDP socket
# holds.
RECEIVE_BUFFER_DATAGRAMS = 1_024


class BoundPort:
    """A bound UDP port; ``remote`` is the peer of a connected port."""

    def __init__(
        self,
        process: typing.Any,
        bind_address: address.Address,
        remote: address.Address | None = None,
    ):
        self.process = process
        self.remote = remote
        self.closed = False
        self._buffer: collections.deque[tuple[bytes, address.Address]] = (
            collections.deque()
        )
        self._refusal_pending = False
        self._arrived = anyio.Event()
        self.address = process.network.bind(self, bind_address)
        process.ports.append(self)

    def buffer(self, data: bytes, source: address.Address) -> None:
        """Buffer a datagram from the network, or drop it.

        It is dropped when the port is closed, the buffer is full, or a
        connected port gets it from another address.
        """
        if self.closed or len(self._buffer) >= RECEIVE_BUFFER_DATAGRAMS:
            return
        if self.remote is not None and source != self.remote:
            return
        self._buffer.append((data, source))
        self._arrived.set()

    def mark_refused(self) -> None:
        """Make the next read fail: the remote host reported a closed port."""
        self._refusal_pending = True
        self._arrived.set()

    def close(self) -> None:
        """Release the address and wake the waiting reader."""
        self.closed = True
        self.process.network.unbind(self)
        self._arrived.set()

    def pop_datagram(self) -> tuple[bytes, address.Address] | None:
        """Return a buffered datagram and its source, or ``None``.

        :raises errors.PortClosed: when the port is closed.
        :raises errors.EndpointRefused: once after ``mark_refused``.
        """
        if self.closed:
            raise errors.PortClosed("the port is closed")
        if self._refusal_pending:
            self._refusal_pending = False
            raise errors.EndpointRefused(f"nothing listens at {self.remote}")
        if self._buffer:
            return self._buffer.popleft()
        return None

    async def wait(self) -> tuple[bytes, address.Address]:
        """Wait for a datagram; raises the errors of ``pop_datagram``."""
        await anyio.lowlevel.checkpoint()
        while True:
            datagram = self.pop_datagram()
            if datagram is not None:
                return datagram
            self._arrived = anyio.Event()
            await self._arrived.wait()


class VirtualDatagramPort:
    """An unconnected port; implements ``environment.DatagramPort``."""

    def __init__(self, process: typing.Any, local_address: address.Address):
        self._bound_port = BoundPort(process, local_address)
        self.address = self._bound_port.address

    def send(self, data: bytes, destination: address.Address) -> None:
        """Send one datagram; it is dropped when the port is closed."""
        if not self._bound_port.closed:
            process = self._bound_port.process
            process.network.send(
                process, self.address, destination, bytes(data)
            )

    async def receive(self) -> tuple[bytes, address.Address]:
        """Wait for a datagram; returns it with its sender."""
        return await self._bound_port.wait()

    def receive_nowait(self) -> tuple[bytes, address.Address] | None:
        """Return a buffered datagram and its sender, or ``None``."""
        return self._bound_port.pop_datagram()

    async def aclose(self) -> None:
        """Close the port."""
        self._bound_port.close()


class VirtualEndpointPort:
    """A connected port; implements ``environment.EndpointPort``."""

    def __init__(
        self,
        process: typing.Any,
        bind_address: address.Address,
        remote: address.Address,
    ):
        self._bound_port = BoundPort(process, bind_address, remote)
        self.remote = remote

    def send(self, data: bytes) -> None:
        """Send one datagram to the remote address."""
        if not self._bound_port.closed:
            process = self._bound_port.process
            process.network.send(
                process, self._bound_port.address, self.remote, bytes(data)
            )

    async def receive(self) -> bytes:
        """Wait for a datagram from the remote address."""
        data, _ = await self._bound_port.wait()
        return data

    async def aclose(self) -> None:
        """Close the port."""
        self._bound_port.close()
