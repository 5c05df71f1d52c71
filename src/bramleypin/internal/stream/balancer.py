"""Routes callers' packets to the agents that hold their flows."""

import collections
import dataclasses

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import datagram
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import guard
from bramleypin.internal.stream import lost_flows as lost_flows_module
from bramleypin.internal.stream import openings as openings_module
from bramleypin.internal.stream import owners as owners_module
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import trials as trials_module

PURGE_INTERVAL_S = 1.0
MAX_FLOWS = 200_000
# Maximum number of flows whose packets are queued until a view is loaded.
MAX_EARLY_FLOWS = 2_000
# Pause between the searches for queued packets, which all begin at once.
EARLY_SEARCH_PAUSE_S = 0.001

PACKETS_RECEIVED = metrics.declare(
    "stream.packets_received", "counter", "packets", "Packets of callers."
)
PACKETS_MALFORMED = metrics.declare(
    "stream.packets_malformed",
    "counter",
    "datagrams",
    "Datagrams of callers that are no packet.",
)
PACKETS_NO_ROUTE = metrics.declare(
    "stream.packets_no_route",
    "counter",
    "packets",
    "Packets to an address that no route has.",
)
PACKETS_NO_VIEW = metrics.declare(
    "stream.packets_no_view",
    "counter",
    "packets",
    "Packets dropped before a configuration was read.",
)
RESETS_SENT = metrics.declare(
    "stream.resets_sent", "counter", "packets", "Resets sent to callers."
)

_log = logs.get("balancer")


@dataclasses.dataclass(slots=True)
class FlowOwner:
    """The agent that holds a flow, according to this balancer.

    ``caller_position`` is that of the caller's latest packet, and
    ``opening_sequence`` that of the flow's opening, or -1 if unknown.
    """

    host: str
    seen_s: float
    caller_position: int
    opening_sequence: int = -1

    def includes(self, packet: segment.Segment) -> bool:
        """Return whether a caller's packet is of this flow.

        It may be of another one with the same addresses and ports.
        """
        if packet.opening and self.opening_sequence >= 0:
            return packet.sequence == self.opening_sequence
        return packet.rst or segment.are_near(
            packet.sequence, self.caller_position
        )


