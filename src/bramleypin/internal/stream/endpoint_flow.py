"""State of one flow at its endpoint, built from packets in both directions."""

import dataclasses

import anyio

from bramleypin.internal.stream import endpoint_health
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import segment

# Callers abandon an opening after this time; they send no copy of it later.
OPENING_TIMEOUT_S = 1.4
# Time that a caller is assumed to wait for an answer if no route states one.
DEFAULT_BUDGET_S = 10.0
# Openings carry the number of earlier copies (far fewer than this) in place of
# an acknowledgement number, and resets may carry 0.
MAX_OPENING_COPIES = 8
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
    the caller waits for an answer. ``watched_request`` is the running request
    if its data has arrived and the flow was verified. ``caller_position`` is
    the end of the data received from the caller, or -1 before the first
    packet; ``endpoint_position`` is the same for the endpoint's data.
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
    watched_request: endpoint_health.WatchedRequest | None = None
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
