"""Flow table of one endpoint, built from packets in both directions."""

import collections
import typing

import anyio

from bramleypin.internal.stream import endpoint_flow
from bramleypin.internal.stream import endpoint_health
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import service_time
from bramleypin.internal.stream import settings as stream_settings

# Late packets may still arrive for a flow that has ended, and the endpoint
# answers them. The agent therefore keeps the flow for as long as either side
# may retransmit: 8 times, up to 1.6 s apart.
LINGER_S = 10.0
# A flow that is not established expires this long after its last packet.
HALF_OPEN_TIMEOUT_S = 3.0
# Maximum number of flows that the endpoint is known not to hold.
MAX_FLOWS_NOT_HELD = 20_000


class EndpointFlows:
    """The endpoint's flow table and the load derived from it.

    ``half_open_by_key`` holds the flows whose callers have not acknowledged
    the SYN+ACK. ``running_requests`` is the number of requests at the
    endpoint, ``open_flow_count`` the number of flows that have not ended.
    ``on_request_end()`` is called when a request ends. ``endpoint_is_newer()``
    returns whether the endpoint started after this process, so that this
    process has seen all of its flows.
    """

    def __init__(self, settings: stream_settings.StreamSettings):
        self.flow_by_key: dict[segment.Flow, endpoint_flow.EndpointFlow] = {}
        self.half_open_by_key: dict[
            segment.Flow, endpoint_flow.EndpointFlow
        ] = {}
        self.running_requests = 0
        self.open_flow_count = 0
        self.health = endpoint_health.EndpointHealth()
        self.service_time = service_time.ServiceTimeEstimate()
        self.on_request_end: typing.Callable[[], None] = lambda: None
        self.endpoint_is_newer: typing.Callable[[], bool] = lambda: False
        self._caller_port = settings.caller_port
        self._lifetime_s = settings.bounds.flow_lifetime_s
        self._started_s = anyio.current_time()
        # Whether all flows of the endpoint that started before this process
        # are known from the process before it.
        self._knows_older_flows = False
        # The endpoint's position in each flow that it does not hold; ``None``
        # if it holds no other flow with these addresses and ports either.
        self._position_by_flow_not_held: collections.OrderedDict[
            segment.Flow, int | None
        ] = collections.OrderedDict()

    @property
    def service_time_s(self) -> float:
        """The endpoint's service time; 0 with too few answered requests."""
        return self.service_time.seconds

    def add(self, key: segment.Flow) -> endpoint_flow.EndpointFlow:
        """Add a flow, which replaces an earlier one with the same key.

        Its caller's address is converted to text only here.
        """
        earlier = self.flow_by_key.get(key)
        if earlier is not None:
            self.forget(earlier)
        now_s = anyio.current_time()
        address = (segment.ipv4_to_text(key.caller_host), self._caller_port)
        entry = endpoint_flow.EndpointFlow(key, address, now_s, now_s)
        self.flow_by_key[key] = entry
        self.open_flow_count += 1
        self._position_by_flow_not_held.pop(key, None)
        return entry

    def record_not_held(self, entry: endpoint_flow.EndpointFlow) -> None:
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

    def may_hold_older_flows(self) -> bool:
        """Return whether flows that this process does not know may be open."""
        if self._knows_older_flows or self.uptime_s() >= self._lifetime_s:
            return False
        return not self.endpoint_is_newer()

    def uptime_s(self) -> float:
        """Return the time for which this process has seen all flows.

        It includes that of the processes before it which handed their flows
        over. In seconds.
        """
        return anyio.current_time() - self._started_s

    def record_knowledge(self, known_s: float, complete: bool) -> None:
        """Record that the process before this one handed its flows over.

        It had seen all flows for ``known_s`` seconds, and knew all flows of
        the endpoint if ``complete``.
        """
        started_s = anyio.current_time() - known_s
        self._started_s = min(self._started_s, started_s)
        self._knows_older_flows |= complete

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
        return "maybe" if self.may_hold_older_flows() else "no"

    def begin_request(
        self, entry: endpoint_flow.EndpointFlow, slots: int
    ) -> None:
        """Record that the endpoint received a request of this flow."""
        is_open = entry.ended_s is None and not entry.endpoint_finished
        now_s = anyio.current_time()
        if entry.request_started_s is None and is_open:
            entry.measures_service_time = self.running_requests < slots
            entry.request_started_s = now_s
            self.running_requests += 1
        # An opening begins a request before its data. An endpoint that does
        # not hold the flow is not at fault for leaving it unanswered.
        if is_open and entry.established and entry.verified:
            entry.watched_request = self.health.record_data(
                entry.watched_request, entry.measures_service_time, now_s
            )

    def check_health(self) -> None:
        """Look for requests that the endpoint leaves unanswered."""
        self.health.check(self.service_time_s, anyio.current_time())

    def end_by_endpoint(
        self, entry: endpoint_flow.EndpointFlow, reset: bool
    ) -> None:
        """Record that the endpoint reset a flow or finished its data."""
        if not entry.caller_finished and entry.ended_s is None:
            self._end_watched(entry, endpoint_health.Outcome.RESET)
        if not reset:
            entry.endpoint_finished = True
            self.end_request(entry, answered=False)
        if reset or entry.caller_finished:
            self.end(entry)

    def _end_watched(
        self,
        entry: endpoint_flow.EndpointFlow,
        outcome: endpoint_health.Outcome | None,
    ) -> None:
        request, entry.watched_request = entry.watched_request, None
        self.health.end(request, outcome, anyio.current_time())

    def end_request(
        self, entry: endpoint_flow.EndpointFlow, answered: bool
    ) -> None:
        """Record that the running request was answered or abandoned."""
        self._end_watched(
            entry, endpoint_health.Outcome.ANSWERED if answered else None
        )
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

    def end(self, entry: endpoint_flow.EndpointFlow) -> None:
        """Mark a flow as ended but keep it for late packets."""
        if entry.ended_s is None:
            entry.ended_s = anyio.current_time()
            self.open_flow_count -= 1
            self.end_request(entry, answered=False)
        self.half_open_by_key.pop(entry.flow, None)

    def forget(self, entry: endpoint_flow.EndpointFlow) -> None:
        """Remove a flow at once, e.g. because its opening is passed on."""
        self.end(entry)
        self.flow_by_key.pop(entry.flow, None)

    def purge(self, idle_s: float) -> None:
        """Remove expired flows and end requests that exceed their budget.

        An ended flow expires ``LINGER_S`` after its end, an established one
        ``idle_s`` and any other ``HALF_OPEN_TIMEOUT_S`` after its last packet.
        """
        now_s = anyio.current_time()
        self.check_health()
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
                if was_ended and is_quiet and self.may_hold_older_flows():
                    # Flows that this process does not know may be open.
                    self.record_not_held(entry)
            elif (
                entry.request_started_s is not None
                and now_s - entry.request_started_s > entry.budget_s
            ):
                # The caller has given up, whether or not it closed the flow.
                self.health.expire(entry.watched_request, now_s)
                self.end_request(entry, answered=False)

    def established_flows(self) -> list[endpoint_flow.EndpointFlow]:
        """Return the established flows that have not ended."""
        return [
            entry
            for entry in self.flow_by_key.values()
            if entry.established and entry.ended_s is None
        ]
