"""Control links of the virtual network, with TCP-like behaviour.

Messages arrive in order, and links break when a process ends.
"""

import collections
import functools
import typing

import anyio

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.net import environment

# A connection attempt across a partition fails after this time.
CONNECT_TIMEOUT_S = 10.0
# Capacity of the send and receive buffers of a TCP connection together.
MAX_BUFFERED_BYTES = 1_000_000


class VirtualLink:
    """One side of a link; implements ``environment.ControlLink``."""

    def __init__(self, process: typing.Any):
        self.process = process
        self.peer: VirtualLink = self
        self.closed = False
        self._inbox: collections.deque[bytes] = collections.deque()
        self._stalled_arrivals: collections.deque[
            typing.Callable[[], None]
        ] = collections.deque()
        self._last_due_s = 0.0
        self._buffered_bytes = 0
        self._closed_by_peer = False
        self._change_event = anyio.Event()

    async def send(self, message: bytes) -> None:
        """Send a message; waits while the peer's buffer is full.

        :raises errors.LinkClosed: when either side has closed the link.
        """
        await anyio.lowlevel.checkpoint()
        while (
            self.peer._buffered_bytes > MAX_BUFFERED_BYTES and not self.closed
        ):
            await self._wait()
        if self.closed or self._closed_by_peer:
            raise errors.LinkClosed("the link is closed")
        self.peer._buffered_bytes += len(message)
        self._transmit(functools.partial(self.peer._deliver, bytes(message)))

    async def receive(self) -> bytes:
        """Wait for a message; messages sent before a close still arrive.

        :raises errors.LinkClosed: when the link is closed and no message is
            left.
        """
        await anyio.lowlevel.checkpoint()
        while not self._inbox:
            if self.closed or self._closed_by_peer:
                raise errors.LinkClosed("the link is closed")
            await self._wait()
        message = self._inbox.popleft()
        self._buffered_bytes -= len(message)
        self.peer._notify()
        return message

    async def aclose(self) -> None:
        """Close this side; the peer is notified after the path latency."""
        self.close()

    def close(self) -> None:
        """Close this side, from synchronous code."""
        if not self.closed:
            self.closed = True
            self._transmit(self.peer._handle_peer_close)
            self._notify()

    def resume(self) -> None:
        """Transmit stalled messages unless a partition still cuts the path."""
        if self._is_cut():
            return
        while self._stalled_arrivals:
            self._schedule_arrival(self._stalled_arrivals.popleft())

    async def _wait(self) -> None:
        self._change_event = anyio.Event()
        await self._change_event.wait()

    def _notify(self) -> None:
        self._change_event.set()

    def _is_cut(self) -> bool:
        network = self.process.network
        return network.is_cut(self.process, self.peer.process)

    def _transmit(self, arrival: typing.Callable[[], None]) -> None:
        if self._stalled_arrivals or self._is_cut():
            self._stalled_arrivals.append(arrival)
        else:
            self._schedule_arrival(arrival)

    def _schedule_arrival(self, arrival: typing.Callable[[], None]) -> None:
        network = self.process.network
        latency_s = network.path_latency_s(self.process, self.peer.process)
        due_s = max(self._last_due_s, anyio.current_time() + latency_s)
        self._last_due_s = due_s
        network.schedule.call_at(due_s, arrival)

    def _deliver(self, message: bytes) -> None:
        if not self.closed:
            self._inbox.append(message)
            self._notify()

    def _handle_peer_close(self) -> None:
        self._closed_by_peer = True
        self._notify()
        network = self.process.network
        for side in (self, self.peer):
            if side in network.links and not side._stalled_arrivals:
                network.links.remove(side)


def link_pair(client: typing.Any, server: typing.Any) -> tuple:
    """Create a link and return its client side and its server side."""
    client_side = VirtualLink(client)
    server_side = VirtualLink(server)
    client_side.peer, server_side.peer = server_side, client_side
    for side in (client_side, server_side):
        side.process.control.links.append(side)
        side.process.network.links.append(side)
    return client_side, server_side


class Listener:
    """Queues new links to an address, even while its process is paused."""

    def __init__(self, process: typing.Any):
        self.process = process
        self.pending_links: collections.deque[VirtualLink] = (
            collections.deque()
        )
        self.link_arrived = anyio.Event()

    def enqueue(self, link: VirtualLink) -> None:
        """Queue a new link until the process accepts it."""
        self.pending_links.append(link)
        self.link_arrived.set()


class VirtualControlNetwork:
    """One process's links; implements ``environment.ControlNetwork``."""

    def __init__(self, process: typing.Any):
        self.process = process
        self.links: list[VirtualLink] = []

    async def connect(self, remote_address: address.Address) -> VirtualLink:
        """Open a link, which takes one round trip.

        :raises errors.PeerUnreachable: when no process listens, or a
            partition cuts the path in either direction.
        """
        network = self.process.network
        listener = network.listener_by_address.get(remote_address)
        server = None if listener is None else listener.process
        if network.is_cut(self.process, server) or (
            server is not None and network.is_cut(server, self.process)
        ):
            await anyio.sleep(CONNECT_TIMEOUT_S)
            raise errors.PeerUnreachable(f"no answer from {remote_address}")
        await anyio.sleep(2 * network.path_latency_s(self.process, server))
        listener = network.listener_by_address.get(remote_address)
        if listener is None or not self.process.alive:
            raise errors.PeerUnreachable(
                f"nothing listens at {remote_address}"
            )
        client_side, server_side = link_pair(self.process, listener.process)
        listener.enqueue(server_side)
        return client_side

    async def serve(
        self, listen_address: address.Address, handler: environment.LinkHandler
    ) -> None:
        """Accept links until cancelled, with one task for each link.

        :raises OSError: when the address is in use.
        """
        network = self.process.network
        if listen_address in network.listener_by_address:
            raise OSError(f"address {listen_address} is in use")
        listener = Listener(self.process)
        network.listener_by_address[listen_address] = listener
        try:
            async with anyio.create_task_group() as tasks:
                while True:
                    while listener.pending_links:
                        link = listener.pending_links.popleft()
                        tasks.start_soon(_run_handler, handler, link)
                    listener.link_arrived = anyio.Event()
                    await listener.link_arrived.wait()
        finally:
            if network.listener_by_address.get(listen_address) is listener:
                del network.listener_by_address[listen_address]

    def release(self) -> None:
        """Close all links and listeners, as at process exit."""
        for link in self.links:
            link.close()
        self.links.clear()
        listeners = self.process.network.listener_by_address
        for listen_address in list(listeners):
            if listeners[listen_address].process is self.process:
                del listeners[listen_address]


async def _run_handler(
    handler: environment.LinkHandler, link: VirtualLink
) -> None:
    try:
        await handler(link)
    finally:
        link.close()
