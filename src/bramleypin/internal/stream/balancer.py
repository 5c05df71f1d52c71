"""The balancer of stream flows: callers' packets to the flows' agents."""

import collections
import dataclasses

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import datagram
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import openings as openings_module
from bramleypin.internal.stream import owners as owners_module
from bramleypin.internal.stream import segment

BURST = 64
PURGE_INTERVAL_S = 1.0
MAX_FLOWS = 200_000
# Openings that wait until the first view has been read.
MAX_EARLY = 2_000
# Three packets of a flow that reach other endpoints within 2 s break it, so
# at most two are sent on trial.
MAX_TRIALS = 2

PACKETS = metrics.declare(
    "stream.packets_received", "counter", "packets", "Packets of callers."
)
MALFORMED = metrics.declare(
    "stream.packets_malformed",
    "counter",
    "datagrams",
    "Datagrams of callers that are no packet.",
)
NO_ROUTE = metrics.declare(
    "stream.packets_no_route",
    "counter",
    "packets",
    "Packets to an address that no route has.",
)
NO_VIEW = metrics.declare(
    "stream.packets_no_view",
    "counter",
    "packets",
    "Packets dropped before a configuration was read.",
)
RESETS = metrics.declare(
    "stream.resets_sent", "counter", "packets", "Resets sent to callers."
)

_log = logs.get("balancer")


@dataclasses.dataclass(slots=True)
class OwnedFlow:
    """The agent that holds a flow, as far as this balancer knows.

    ``other_hosts`` are tried when the agent turns out not to hold it.
    """

    host: str
    seen_s: float
    confirmed: bool = True
    other_hosts: tuple[str, ...] = ()


