"""Interfaces to everything outside a process.

Each has a real implementation (sockets, websockets, HTTP) and a fake one, so
that the same balancer and agent run over loopback and under a virtual clock.
"""

import dataclasses
import random
import typing

from bramleypin.internal import address


class DatagramPort(typing.Protocol):
    """A bound UDP port."""

    address: address.Address

    def send(self, data: bytes, destination: address.Address) -> None:
        """Send one datagram without blocking; drop it on failure."""

    async def receive(self) -> tuple[bytes, address.Address]:
        """Wait for a datagram and its sender.

        :raises errors.PortClosed: when the port is closed, before or during
            the call.
        """

    def receive_nowait(self) -> tuple[bytes, address.Address] | None:
        """Return a datagram that is ready to be read, or ``None``."""

    async def aclose(self) -> None:
        """Close the port."""


class EndpointPort(typing.Protocol):
    """A UDP port connected to one remote address; it detects refusals."""

    def send(self, data: bytes) -> None:
        """Send one datagram to the remote address."""

    async def receive(self) -> bytes:
        """Wait for a datagram from the remote address.

        :raises errors.EndpointRefused: when the remote host reports that
            the port is unreachable.
        :raises errors.PortClosed: when the port is closed, before or during
            the call.
        """

    async def aclose(self) -> None:
        """Close the port."""


class ControlLink(typing.Protocol):
    """A connection that delivers whole messages in order."""

    async def send(self, message: bytes) -> None:
        """Send a message.

        :raises errors.LinkClosed: when the connection is closed.
        """

    async def receive(self) -> bytes:
        """Wait for a message.

        :raises errors.LinkClosed: when the connection is closed.
        """

    async def aclose(self) -> None:
        """Close the connection."""


LinkHandler = typing.Callable[[ControlLink], typing.Awaitable[None]]


class ControlNetwork(typing.Protocol):
    """Opens and accepts control links."""

    async def connect(self, destination: address.Address) -> ControlLink:
        """Open a link.

        :raises errors.PeerUnreachable: when the connection is not accepted.
        """

    async def serve(
        self, local_address: address.Address, handler: LinkHandler
    ) -> None:
        """Accept links until cancelled, with one task per link."""


@dataclasses.dataclass(frozen=True)
class PlatformValue:
    """A value of the platform's configuration service.

    ``index`` increases with every change of the value.
    """

    key: str
    index: int
    value: bytes


class PlatformSource(typing.Protocol):
    """Read-only access to the platform's configuration service."""

    async def read(self, key: str) -> PlatformValue:
        """Read a value.

        :raises errors.PlatformUnavailable: when the service does not answer.
        :raises errors.PlatformKeyMissing: when there is no such key.
        """

    async def watch(
        self, key: str, last_index: int, wait_s: float
    ) -> PlatformValue | None:
        """Wait until the key's index exceeds ``last_index``.

        Returns ``None`` when it does not within ``wait_s``.

        :raises errors.PlatformUnavailable: when the service does not answer.
        """


@dataclasses.dataclass
class Environment:
    """The external interfaces of one process."""

    open_datagram_port: typing.Callable[
        [address.Address], typing.Awaitable[DatagramPort]
    ]
    open_endpoint_port: typing.Callable[
        [address.Address], typing.Awaitable[EndpointPort]
    ]
    control: ControlNetwork
    platform: PlatformSource
    random: random.Random