@kernel_module.service(
    "balancer",
    roles=("stream_balancer",),
    needs=(
        "view",
        "peer_port",
        "loads",
        "openings",
        "owners",
        "trials",
        "lost_flows",
        "metrics",
    ),
)
class Balancer(kernel_module.Service):
    """Routes each packet to the agent that has accepted its flow."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.owner_by_flow: collections.OrderedDict[
            segment.Flow, FlowOwner
        ] = collections.OrderedDict()
        self._codec = kernel.environment.codec
        self._view_manager = kernel.get("view")
        self._peers = kernel.get("peer_port")
        self._metrics = kernel.get("metrics")
        self._openings: openings_module.Openings = kernel.get("openings")
        self._owners: owners_module.OwnerLookup = kernel.get("owners")
        self._openings.on_taken = self._on_taken
        self._openings.on_refused = self._on_refused
        self._openings.on_open_elsewhere = self._on_open_elsewhere
        self._owners.on_found = self._on_found
        self._owners.on_unclear = self._on_unclear
        self._owners.on_lost = self._on_lost
        self._trials: trials_module.Trials = kernel.get("trials")
        self._trials.on_held = self._on_held
        self._trials.on_held_nowhere = self._on_held_nowhere
        self._lost_flows: lost_flows_module.LostFlows = kernel.get(
            "lost_flows"
        )
        self._lost_flows.on_reset = self._reset_lost_flow
        self._lost_flows.on_retry = self._route_packet
        self._peers.set_handler(frames.FlowNotHeld, self._on_not_held)
        self.last_packet_s = float("-inf")
        self._early_by_flow: dict[
            segment.Flow, tuple[float, segment.Segment]
        ] = {}

    async def start(self) -> None:
        """Open the UDP port that receives callers' packets."""
        self._port = await self.kernel.environment.open_datagram_port(
            self.kernel.settings.ingress
        )

    async def run(self) -> None:
        """Route callers' packets until the port is closed."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                guard.keep_running, self._metrics, self._purge_idle_flows
            )
            tasks.start_soon(self._route_early_packets)
            await datagram.serve(self._port, self._on_datagram)

    def _on_datagram(self, data: bytes, _: tuple[str, int]) -> None:
        guard.call(self._metrics, self.handle_packet, data)

    async def stop(self) -> None:
        """Close the port."""
        await self._port.aclose()

    def handle_packet(self, data: bytes) -> None:
        """Route one packet from a caller."""
        packet = self._codec.decode(data)
        if packet is None:
            self._metrics.count(PACKETS_MALFORMED)
            return
        self._metrics.count(PACKETS_RECEIVED)
        self.last_packet_s = anyio.current_time()
        self._view_manager.last_use_s = self.last_packet_s
        self._route_packet(packet)

    def _route_packet(self, packet: segment.Segment) -> None:
        now_s = anyio.current_time()
        flow = packet.flow_from_caller()
        configuration = self._view_manager.view.configuration
        route = configuration.route_by_address.get(packet.destination)
        if route is None:
            self._handle_unrouted(flow, packet)
            return
        if packet.opening:
            self._abandon_earlier_opening(flow, packet)
        owner = self.owner_by_flow.get(flow)
        if owner is not None and not owner.includes(packet):
            # The earlier flow's endpoint would get the packet unchecked.
            del self.owner_by_flow[flow]
            owner = None
        if owner is not None:
            owner.seen_s = now_s
            owner.caller_position = packet.sequence
            self._forward(owner, packet)
            return
        opening = self._openings.opening_by_flow.get(flow)
        if opening is not None:
            if not packet.opening:
                self._openings.add_packet(opening, packet)
            return
        trial = self._trials.trial_by_flow.get(flow)
        if trial is not None:
            if len(trial.waiting_packets) < owners_module.MAX_WAITING_PACKETS:
                trial.waiting_packets.append(packet)
            return
        if packet.opening and packet.acknowledged == 0:
            self._openings.open_flow(packet, route, now_s)
            return
        # This is a copy of an opening, or a packet of a flow that used
        # another balancer before. An agent may already hold the flow.
        self._owners.search(packet)

    def _abandon_earlier_opening(
        self, flow: segment.Flow, packet: segment.Segment
    ) -> None:
        """Abandon what is in progress for an earlier flow of the same port."""
        opening = self._openings.opening_by_flow.get(flow)
        if opening and opening.packet.sequence != packet.opening_sequence:
            self._openings.abandon(opening)
        self._lost_flows.discard(flow)

    def _handle_unrouted(
        self, flow: segment.Flow, packet: segment.Segment
    ) -> None:
        if not self._view_manager.view.loaded:
            self._metrics.count(PACKETS_NO_VIEW)
            self._queue_early(flow, packet)
            return
        self._metrics.count(PACKETS_NO_ROUTE)
        if packet.rst:
            return
        self.owner_by_flow.pop(flow, None)
        if packet.opening:
            self._reset_flow(flow, "no route")

    def _queue_early(
        self, flow: segment.Flow, packet: segment.Segment
    ) -> None:
        """Keep a flow's first opening or, if it is open, its last packet."""
        if packet.opening and flow in self._early_by_flow:
            return
        if len(self._early_by_flow) < MAX_EARLY_FLOWS:
            now_s = anyio.current_time()
            self._early_by_flow[flow] = (now_s, packet)

    def _forward(self, owner: FlowOwner, packet: segment.Segment) -> None:
        self._peers.send(owner.host, frames.Data(confirmed=True), packet.raw)

    def _on_taken(self, opening: openings_module.Opening, host: str) -> None:
        start = opening.packet.sequence
        owner = FlowOwner(host, anyio.current_time(), start, start)
        self._store_owner(opening.flow, owner)
        for packet in opening.waiting_packets:
            self._forward(owner, packet)

    def _on_refused(self, opening: openings_module.Opening) -> None:
        self._reset_flow(opening.flow, "no endpoint")

    def _on_open_elsewhere(self, opening: openings_module.Opening) -> None:
        for packet in opening.waiting_packets:
            self._owners.search(packet)

    def _on_found(self, search: owners_module.OwnerSearch, host: str) -> None:
        owner = FlowOwner(
            host,
            anyio.current_time(),
            search.caller_position,
            search.opening_sequence,
        )
        self._store_owner(search.flow, owner)
        if search.opening is not None:
            self._forward(owner, search.opening)
        for packet in search.waiting_packets:
            self._forward(owner, packet)

    def _on_unclear(self, search: owners_module.OwnerSearch) -> None:
        if not self._trials.begin(search):
            self._owners.delay_search(search.flow)
            # The agent that did not answer may be about to start.
            self._lost_flows.record_unclear(search, search.waiting_packets[-1])

    def _on_held(self, trial: trials_module.Trial, host: str) -> None:
        owner = FlowOwner(
            host, anyio.current_time(), trial.tried_packet.sequence
        )
        self._store_owner(trial.search.flow, owner)
        for packet in trial.waiting_packets[1:]:
            self._forward(owner, packet)

    def _on_held_nowhere(self, trial: trials_module.Trial) -> None:
        self._owners.delay_search(trial.search.flow)
        self._lost_flows.record(trial.search, trial.waiting_packets[-1])

    def _on_lost(self, search: owners_module.OwnerSearch) -> None:
        if search.opening is None:
            self._lost_flows.record(search, search.waiting_packets[-1])
            return
        configuration = self._view_manager.view.configuration
        route = configuration.route_by_address.get(search.opening.destination)
        if route is not None:
            arrived_s = anyio.current_time()
            self._openings.open_flow(search.opening, route, arrived_s)

    def _reset_lost_flow(self, packet: segment.Segment) -> None:
        flow = packet.flow_from_caller()
        self._reset_flow(flow, "no endpoint holds it", packet)

    def _on_not_held(
        self, message: frames.FlowNotHeld, data: bytes, host: str
    ) -> None:
        packet = self._codec.decode(data)
        if packet is None:
            return
        flow = packet.flow_from_caller()
        trial = self._trials.trial_by_flow.get(flow)
        if trial is not None:
            if trial.includes(packet):
                self._trials.record_not_held(trial, host)
            return
        owner = self.owner_by_flow.get(flow)
        if owner is None or owner.host != host or not owner.includes(packet):
            return
        del self.owner_by_flow[flow]
        if packet.ack or packet.opening:
            self._route_packet(packet)

    def _store_owner(self, flow: segment.Flow, owner: FlowOwner) -> None:
        self.owner_by_flow[flow] = owner
        if len(self.owner_by_flow) > MAX_FLOWS:
            self.owner_by_flow.popitem(last=False)

    def _reset_flow(
        self,
        flow: segment.Flow,
        reason: str,
        packet: segment.Segment | None = None,
    ) -> None:
        """Send a reset for a flow.

        Its sequence number is what ``packet`` acknowledges. Without a packet
        it is 0: the caller of a flow that is not open accepts any.
        """
        self._metrics.count(RESETS_SENT)
        _log.warn_throttled(
            f"reset {reason}",
            "flow reset",
            flow=str(flow),
            reason=reason,
            version=self._view_manager.view.configuration.version,
        )
        caller_address = (
            segment.ipv4_to_text(flow.caller_host),
            self.kernel.settings.caller_port,
        )
        sequence = 0 if packet is None else packet.acknowledged
        reset = self._codec.reset(flow, sequence)
        self._peers.send_raw(reset, caller_address)

    async def _route_early_packets(self) -> None:
        """Route the packets that arrived before a view was loaded."""
        while not self._view_manager.view.loaded:
            await self._view_manager.wait_for_change()
        early, self._early_by_flow = self._early_by_flow, {}
        oldest_s = anyio.current_time() - openings_module.MAX_OPENING_AGE_S
        open_flow_packets = []
        for arrived_s, packet in early.values():
            if not packet.opening:
                open_flow_packets.append(packet)
            elif arrived_s > oldest_s:
                guard.call(
                    self._metrics, self._open_early_flow, packet, arrived_s
                )
        for packet in open_flow_packets:
            guard.call(self._metrics, self._route_packet, packet)
            await anyio.sleep(EARLY_SEARCH_PAUSE_S)

    def _open_early_flow(
        self, packet: segment.Segment, arrived_s: float
    ) -> None:
        configuration = self._view_manager.view.configuration
        route = configuration.route_by_address.get(packet.destination)
        if route is None:
            self._handle_unrouted(packet.flow_from_caller(), packet)
        else:
            self._openings.open_flow(packet, route, arrived_s)

    async def _purge_idle_flows(self) -> None:
        """Forget the owners of flows that exceed the idle timeout."""
        while True:
            await anyio.sleep(PURGE_INTERVAL_S)
            idle_s = self._view_manager.view.configuration.idle_s
            oldest_s = anyio.current_time() - idle_s
            idle_flows = [
                flow
                for flow, owner in self.owner_by_flow.items()
                if owner.seen_s < oldest_s
            ]
            for flow in idle_flows:
                del self.owner_by_flow[flow]