@kernel_module.service(
    "balancer",
    roles=("stream_balancer",),
    needs=("view", "peer_port", "loads", "openings", "owners", "metrics"),
)
class Balancer(kernel_module.Service):
    """Routes each packet by the flow's owner, which the agents decide."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.owned_by_flow: collections.OrderedDict[
            segment.Flow, OwnedFlow
        ] = collections.OrderedDict()
        self._codec = kernel.environment.codec
        self._keeper = kernel.get("view")
        self._peers = kernel.get("peer_port")
        self._metrics = kernel.get("metrics")
        self._openings: openings_module.Openings = kernel.get("openings")
        self._owners: owners_module.Owners = kernel.get("owners")
        self._openings.on_taken = self._on_taken
        self._openings.on_refused = self._on_refused
        self._owners.on_found = self._on_found
        self._owners.on_lost = self._on_lost
        self._peers.on(frames.NotHeld, self._on_not_held)
        self.last_packet_s = float("-inf")
        self._early_by_flow: dict[
            segment.Flow, tuple[float, segment.Segment]
        ] = {}

    async def start(self) -> None:
        """Open the port that callers' packets arrive at."""
        self._port = await self.kernel.environment.open_datagram_port(
            self.kernel.settings.ingress
        )

    async def run(self) -> None:
        """Read packets until the port is closed."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._purge)
            tasks.start_soon(self._route_early)
            burst: list[tuple[bytes, tuple[str, int]]] = []
            while True:
                burst.append(await self._port.receive())
                datagram.receive_more(self._port, BURST, burst)
                for data, _ in burst:
                    self.handle(data)
                burst.clear()

    async def stop(self) -> None:
        """Close the port."""
        await self._port.aclose()

    def handle(self, data: bytes) -> None:
        """Route one packet of a caller."""
        packet = self._codec.decode(data)
        if packet is None:
            self._metrics.count(MALFORMED)
            return
        self._metrics.count(PACKETS)
        now_s = self.last_packet_s = anyio.current_time()
        flow = packet.flow_from_caller()
        configuration = self._keeper.view.configuration
        route = configuration.route_by_address.get(packet.destination)
        if route is None:
            self._without_route(flow, packet)
            return
        owned = self.owned_by_flow.get(flow)
        if owned is not None:
            owned.seen_s = now_s
            self._forward(owned, packet)
            return
        opening = self._openings.opening_by_flow.get(flow)
        if opening is not None:
            if not packet.opening:
                if len(opening.waiting) < openings_module.MAX_WAITING:
                    opening.waiting.append(packet)
            return
        if packet.opening and packet.acknowledged == 0:
            self._openings.begin(packet, route, now_s)
            return
        # A copy of an opening, or a packet that came through another
        # balancer before: an agent may hold the flow.
        self._owners.search(packet)

    def _without_route(
        self, flow: segment.Flow, packet: segment.Segment
    ) -> None:
        if not self._keeper.view.loaded:
            self._metrics.count(NO_VIEW)
            if packet.opening and len(self._early_by_flow) < MAX_EARLY:
                now_s = anyio.current_time()
                self._early_by_flow.setdefault(flow, (now_s, packet))
            return
        self._metrics.count(NO_ROUTE)
        if packet.rst:
            return
        self.owned_by_flow.pop(flow, None)
        if packet.opening:
            self._reset(flow, "no route")

    def _forward(self, owned: OwnedFlow, packet: segment.Segment) -> None:
        self._peers.send(owned.host, frames.Data(owned.confirmed), packet.raw)

    def _on_taken(self, opening: openings_module.Opening, host: str) -> None:
        owned = OwnedFlow(host, anyio.current_time())
        self._store(opening.flow, owned)
        for packet in opening.waiting:
            self._forward(owned, packet)

    def _on_refused(self, opening: openings_module.Opening) -> None:
        self._reset(opening.flow, "no endpoint")

    def _on_found(
        self, search: owners_module.Search, host: str, others: list[str]
    ) -> None:
        owned = OwnedFlow(
            host,
            anyio.current_time(),
            confirmed=not others and not search.maybe_hosts,
            other_hosts=tuple(others[: MAX_TRIALS - 1]),
        )
        self._store(search.flow, owned)
        if search.opening is not None:
            self._forward(owned, search.opening)
        for packet in search.waiting:
            self._forward(owned, packet)
            if not owned.confirmed:
                break

    def _on_lost(self, search: owners_module.Search) -> None:
        if search.opening is None:
            return
        configuration = self._keeper.view.configuration
        route = configuration.route_by_address.get(search.opening.destination)
        if route is not None:
            arrived_s = anyio.current_time()
            self._openings.begin(search.opening, route, arrived_s)

    def _on_not_held(
        self, message: frames.NotHeld, data: bytes, host: str
    ) -> None:
        packet = self._codec.decode(data)
        if packet is None:
            return
        flow = packet.flow_from_caller()
        owned = self.owned_by_flow.get(flow)
        if owned is None or owned.host != host:
            return
        del self.owned_by_flow[flow]
        if owned.other_hosts:
            first, *others = owned.other_hosts
            trial = OwnedFlow(
                first, anyio.current_time(), False, tuple(others)
            )
            self._store(flow, trial)
            self._forward(trial, packet)
        elif owned.confirmed and packet.ack:
            self._owners.search(packet)

    def _store(self, flow: segment.Flow, owned: OwnedFlow) -> None:
        self.owned_by_flow[flow] = owned
        if len(self.owned_by_flow) > MAX_FLOWS:
            self.owned_by_flow.popitem(last=False)

    def _reset(self, flow: segment.Flow, reason: str) -> None:
        """Reset a flow that is not open, where any position will do."""
        self._metrics.count(RESETS)
        _log.warn_throttled(
            f"reset {reason}",
            "flow reset",
            flow=str(flow),
            reason=reason,
            version=self._keeper.view.configuration.version,
        )
        to = (
            segment.ipv4_to_text(flow.caller_host),
            self.kernel.settings.caller_port,
        )
        self._peers.send_raw(self._codec.reset(flow, 0), to)

    async def _route_early(self) -> None:
        """Open the flows that were asked for before there was a view."""
        while not self._keeper.view.loaded:
            await self._keeper.wait_for_change()
        oldest_s = anyio.current_time() - openings_module.MAX_AGE_S
        early, self._early_by_flow = self._early_by_flow, {}
        for arrived_s, packet in early.values():
            if arrived_s > oldest_s:
                self._begin_early(packet, arrived_s)

    def _begin_early(self, packet: segment.Segment, arrived_s: float) -> None:
        configuration = self._keeper.view.configuration
        route = configuration.route_by_address.get(packet.destination)
        if route is None:
            self._without_route(packet.flow_from_caller(), packet)
        else:
            self._openings.begin(packet, route, arrived_s)

    async def _purge(self) -> None:
        """Forget flows that have been idle for as long as the limit says."""
        while True:
            await anyio.sleep(PURGE_INTERVAL_S)
            idle_s = self._keeper.view.configuration.idle_s
            oldest_s = anyio.current_time() - idle_s
            stale = [
                flow
                for flow, owned in self.owned_by_flow.items()
                if owned.seen_s < oldest_s
            ]
            for flow in stale:
                del self.owned_by_flow[flow]
