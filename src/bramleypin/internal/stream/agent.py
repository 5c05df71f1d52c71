"""The agent of stream flows: all packets of one endpoint pass here."""

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import datagram
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import endpoint_flows
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import stream_admission
from bramleypin.internal.stream import ticker

BURST = 64
PURGE_INTERVAL_S = 1.0
# The endpoint answers an opening within a millisecond, unless its machine is
# busy.
ENDPOINT_TIMEOUT_S = 0.03
TICK_S = 0.01
# A caller acknowledges the endpoint's answer at once; it sends a lost packet
# again after 0.2 s.
CALLER_TIMEOUT_S = 0.3
# Openings in a row without an answer, until the endpoint counts as silent.
SILENT_AFTER = 3
# A copy of an opening counts the copies before it, where other packets
# acknowledge a position; a caller sends far fewer copies than this.
MAX_COPIES = 8

TAKEN = metrics.declare(
    "stream.flows_taken", "counter", "flows", "Openings given to the endpoint."
)
PASSED = metrics.declare(
    "stream.openings_passed", "counter", "flows", "Openings passed on."
)
DECLINED = metrics.declare(
    "stream.openings_declined",
    "counter",
    "flows",
    "Openings that no agent in the offer could take.",
)
BOUNCED = metrics.declare(
    "stream.packets_bounced",
    "counter",
    "packets",
    "Packets that the endpoint returned, as it does not hold their flow.",
)
TO_CALLER = metrics.declare(
    "stream.packets_to_callers", "counter", "packets", "Packets to callers."
)
RESETS = metrics.declare(
    "stream.flows_reset",
    "counter",
    "flows",
    "Flows reset, as their endpoint has started anew.",
)
NOT_HELD = metrics.declare(
    "stream.packets_not_held",
    "counter",
    "packets",
    "Packets returned to a balancer, as their flow is not here.",
)

_log = logs.get("agent")


