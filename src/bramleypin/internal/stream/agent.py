"""Forwards all packets between one endpoint and its callers."""

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import datagram
from bramleypin.internal.observe import logs
from bramleypin.internal.stream import agent_metrics
from bramleypin.internal.stream import endpoint_flow
from bramleypin.internal.stream import endpoint_flows
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import guard
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import stream_admission
from bramleypin.internal.stream import ticker

PURGE_INTERVAL_S = 1.0
# An endpoint answers an opening within 1 ms unless its machine is busy.
ENDPOINT_TIMEOUT_S = 0.03
TICK_INTERVAL_S = 0.01
# Callers acknowledge a SYN+ACK at once and retransmit after 0.2 s.
CALLER_ACK_TIMEOUT_S = 0.3
# Consecutive unanswered openings after which the endpoint is reported silent.
MAX_UNANSWERED_OPENINGS = 3

_log = logs.get("agent")


@kernel_module.service(
    "agent",
    roles=("stream_agent",),
    needs=("view", "peer_port", "stream_admission", "reports", "metrics"),
)
class Agent(kernel_module.Service):
    """Tracks and forwards the flows of the endpoint on this machine."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        settings = kernel.settings
        self.settings = settings
        self._codec = kernel.environment.codec
        self._views = kernel.get("view")
        self._peers = kernel.get("peer_port")
        self._admission = kernel.get("stream_admission")
        self._reports = kernel.get("reports")
        self.flows: endpoint_flows.EndpointFlows = self._admission.flows
        self._metrics = kernel.get("metrics")
        self.flows.health.count = self._metrics.count
        self._unanswered_openings = 0
        self._ticker = ticker.Ticker(TICK_INTERVAL_S)
        self._peers.set_handler(frames.Offer, self._on_offer)
        self._peers.set_handler(frames.Data, self._on_data)

    async def start(self) -> None:
        """Open the UDP port that receives the endpoint's packets."""
        self._port = await self.kernel.environment.open_datagram_port(
            self.settings.outbound
        )

    async def stop(self) -> None:
        """Close the port."""
        await self._port.aclose()

    async def run(self) -> None:
        """Forward the endpoint's packets until the port is closed."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._pass_on_unanswered)
            tasks.start_soon(self._purge_flows)
            await datagram.serve(self._port, self._on_datagram)

    def _on_datagram(self, data: bytes, _: tuple[str, int]) -> None:
        guard.call(self._metrics, self.forward_from_endpoint, data)

    def _on_offer(self, offer: frames.Offer, data: bytes, host: str) -> None:
        packet = self._codec.decode(data)
        if packet is None or not packet.opening:
            return
        self._reports.record_offer(offer.origin_host)
        self._views.last_use_s = anyio.current_time()
        flow = packet.flow_from_caller()
        entry = self.flows.flow_by_key.get(flow)
        if (
            entry is not None
            and entry.ended_s is None
            and entry.includes(packet.acknowledged, packet.opening_sequence)
        ):
            self._forward_to_endpoint(entry, packet)
            self._reply(offer, "taken", "known")
            return
        reason = self._admission.check_admission(
            stream_admission.AdmissionRequest(
                offer,
                packet.destination,
                self.flows.running_requests,
                self.flows.open_flow_count,
                is_last=not offer.fallback_hosts,
                has_highest_priority=self._admission.has_highest_priority(
                    packet.destination
                ),
            )
        )
        if reason:
            self._pass_on(offer, flow, packet.raw, reason)
            return
        self._accept_opening(offer, packet, flow)

    def _accept_opening(
        self, offer: frames.Offer, packet: segment.Segment, flow: segment.Flow
    ) -> None:
        self._metrics.count(agent_metrics.FLOWS_TAKEN)
        entry = self.flows.add(flow)
        entry.opening = packet.raw
        entry.opening_sequence = packet.opening_sequence
        entry.origin_host = offer.origin_host
        entry.offer = offer
        entry.offered_s = entry.created_s
        route = self._views.view.configuration.route_by_address.get(
            packet.destination
        )
        if route is not None:
            entry.budget_s = route.timeout_s
        self.flows.begin_request(entry, self._admission.slots())
        self.flows.half_open_by_key[flow] = entry
        self._send_to_endpoint(packet.raw)
        self._ticker.wake()

    def _pass_on(
        self, offer: frames.Offer, flow: segment.Flow, data: bytes, reason: str
    ) -> None:
        """Pass an opening on to the next agent; refuse it if none is left."""
        remaining_hosts = [
            host
            for host in offer.fallback_hosts
            if host not in offer.tried_hosts and host != self.settings.host
        ]
        if not remaining_hosts:
            self._metrics.count(agent_metrics.OPENINGS_DECLINED)
            self._reply(offer, "refused", reason)
            return
        self._metrics.count(agent_metrics.OPENINGS_PASSED)
        _log.info(
            "opening passed on",
            flow=str(flow),
            opening=offer.opening,
            origin=offer.origin_host,
            to=remaining_hosts[0],
            reason=reason,
            running=self.flows.running_requests,
            revision=self._views.view.revision,
        )
        self._reply(offer, "passed", remaining_hosts[0])
        self._peers.send(
            remaining_hosts[0],
            frames.Offer(
                offer.opening,
                offer.origin_host,
                offer.service,
                offer.version,
                offer.revision,
                [*offer.tried_hosts, self.settings.host],
                remaining_hosts[1:],
                offer.is_late,
                offer.era,
            ),
            data,
        )

    def _reply(self, offer: frames.Offer, outcome: str, reason: str) -> None:
        self._peers.send(
            offer.origin_host,
            frames.OfferAnswer(
                offer.opening, outcome, reason, self._reports.current_report()
            ),
        )

    async def _pass_on_unanswered(self) -> None:
        """Pass on openings that the endpoint does not answer in time."""
        while True:
            interval_s = await self._ticker.wait(self.flows.half_open_by_key)
            if interval_s > ENDPOINT_TIMEOUT_S:
                # The process was stalled; answers may be waiting unread.
                continue
            now_s = anyio.current_time()
            for entry in list(self.flows.half_open_by_key.values()):
                guard.call(self._metrics, self._check_half_open, entry, now_s)

    def _check_half_open(
        self, entry: endpoint_flow.EndpointFlow, now_s: float
    ) -> None:
        age_s = now_s - entry.offered_s
        if entry.offer is not None and age_s > ENDPOINT_TIMEOUT_S:
            self._on_opening_failed(entry)
        elif age_s > CALLER_ACK_TIMEOUT_S:
            # The caller has connected to another endpoint or given up, so the
            # flow no longer counts as a running request.
            self.flows.end_request(entry, answered=False)
            self.flows.half_open_by_key.pop(entry.flow)

    def _on_opening_failed(self, entry: endpoint_flow.EndpointFlow) -> None:
        """Pass on an opening that the endpoint left unanswered or returned."""
        self._unanswered_openings += 1
        if self._unanswered_openings == MAX_UNANSWERED_OPENINGS:
            self._admission.endpoint_silent = True
            _log.warning(
                "the endpoint does not answer openings",
                unanswered=self._unanswered_openings,
            )
        self.flows.forget(entry)
        if entry.offer is not None:
            self._pass_on(
                entry.offer, entry.flow, entry.opening, "endpoint is silent"
            )

    def _on_data(self, message: frames.Data, data: bytes, host: str) -> None:
        packet = self._codec.decode(data)
        if packet is None:
            return
        self._reports.record_balancer(host)
        flow = packet.flow_from_caller()
        entry = self.flows.flow_by_key.get(flow)
        if entry is None or not entry.includes(
            packet.acknowledged, packet.opening_sequence
        ):
            is_known = entry is not None and (
                entry.verified or entry.is_offered
            )
            if is_known or not self._endpoint_may_hold_flow(message, packet):
                self._return_packet(host, data)
                return
            # The endpoint may hold flows from before this process started.
            entry = self.flows.add(flow)
            entry.established = True
        if not entry.verified:
            entry.record_tried_packet(packet)
        entry.origin_host = host
        self._forward_to_endpoint(entry, packet)

    def _endpoint_may_hold_flow(
        self, message: frames.Data, packet: segment.Segment
    ) -> bool:
        """Return whether a flow that this agent does not know may be open.

        Shortly after the start, the flow's route may have named this service
        in a version of the configuration that this process has not seen.
        """
        if packet.opening or self.flows.is_not_held(
            packet.flow_from_caller(), packet.acknowledged
        ):
            return False
        if self.flows.may_hold_older_flows():
            return True
        services = self._views.services_for_address(packet.destination)
        return message.confirmed and self.settings.service in services

    def _return_packet(self, host: str, data: bytes) -> None:
        self._metrics.count(agent_metrics.PACKETS_NOT_HELD)
        self._peers.send(host, frames.FlowNotHeld(self.settings.host), data)

    def _forward_to_endpoint(
        self, entry: endpoint_flow.EndpointFlow, packet: segment.Segment
    ) -> None:
        entry.seen_s = anyio.current_time()
        if not packet.opening and not entry.established:
            entry.established = True
            self.flows.half_open_by_key.pop(entry.flow, None)
        if packet.opening:
            self._metrics.count(agent_metrics.OPENING_COPIES)
        if packet.data_bytes and entry.record_caller_data(packet):
            self.flows.begin_request(entry, self._admission.slots())
        if packet.rst:
            self.flows.end(entry)
        elif packet.fin:
            entry.caller_finished = True
            if entry.endpoint_finished:
                self.flows.end(entry)
        self._send_to_endpoint(packet.raw)

    def _send_to_endpoint(self, data: bytes) -> None:
        self._port.send(data, self.settings.endpoint)

    def forward_from_endpoint(self, data: bytes) -> None:
        """Forward one packet from the endpoint to its caller."""
        packet = self._codec.decode(data)
        if packet is None:
            return
        if packet.bounced:
            self._on_bounced(packet)
            return
        self._on_endpoint_answer()
        flow = packet.flow_from_endpoint()
        entry = self.flows.flow_by_key.get(flow)
        if packet.rst and (entry is None or not entry.verified):
            self._on_unverified_reset(entry)
            return
        if entry is None:
            entry = self.flows.add(flow)
            entry.established = not packet.syn
        elif entry.is_from_earlier_flow(packet):
            self._metrics.count(agent_metrics.LATE_ANSWERS_DROPPED)
            return
        entry.seen_s = anyio.current_time()
        if packet.syn or not entry.verified:
            entry.record_endpoint_packet(packet)
        if packet.syn and entry.offer is not None:
            self._reply(entry.offer, "taken", "")
            entry.offer, entry.opening = None, b""
        if packet.data_bytes and entry.record_endpoint_data(packet):
            self.flows.end_request(entry, answered=True)
        if packet.rst or packet.fin:
            self.flows.end_by_endpoint(entry, packet.rst)
        self._metrics.count(agent_metrics.PACKETS_TO_CALLERS)
        self._peers.send_raw(data, entry.caller_address)

    def _on_unverified_reset(
        self, entry: endpoint_flow.EndpointFlow | None
    ) -> None:
        """Keep a reset from the caller if another endpoint may hold the flow.

        An endpoint that has ended an earlier flow with the same addresses and
        ports resets data of the open one. The balancer gets the data back and
        searches for the flow.
        """
        self._metrics.count(agent_metrics.RESETS_WITHHELD)
        if entry is not None and not entry.is_offered:
            self._return_flow(entry, entry.tried_packets)

    def _return_flow(
        self, entry: endpoint_flow.EndpointFlow, packets: list[bytes]
    ) -> None:
        """Return packets of a flow that the endpoint does not hold."""
        self.flows.forget(entry)
        self.flows.record_not_held(entry)
        if entry.origin_host:
            for data in packets:
                self._return_packet(entry.origin_host, data)

    def _on_endpoint_answer(self) -> None:
        self._unanswered_openings = 0
        if self._admission.endpoint_silent:
            self._admission.endpoint_silent = False
            _log.info("the endpoint answers openings again")

    def _on_bounced(self, packet: segment.Segment) -> None:
        self._metrics.count(agent_metrics.PACKETS_BOUNCED)
        self._on_endpoint_answer()
        flow = packet.flow_from_caller()
        entry = self.flows.flow_by_key.get(flow)
        if entry is None or not entry.includes(
            packet.acknowledged, packet.opening_sequence
        ):
            # The packet is of an earlier flow.
            return
        if packet.opening:
            if entry.offer is not None:
                self._on_opening_failed(entry)
            return
        opened_here = entry.endpoint_sequence >= 0
        age_s = anyio.current_time() - entry.created_s
        returned_packets = entry.tried_packets or [
            self._codec.original_packet(packet)
        ]
        self._return_flow(entry, [] if opened_here else returned_packets)
        _log.info(
            "the endpoint does not hold a flow",
            flow=str(flow),
            opened_here=opened_here,
            age_s=round(age_s, 3),
        )
        if opened_here:
            # The endpoint has restarted, so no endpoint holds the flow. After
            # a reset, its caller can retry at once.
            self._metrics.count(agent_metrics.FLOWS_RESET)
            reset = self._codec.reset(flow, packet.acknowledged)
            self._peers.send_raw(reset, entry.caller_address)

    async def _purge_flows(self) -> None:
        while True:
            await anyio.sleep(PURGE_INTERVAL_S)
            idle_s = self._views.view.configuration.idle_s
            guard.call(self._metrics, self.flows.purge, idle_s)
