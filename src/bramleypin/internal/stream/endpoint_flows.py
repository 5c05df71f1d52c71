"""Flow table of one endpoint, built from packets in both directions."""

import collections
import dataclasses
import typing

import anyio

from bramleypin.internal.stream import frames
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import service_time
from bramleypin.internal.stream import settings as stream_settings

# Late packets may still arrive for a flow that has ended, and the endpoint
# answers them. The agent therefore keeps the flow for as long as either side
# may retransmit: 8 times, up to 1.6 s apart.
LINGER_S = 10.0
# Callers abandon an opening after this time; they send no copy of it later.
OPENING_TIMEOUT_S = 1.4
# A flow that is not established expires this long after its last packet.
HALF_OPEN_TIMEOUT_S = 3.0
# Time that a caller is assumed to wait for an answer if no route states one.
DEFAULT_BUDGET_S = 10.0
# Openings carry the number of earlier copies (far fewer than this) in place of
# an acknowledgement number, and resets may carry 0.
MAX_OPENING_COPIES = 8
# Maximum number of flows that the endpoint is known not to hold.
MAX_FLOWS_NOT_HELD = 20_000
# Maximum number of a flow's packets that are kept until its endpoint has shown
# that it holds the flow. An endpoint acknowledges every second packet.
MAX_TRIED_PACKETS = 4


@dataclasses.dataclass(slots=True)
class EndpointFlow:
    """State of one flow at its endpoint.

    ``offer`` and ``opening`` (the offered packet) are kept until the endpoint
    accepts the flow. ``opening_sequence`` is the sequence number of that
    packet, or -1 if this process has not seen it. ``origin_host`` is the
    balancer that sent the latest packet, ``endpoint_sequence`` the sequence
    number of the endpoint's SYN+ACK, or -1 until then.
    ``request_started_s`` is the time at which the endpoint received a request
    that it has not answered yet, ``request_data_s`` that of its latest data.
    ``measures_service_time`` marks a request that started in a free slot, so
    its duration does not include queueing. ``budget_s`` is the time that
    the caller waits for an answer. ``caller_position`` is the end of the data
    received from the caller, or -1 before the first packet;
    ``endpoint_position`` is the same for the endpoint's data.
    ``verified`` is true once the endpoint has shown that it holds this flow,
    and not an earlier one with the same addresses and ports. Until then,
    ``tried_packets`` are the caller's latest packets given to the endpoint.
    """

    flow: segment.Flow
    caller_address: tuple[str, int]
    created_s: float
    seen_s: float
    opening: bytes = b""
    opening_sequence: int = -1
    origin_host: str = ""
    offer: frames.Offer | None = None
    offered_s: float = 0.0
    budget_s: float = DEFAULT_BUDGET_S
    endpoint_sequence: int = -1
    established: bool = False
    request_started_s: float | None = None
    request_data_s: float | None = None
    measures_service_time: bool = False
    caller_finished: bool = False
    endpoint_finished: bool = False
    ended_s: float | None = None
    caller_position: int = -1
    endpoint_position: int = -1
    verified: bool = False
    tried_packets: list[bytes] = dataclasses.field(default_factory=list)

    @property
    def is_offered(self) -> bool:
        """Whether the endpoint has not answered the flow's opening yet."""
        return self.offer is not None

    def record_tried_packet(self, packet: segment.Segment) -> None:
        """Record a packet given to an endpoint that may not hold the flow.

        The first one tells the positions of a flow that is older than this
        process.
        """
        if self.caller_position < 0:
            self.caller_position = packet.sequence
        if self.endpoint_position < 0 and _acknowledges_data(packet):
            self.endpoint_position = packet.acknowledged
        self.tried_packets.append(packet.raw)
        del self.tried_packets[:-MAX_TRIED_PACKETS]

    def record_endpoint_packet(self, packet: segment.Segment) -> None:
        """Record what a SYN+ACK, or any packet of an unverified flow, tells.

        An endpoint that has ended an earlier flow answers a FIN with an ACK,
        data with a reset, and sends data only at the earlier flow's positions.
        """
        if packet.syn:
            if packet.sequence != self.endpoint_sequence:
                self.endpoint_sequence = packet.sequence
                self.endpoint_position = packet.sequence
            self._set_verified()
        if self.opening_sequence < 0 and self.caller_position < 0:
            # This process has not seen the flow's opening.
            self.caller_position = packet.acknowledged
        if packet.syn:
            return
        if self.endpoint_position < 0:
            self.endpoint_position = packet.sequence
        is_answer = packet.data_bytes or packet.fin or not self.caller_finished
        if self.tried_packets and is_answer and self._is_near(packet.sequence):
            self._set_verified()

    def _set_verified(self) -> None:
        self.verified = True
        self.tried_packets.clear()

    def record_caller_data(self, packet: segment.Segment) -> bool:
        """Record a caller's data; return false if it is a retransmission."""
        end = (packet.sequence + packet.data_bytes) & segment.SEQUENCE_MASK
        if (
            self.caller_position >= 0
            and segment.bytes_ahead(end, self.caller_position) <= 0
        ):
            return False
        self.caller_position = end
        self.request_data_s = anyio.current_time()
        return True

    def record_endpoint_data(self, packet: segment.Segment) -> bool:
        """Record an endpoint's data; return false if it is a retransmission.

        A late copy of an answer must not end the request after it.
        """
        end = (packet.sequence + packet.data_bytes) & segment.SEQUENCE_MASK
        if self.endpoint_position >= 0:
            ahead = segment.bytes_ahead(end, self.endpoint_position)
            if -segment.MAX_POSITION_DISTANCE_BYTES <= ahead <= 0:
                return False
        self.endpoint_position = end
        return True

    def is_from_earlier_flow(self, packet: segment.Segment) -> bool:
        """Return whether an endpoint's packet is from an earlier flow.

        A caller may use the port of an ended flow again while its endpoint
        still sends copies of the last answer. Unknown for an unverified flow
        that is older than this process.
        """
        if packet.syn:
            return False
        if self.is_offered:
            return True
        is_stream_part = packet.data_bytes or packet.fin
        if not is_stream_part or not self.verified:
            return False
        return not self._is_near(packet.sequence)

    def _is_near(self, position: int) -> bool:
        """Return whether a position is close to the endpoint's latest data."""
        return segment.are_near(position, self.endpoint_position)

    def is_acknowledged_by(self, acknowledged: int) -> bool:
        """Return whether a number acknowledges this endpoint's SYN+ACK."""
        if self.endpoint_sequence < 0:
            return False
        ahead = (acknowledged - self.endpoint_sequence) & segment.SEQUENCE_MASK
        return ahead <= 1

    def includes(self, acknowledged: int, opening_sequence: int) -> bool:
        """Return whether a caller's packet is of this flow.

        A flow with the same addresses and ports is another one if they are in
        use again, or if two endpoints have accepted the same opening.
        ``acknowledged`` and ``opening_sequence`` are those of the packet.
        """
        if opening_sequence >= 0:
            if self.opening_sequence >= 0:
                return opening_sequence == self.opening_sequence
            age_s = anyio.current_time() - self.created_s
            return (
                self.ended_s is None
                and age_s < OPENING_TIMEOUT_S
                and segment.are_near(opening_sequence, self.caller_position)
            )
        if acknowledged < MAX_OPENING_COPIES:
            # The packet acknowledges nothing.
            return True
        if not self.established:
            return self.is_acknowledged_by(acknowledged)
        return self.endpoint_position < 0 or self._is_near(acknowledged)


