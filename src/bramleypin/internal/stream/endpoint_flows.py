"""The flows of one endpoint, as its agent sees both directions of them."""

import dataclasses

import anyio

from bramleypin.internal.stream import frames
from bramleypin.internal.stream import segment

# Packets may still arrive for a flow that has ended; the endpoint answers
# them, so the agent remembers the flow for as long as its peers send again
# (8 times, up to 1.6 s apart).
LINGER_S = 10.0
# A caller gives an opening up after 1.4 s.
HALF_OPEN_S = 3.0
# Weight of a new sample in the mean service time.
SAMPLE_WEIGHT = 0.1
# Without a route that says how long a caller waits.
DEFAULT_BUDGET_S = 10.0
# Positions in a flow wrap around at 32 bits.
MASK = 0xFFFFFFFF


@dataclasses.dataclass(slots=True)
class EndpointFlow:
    """One flow.

    ``offer`` and ``opening`` (the offered packet) are kept until the endpoint
    accepts the flow. ``origin_host`` is the balancer that sent the latest
    packet, ``endpoint_sequence`` the position in the endpoint's SYN+ACK.
    ``busy_since_s`` is when the endpoint got a request that it has not
    answered. ``sampled`` marks a request that found a free slot, so that its
    duration tells the endpoint's speed. ``budget_s`` is how long a caller
    waits for an answer. ``caller_position`` is the end of the caller's data
    so far; -1 before the first.
    """

    flow: segment.Flow
    caller_address: tuple[str, int]
    created_s: float
    seen_s: float
    opening: bytes = b""
    origin_host: str = ""
    offer: frames.Open | None = None
    offered_s: float = 0.0
    budget_s: float = DEFAULT_BUDGET_S
    endpoint_sequence: int = -1
    established: bool = False
    busy_since_s: float | None = None
    sampled: bool = False
    caller_done: bool = False
    endpoint_done: bool = False
    ended_s: float | None = None
    caller_position: int = -1

    def advance(self, packet: segment.Segment) -> bool:
        """Note a caller's data; tell whether it is not a retransmission."""
        end = (packet.sequence + packet.data_bytes) & MASK
        ahead = (end - self.caller_position) & MASK
        if self.caller_position >= 0 and not 0 < ahead <= MASK // 2:
            return False
        self.caller_position = end
        return True

    def is_confirmed_by(self, acknowledged: int) -> bool:
        """Tell whether a position acknowledges this endpoint's SYN+ACK."""
        if self.endpoint_sequence < 0:
            return False
        return (acknowledged - self.endpoint_sequence) & MASK <= 1


class EndpointFlows:
    """The table of flows, with the load that follows from it.

    ``half_open_by_key`` holds the flows that their callers have not confirmed.
    ``running`` is the number of requests at the endpoint, ``open_count``
    the number of flows that have not ended. ``service_time_s`` is 0 until
    the first request has been answered.
    """

    def __init__(self, caller_port: int):
        self.flow_by_key: dict[segment.Flow, EndpointFlow] = {}
        self.half_open_by_key: dict[segment.Flow, EndpointFlow] = {}
        self.running = 0
        self.open_count = 0
        self.service_time_s = 0.0
        self._caller_port = caller_port

    def add(self, key: segment.Flow) -> EndpointFlow:
        """Add a flow; the caller's address is worked out once."""
        now_s = anyio.current_time()
        address = (segment.ipv4_to_text(key.caller_host), self._caller_port)
        entry = EndpointFlow(key, address, now_s, now_s)
        self.flow_by_key[key] = entry
        self.open_count += 1
        return entry

    def begin_request(self, entry: EndpointFlow, slots: int) -> None:
        """Note that the endpoint got a request of this flow."""
        open_ = entry.ended_s is None and not entry.endpoint_done
        if entry.busy_since_s is None and open_:
            entry.sampled = self.running < slots
            entry.busy_since_s = anyio.current_time()
            self.running += 1

    def end_request(self, entry: EndpointFlow, answered: bool) -> None:
        """Note that the endpoint has answered, or never will."""
        if entry.busy_since_s is None:
            return
        self.running -= 1
        duration_s = anyio.current_time() - entry.busy_since_s
        entry.busy_since_s = None
        if not answered or not entry.sampled:
            return
        if not self.service_time_s:
            self.service_time_s = duration_s
        change_s = duration_s - self.service_time_s
        self.service_time_s += SAMPLE_WEIGHT * change_s

    def end(self, entry: EndpointFlow) -> None:
        """Note that a flow has ended; it lingers for late packets."""
        if entry.ended_s is None:
            entry.ended_s = anyio.current_time()
            self.open_count -= 1
            self.end_request(entry, answered=False)
        self.half_open_by_key.pop(entry.flow, None)

    def forget(self, entry: EndpointFlow) -> None:
        """Remove a flow, for example one that another agent now opens."""
        self.end(entry)
        self.flow_by_key.pop(entry.flow, None)

    def purge(self, idle_s: float) -> None:
        """Remove flows that ended, were never opened or have been idle."""
        now_s = anyio.current_time()
        for entry in list(self.flow_by_key.values()):
            if entry.ended_s is not None:
                expired = now_s - entry.ended_s > LINGER_S
            elif not entry.established:
                expired = now_s - entry.seen_s > HALF_OPEN_S
            else:
                expired = now_s - entry.seen_s > idle_s
            if expired:
                self.forget(entry)
            elif (
                entry.busy_since_s is not None
                and now_s - entry.busy_since_s > entry.budget_s
            ):
                # The caller has given up, with or without saying so.
                self.end_request(entry, answered=False)

    def live(self) -> list[EndpointFlow]:
        """Return the established flows that have not ended."""
        return [
            entry
            for entry in self.flow_by_key.values()
            if entry.established and entry.ended_s is None
        ]