@kernel_module.service(
    "agent",
    roles=("stream_agent",),
    needs=("view", "peer_port", "stream_admission", "reports", "metrics"),
)
class Agent(kernel_module.Service):
    """Owns the flows of the endpoint on its machine."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        settings = kernel.settings
        self.settings = settings
        self._codec = kernel.environment.codec
        self._keeper = kernel.get("view")
        self._peers = kernel.get("peer_port")
        self._admission = kernel.get("stream_admission")
        self._reports = kernel.get("reports")
        self.flows: endpoint_flows.EndpointFlows = self._admission.flows
        self._metrics = kernel.get("metrics")
        self._started_s = anyio.current_time()
        self._unanswered_in_row = 0
        self._ticker = ticker.Ticker(TICK_S)
        self._peers.on(frames.Open, self._on_open)
        self._peers.on(frames.Data, self._on_data)
        self._peers.on(frames.Lookup, self._on_lookup)

    async def start(self) -> None:
        """Open the port that the endpoint sends to."""
        self._port = await self.kernel.environment.open_datagram_port(
            self.settings.outbound
        )

    async def stop(self) -> None:
        """Close the port."""
        await self._port.aclose()

    async def run(self) -> None:
        """Read the endpoint's packets until the port is closed."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_openings)
            tasks.start_soon(self._purge)
            burst: list[tuple[bytes, tuple[str, int]]] = []
            while True:
                burst.append(await self._port.receive())
                datagram.receive_more(self._port, BURST, burst)
                for data, _ in burst:
                    self.handle_outbound(data)
                burst.clear()

    def _on_open(self, message: frames.Open, data: bytes, host: str) -> None:
        packet = self._codec.decode(data)
        if packet is None or not packet.opening:
            return
        self._reports.heard(message.origin_host)
        flow = packet.flow_from_caller()
        entry = self.flows.flow_by_key.get(flow)
        if entry is not None and entry.ended_s is None:
            self._to_endpoint(entry, packet)
            self._answer(message, "taken", "known")
            return
        if entry is not None:
            self.flows.forget(entry)
        reason = self._admission.decide(
            stream_admission.Request(
                message,
                self.flows.running,
                self.flows.open_count,
                last=not message.spare_hosts,
                urgent=self._admission.is_urgent(packet.destination),
            )
        )
        if reason:
            self._pass_on(message, flow, packet.raw, reason)
            return
        self._take(message, packet, flow)

    def _take(
        self, message: frames.Open, packet: segment.Segment, flow: segment.Flow
    ) -> None:
        self._metrics.count(TAKEN)
        entry = self.flows.add(flow)
        entry.opening = packet.raw
        entry.origin_host = message.origin_host
        entry.offer = message
        entry.offered_s = entry.created_s
        route = self._keeper.view.configuration.route_by_address.get(
            packet.destination
        )
        if route is not None:
            entry.budget_s = route.timeout_s
        self.flows.begin_request(entry, self._admission.slots())
        self.flows.half_open_by_key[flow] = entry
        self._send_to_endpoint(packet.raw)
        self._ticker.wake()

    def _pass_on(
        self,
        message: frames.Open,
        flow: segment.Flow,
        packet: bytes,
        reason: str,
    ) -> None:
        """Offer an opening to the next agent, or tell that none is left."""
        spares = [
            host
            for host in message.spare_hosts
            if host not in message.tried_hosts and host != self.settings.host
        ]
        if not spares:
            self._metrics.count(DECLINED)
            self._answer(message, "refused", reason)
            return
        self._metrics.count(PASSED)
        _log.info(
            "opening passed on",
            flow=str(flow),
            opening=message.opening,
            origin=message.origin_host,
            to=spares[0],
            reason=reason,
            running=self.flows.running,
            revision=self._keeper.view.revision,
        )
        self._answer(message, "passed", spares[0])
        self._peers.send(
            spares[0],
            frames.Open(
                message.opening,
                message.origin_host,
                message.service,
                message.version,
                message.revision,
                [*message.tried_hosts, self.settings.host],
                spares[1:],
                message.late,
            ),
            packet,
        )

    def _answer(self, message: frames.Open, outcome: str, reason: str) -> None:
        self._peers.send(
            message.origin_host,
            frames.Opened(
                message.opening, outcome, reason, self._reports.report()
            ),
        )

    async def _watch_openings(self) -> None:
        """Pass on openings that the endpoint does not answer."""
        while True:
            interval_s = await self._ticker.wait(self.flows.half_open_by_key)
            if interval_s > ENDPOINT_TIMEOUT_S:
                # The process stood still; answers may wait in the socket.
                continue
            now_s = anyio.current_time()
            for entry in list(self.flows.half_open_by_key.values()):
                age_s = now_s - entry.offered_s
                if entry.offer is not None and age_s > ENDPOINT_TIMEOUT_S:
                    self._unanswered(entry)
                elif age_s > CALLER_TIMEOUT_S:
                    # The caller has gone on with another endpoint or has
                    # given up; the flow no longer counts as work.
                    self.flows.end_request(entry, answered=False)
                    self.flows.half_open_by_key.pop(entry.flow)

    def _unanswered(self, entry: endpoint_flows.EndpointFlow) -> None:
        self._unanswered_in_row += 1
        if self._unanswered_in_row == SILENT_AFTER:
            self._admission.silent = True
            _log.warning(
                "the endpoint does not answer openings",
                unanswered=self._unanswered_in_row,
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
        self._reports.heard(host)
        flow = packet.flow_from_caller()
        entry = self.flows.flow_by_key.get(flow)
        if entry is None:
            if not self._may_hold(message, packet):
                self._return(host, data)
                return
            # The endpoint knows flows from before this process started.
            entry = self.flows.add(flow)
            entry.established = True
        elif self._answers_another(entry, packet):
            self._return(host, data)
            return
        entry.origin_host = host
        self._to_endpoint(entry, packet)

    def _may_hold(self, message: frames.Data, packet: segment.Segment) -> bool:
        services = self._keeper.services_of(packet.destination)
        if self._keeper.view.loaded and self.settings.service not in services:
            return False
        return not packet.opening and (message.owned or self._is_young())

    def _is_young(self) -> bool:
        """Tell whether flows from before this process may still be open."""
        age_s = anyio.current_time() - self._started_s
        return age_s < self.settings.bounds.flow_lifetime_s

    @staticmethod
    def _answers_another(
        entry: endpoint_flows.EndpointFlow, packet: segment.Segment
    ) -> bool:
        """Tell whether a caller opened the flow at another endpoint."""
        if entry.established or packet.opening or not packet.ack:
            return False
        return not entry.is_confirmed_by(packet.acknowledged)

    def _return(self, host: str, data: bytes) -> None:
        self._metrics.count(NOT_HELD)
        self._peers.send(host, frames.NotHeld(self.settings.host), data)

    def _to_endpoint(
        self, entry: endpoint_flows.EndpointFlow, packet: segment.Segment
    ) -> None:
        entry.seen_s = anyio.current_time()
        if not packet.opening and not entry.established:
            entry.established = True
            self.flows.half_open_by_key.pop(entry.flow, None)
        if packet.data_bytes and entry.advance(packet):
            self.flows.begin_request(entry, self._admission.slots())
        if packet.rst:
            self.flows.end(entry)
        elif packet.fin:
            entry.caller_done = True
            if entry.endpoint_done:
                self.flows.end(entry)
        self._send_to_endpoint(packet.raw)

    def _send_to_endpoint(self, data: bytes) -> None:
        self._port.send(data, self.settings.endpoint)

    def _on_lookup(self, message: frames.Lookup, _: bytes, host: str) -> None:
        flow = segment.Flow(*message.flow)
        entry = self.flows.flow_by_key.get(flow)
        if entry is None:
            answer = "maybe" if self._is_young() else "no"
        elif (
            entry.established
            or message.acknowledged < MAX_COPIES
            or entry.is_confirmed_by(message.acknowledged)
        ):
            answer = "holds"
        else:
            answer = "no"
        self._peers.send(
            host, frames.Holder(message.lookup, self.settings.host, answer)
        )

    def handle_outbound(self, data: bytes) -> None:
        """Send on one packet of the endpoint."""
        packet = self._codec.decode(data)
        if packet is None:
            return
        if packet.bounced:
            self._on_bounced(packet)
            return
        self._endpoint_answered()
        flow = packet.flow_from_endpoint()
        entry = self.flows.flow_by_key.get(flow)
        if entry is None:
            entry = self.flows.add(flow)
            entry.established = not packet.syn
        entry.seen_s = anyio.current_time()
        if packet.syn:
            entry.endpoint_sequence = packet.sequence
            if entry.offer is not None:
                self._answer(entry.offer, "taken", "")
                entry.offer, entry.opening = None, b""
        if packet.data_bytes:
            self.flows.end_request(entry, answered=True)
        if packet.rst:
            self.flows.end(entry)
        elif packet.fin:
            entry.endpoint_done = True
            self.flows.end_request(entry, answered=False)
            if entry.caller_done:
                self.flows.end(entry)
        self._metrics.count(TO_CALLER)
        self._peers.send_raw(data, entry.caller_address)

    def _endpoint_answered(self) -> None:
        self._unanswered_in_row = 0
        if self._admission.silent:
            self._admission.silent = False
            _log.info("the endpoint answers again")

    def _on_bounced(self, packet: segment.Segment) -> None:
        self._metrics.count(BOUNCED)
        self._endpoint_answered()
        flow = packet.flow_from_caller()
        entry = self.flows.flow_by_key.get(flow)
        if entry is None:
            return
        if packet.opening:
            if entry.offer is not None:
                self._unanswered(entry)
            return
        origin = entry.origin_host
        was_here = entry.endpoint_sequence >= 0
        age_s = anyio.current_time() - entry.created_s
        self.flows.forget(entry)
        _log.info(
            "the endpoint does not hold a flow",
            flow=str(flow),
            opened_here=was_here,
            age_s=round(age_s, 3),
        )
        if was_here:
            # The endpoint has started anew, so nobody holds the flow: its
            # caller may try again at once.
            self._metrics.count(RESETS)
            reset = self._codec.reset(flow, packet.acknowledged)
            self._peers.send_raw(reset, entry.caller_address)
        elif origin:
            self._return(origin, self._codec.original_packet(packet))

    async def _purge(self) -> None:
        while True:
            await anyio.sleep(PURGE_INTERVAL_S)
            self.flows.purge(self._keeper.view.configuration.idle_s)