def _acknowledges_data(packet: segment.Segment) -> bool:
    return packet.ack and packet.acknowledged >= MAX_OPENING_COPIES


class EndpointFlows:
    """The endpoint's flow table and the load derived from it.

    ``half_open_by_key`` holds the flows whose callers have not acknowledged
    the SYN+ACK. ``running_requests`` is the number of requests at the
    endpoint, ``open_flow_count`` the number of flows that have not ended.
    ``on_request_end()`` is called when a request ends.
    """

    def __init__(self, settings: stream_settings.StreamSettings):
        self.flow_by_key: dict[segment.Flow, EndpointFlow] = {}
        self.half_open_by_key: dict[segment.Flow, EndpointFlow] = {}
        self.running_requests = 0
        self.open_flow_count = 0
        self.service_time = service_time.ServiceTimeEstimate()
        self.on_request_end: typing.Callable[[], None] = lambda: None
        self._caller_port = settings.caller_port
        self._lifetime_s = settings.bounds.flow_lifetime_s
        self._started_s = anyio.current_time()
        # The endpoint's position in each flow that it does not hold; ``None``
        # if it holds no other flow with these addresses and ports either.
        self._position_by_flow_not_held: collections.OrderedDict[
            segment.Flow, int | None
        ] = collections.OrderedDict()

    @property
    def service_time_s(self) -> float:
        """The endpoint's service time; 0 with too few answered requests."""
        return self.service_time.seconds

    def add(self, key: segment.Flow) -> EndpointFlow:
        """Add a flow, which replaces an earlier one with the same key.

        Its caller's address is converted to text only here.
        """
        earlier = self.flow_by_key.get(key)
        if earlier is not None:
            self.forget(earlier)
        now_s = anyio.current_time()
        address = (segment.ipv4_to_text(key.caller_host), self._caller_port)
        entry = EndpointFlow(key, address, now_s, now_s)
        self.flow_by_key[key] = entry
        self.open_flow_count += 1
        self._position_by_flow_not_held.pop(key, None)
        return entry

    def record_not_held(self, entry: EndpointFlow) -> None:
        """Record that the endpoint returned or ended a flow.

        It does not hold the flow unless it accepts an opening for it later.
        If it never held it, it may hold another one with the same addresses
        and ports; after a verified one, this process would know that.
        """
        positions = self._position_by_flow_not_held
        position = None if entry.verified else entry.endpoint_position
        positions[entry.flow] = position
        if len(positions) > MAX_FLOWS_NOT_HELD:
            positions.popitem(last=False)

    def is_not_held(self, key: segment.Flow, acknowledged: int) -> bool:
        """Return whether the endpoint is known not to hold a flow.

        ``acknowledged`` is the position that its caller acknowledges.
        """
        position = self._position_by_flow_not_held.get(key, -1)
        if position is None:
            return True
        return position >= 0 and segment.are_near(position, acknowledged)

    def started_recently(self) -> bool:
        """Return whether flows older than this process may still be open."""
        return self.uptime_s() < self._lifetime_s

    def uptime_s(self) -> float:
        """Return the time since this process started, in seconds."""
        return anyio.current_time() - self._started_s

    def answer_lookup(
        self, key: segment.Flow, acknowledged: int, opening_sequence: int
    ) -> str:
        """Return ``holds``, ``maybe`` or ``no``: whether a flow is here.

        ``acknowledged`` and ``opening_sequence`` are those of the caller's
        packet, as in ``EndpointFlow.includes``.
        """
        entry = self.flow_by_key.get(key)
        if entry is not None:
            includes = entry.includes(acknowledged, opening_sequence)
            if entry.verified or entry.is_offered:
                return "holds" if includes else "no"
            if includes:
                return "maybe"
        if self.is_not_held(key, acknowledged):
            return "no"
        return "maybe" if self.started_recently() else "no"

    def begin_request(self, entry: EndpointFlow, slots: int) -> None:
        """Record that the endpoint received a request of this flow."""
        is_open = entry.ended_s is None and not entry.endpoint_finished
        if entry.request_started_s is None and is_open:
            entry.measures_service_time = self.running_requests < slots
            entry.request_started_s = anyio.current_time()
            self.running_requests += 1

    def end_request(self, entry: EndpointFlow, answered: bool) -> None:
        """Record that the running request was answered or abandoned."""
        if entry.request_started_s is None:
            return
        self.running_requests -= 1
        self.on_request_end()
        data_s = entry.request_data_s
        entry.request_started_s = entry.request_data_s = None
        if answered and entry.measures_service_time and data_s is not None:
            now_s = anyio.current_time()
            route = (entry.flow.service_host, entry.flow.service_port)
            self.service_time.add(now_s - data_s, route, now_s)

    def end(self, entry: EndpointFlow) -> None:
        """Mark a flow as ended but keep it for late packets."""
        if entry.ended_s is None:
            entry.ended_s = anyio.current_time()
            self.open_flow_count -= 1
            self.end_request(entry, answered=False)
        self.half_open_by_key.pop(entry.flow, None)

    def forget(self, entry: EndpointFlow) -> None:
        """Remove a flow at once, e.g. because its opening is passed on."""
        self.end(entry)
        self.flow_by_key.pop(entry.flow, None)

    def purge(self, idle_s: float) -> None:
        """Remove expired flows and end requests that exceed their budget.

        An ended flow expires ``LINGER_S`` after its end, an established one
        ``idle_s`` and any other ``HALF_OPEN_TIMEOUT_S`` after its last packet.
        """
        now_s = anyio.current_time()
        for entry in list(self.flow_by_key.values()):
            was_ended = entry.ended_s is not None
            if entry.ended_s is not None:
                expired = now_s - entry.ended_s > LINGER_S
            elif not entry.established:
                expired = now_s - entry.seen_s > HALF_OPEN_TIMEOUT_S
            else:
                expired = now_s - entry.seen_s > idle_s
            if expired:
                self.forget(entry)
                is_quiet = now_s - entry.seen_s > LINGER_S / 2
                if was_ended and is_quiet and self.started_recently():
                    # Flows that this process does not know may be open.
                    self.record_not_held(entry)
            elif (
                entry.request_started_s is not None
                and now_s - entry.request_started_s > entry.budget_s
            ):
                # The caller has given up, whether or not it closed the flow.
                self.end_request(entry, answered=False)

    def established_flows(self) -> list[EndpointFlow]:
        """Return the established flows that have not ended."""
        return [
            entry
            for entry in self.flow_by_key.values()
            if entry.established and entry.ended_s is None
        ]
