"""Opens flows by offering opening packets to one agent after another."""

import dataclasses
import typing

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import guard
from bramleypin.internal.stream import refusal
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import slot_queue
from bramleypin.internal.stream import ticker
from bramleypin.internal.stream import view as view_module
from bramleypin.internal.stream import waiting_order

# An agent answers once its endpoint has accepted the flow, or passes the
# opening on. Offers are not retransmitted: if one is lost, the next agent
# is asked after this time, and the caller retransmits its opening packet.
ANSWER_TIMEOUT_S = 0.06
TICK_INTERVAL_S = 0.01
MAX_OPENING_AGE_S = waiting_order.MAX_OPENING_AGE_S
# Time that a caller has waited before it transmits an opening packet for the
# first, second and third time.
AGE_BY_COPY_S = (0.0, 0.2, 0.6)
# Interval at which an opening is offered again after all agents refused it.
# Slots become free and restarted endpoints register within a fraction of a
# second. Requests that will miss their latency objective are offered less
# often, so that slots go to those that can still meet theirs.
RETRY_INTERVAL_S = 0.03
LATE_RETRY_INTERVAL_S = 0.12
# Maximum number of a flow's packets that are queued while it is opened.
MAX_WAITING_PACKETS = 8

OPENINGS_TAKEN = metrics.declare(
    "stream.openings_taken", "counter", "flows", "Openings an agent took."
)
OPENINGS_REFUSED = metrics.declare(
    "stream.openings_refused",
    "counter",
    "flows",
    "Openings reset, because no endpoint could take them.",
)
OPENINGS_NOT_IN_TIME = metrics.declare(
    "stream.openings_not_in_time",
    "counter",
    "flows",
    "Openings reset early, because they cannot be served in time.",
)
OPENINGS_WAITING = metrics.declare(
    "stream.openings_waiting",
    "gauge",
    "flows",
    "Openings that wait for a slot.",
)
OPENINGS_UNANSWERED = metrics.declare(
    "stream.openings_unanswered",
    "counter",
    "offers",
    "Offers of an opening that an agent did not answer in time.",
)

OPENING_WAIT = metrics.declare(
    "stream.opening_wait",
    "histogram",
    "seconds",
    "How long callers waited until an agent took their opening.",
)

_log = logs.get("openings")


@dataclasses.dataclass(slots=True)
class Opening:
    """An opening that no agent has accepted yet.

    Each offer has a number of its own, so that the answer to an earlier offer
    is not mistaken for one to the latest. ``offer_numbers`` ends with the
    latest. ``host`` is the agent that is expected to answer, or "" while the
    opening is postponed. ``next_offer_s`` is the time of the next offer.
    ``is_late`` is true if the request could no longer meet its latency
    objective when it was last postponed. ``rank`` is that of the route's
    priority, or ``None`` if the service has a single one. ``is_repeated`` is
    true if an opening of the caller was refused shortly before. ``reset_s`` is
    the time at which a refused opening is reset.
    """

    flow: segment.Flow
    packet: segment.Segment
    service: str
    route: view_module.Route
    started_s: float
    next_offer_s: float = 0.0
    host: str = ""
    offer_numbers: list[int] = dataclasses.field(default_factory=list)
    tried_hosts: list[str] = dataclasses.field(default_factory=list)
    waiting_packets: list[segment.Segment] = dataclasses.field(
        default_factory=list
    )
    is_late: bool = False
    rank: int | None = None
    is_repeated: bool = False
    is_unanswered: bool = False
    reset_s: float | None = None

    @property
    def open_at_caller(self) -> bool:
        """Whether the caller has acknowledged an endpoint's answer."""
        return any(
            packet.ack and not packet.rst for packet in self.waiting_packets
        )


@kernel_module.service(
    "openings",
    roles=("stream_balancer",),
    needs=("view", "peer_port", "candidates", "loads", "metrics"),
)
class Openings(kernel_module.Service):
    """Manages the openings in progress.

    The balancer sets the callbacks ``on_taken(opening, host)``,
    ``on_refused(opening)`` and ``on_open_elsewhere(opening)``: the caller has
    an endpoint's answer, but no agent has told this balancer.
    """

    on_taken: typing.Callable[[Opening, str], None]
    on_refused: typing.Callable[[Opening], None]
    on_open_elsewhere: typing.Callable[[Opening], None]

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.opening_by_flow: dict[segment.Flow, Opening] = {}
        self._opening_by_offer: dict[int, Opening] = {}
        self._last_offer_number = kernel.environment.random.getrandbits(31)
        self._view_manager = kernel.get("view")
        self._peers = kernel.get("peer_port")
        self._candidates = kernel.get("candidates")
        self._loads = kernel.get("loads")
        self._metrics = kernel.get("metrics")
        self._ticker = ticker.Ticker(TICK_INTERVAL_S)
        self._order = waiting_order.WaitingOrder()
        self._ranks = waiting_order.PriorityRanks()
        self._rates = refusal.ServiceRate(anyio.current_time())
        self._refused_callers = refusal.RefusedCallers()
        self._reset_spread = refusal.ResetSpread()
        self._peers.set_handler(frames.OfferAnswer, self._on_offer_answer)
        self._loads.on_free_slot = self._offer_postponed

    def open_flow(
        self,
        packet: segment.Segment,
        route: view_module.Route,
        arrived_s: float,
    ) -> None:
        """Offer an opening packet to the endpoint with the best rank.

        ``arrived_s`` is the time at which the packet arrived. The age of the
        opening includes the time that the caller waited before this packet;
        otherwise slots would go to callers that are about to give up. Does
        nothing if the flow has an opening in progress.
        """
        flow = packet.flow_from_caller()
        if flow in self.opening_by_flow:
            return
        now_s = anyio.current_time()
        copies = min(packet.acknowledged, len(AGE_BY_COPY_S) - 1)
        opening = Opening(
            flow=flow,
            packet=packet,
            service=route.service_for(flow),
            route=route,
            started_s=arrived_s - AGE_BY_COPY_S[copies],
            is_repeated=self._refused_callers.includes(
                flow.caller_host, now_s
            ),
        )
        self.opening_by_flow[flow] = opening
        self._offer(opening)
        self._ticker.wake()

    def abandon(self, opening: Opening) -> None:
        """Forget an opening whose caller has begun another flow instead."""
        self._remove(opening)

    def add_packet(self, opening: Opening, packet: segment.Segment) -> None:
        """Keep a packet of an opening's flow until the flow is taken."""
        if len(opening.waiting_packets) >= MAX_WAITING_PACKETS:
            return
        opening.waiting_packets.append(packet)
        if not opening.host and opening.open_at_caller:
            self._offer(opening)

    def _offer(self, opening: Opening, free_host: str = "") -> bool:
        """Offer, postpone or refuse an opening; false if it is postponed.

        ``free_host`` reported a free slot and is a candidate as well. A flow
        that the caller has open is offered to no other endpoint: one that was
        slow has accepted it after its agent had passed the opening on, or the
        agent's answer was lost.
        """
        if opening.open_at_caller:
            self._remove(opening)
            self.on_open_elsewhere(opening)
            return True
        if opening.reset_s is not None:
            self._reset(opening)
            return True
        if not self._update_route(opening):
            self._refuse(opening, "no route")
            return True
        now_s = anyio.current_time()
        if now_s - opening.started_s > MAX_OPENING_AGE_S:
            self._refuse(opening, "no endpoint in time")
            return True
        candidates = self._candidates.to_open(opening.service, opening.flow)
        free = self._candidates.endpoint(opening.service, free_host)
        if free is not None and free not in candidates:
            candidates.append(free)
        is_late = self._loads.will_miss_objective(
            candidates,
            now_s - opening.started_s,
            opening.route.latency_objective_s,
        )
        hosts = self._loads.ranked_hosts(
            candidates, opening.route, opening.tried_hosts, is_late
        )
        if free_host in hosts:
            # Its agent keeps the slot for this balancer.
            hosts = [free_host]
        if (
            not hosts
            or self._loads.reports_no_capacity(hosts[0], is_late)
            or self._offer_more_urgent(opening, is_late, hosts[0], now_s)
        ):
            self._postpone(opening, now_s, is_late, hosts)
            return False
        self._order.discard(opening.flow)
        self._last_offer_number = (self._last_offer_number + 1) & 0x7FFFFFFF
        opening.offer_numbers.append(self._last_offer_number)
        self._opening_by_offer[self._last_offer_number] = opening
        view = self._view_manager.view
        opening.host = hosts[0]
        opening.next_offer_s = now_s + ANSWER_TIMEOUT_S
        self._peers.send(
            opening.host,
            frames.Offer(
                self._last_offer_number,
                self.kernel.settings.host,
                opening.service,
                view.configuration.version,
                view.revision,
                opening.tried_hosts,
                # A late request is offered only to an agent that reported
                # a free slot. Passing it on would only cause more refusals.
                [] if is_late else hosts[1:],
                is_late,
            ),
            opening.packet.raw,
        )
        opening.tried_hosts.append(opening.host)
        self._loads.count_offer(opening.host)
        return True

    def _offer_more_urgent(
        self, opening: Opening, is_late: bool, host: str, now_s: float
    ) -> bool:
        """Offer the first opening of the service in place of a later one.

        Returns false if none precedes ``opening``.
        """
        opening.is_late = is_late
        first = self._order.pop_before(opening, now_s)
        if first is None:
            return False
        self._offer(first, host)
        return True

    def _update_route(self, opening: Opening) -> bool:
        """Apply the route in force to an opening; false if there is none.

        It may have moved to another service while the opening waited.
        """
        configuration = self._view_manager.view.configuration
        address = (opening.flow.service_host, opening.flow.service_port)
        route = configuration.route_by_address.get(address)
        if route is None:
            return False
        opening.rank = self._ranks.rank(
            configuration, opening.service, route.priority
        )
        if route is not opening.route:
            opening.route = route
            service = route.service_for(opening.flow)
            if service != opening.service:
                opening.service = service
                opening.tried_hosts.clear()
        return True

    def _postpone(
        self, opening: Opening, now_s: float, is_late: bool, hosts: list[str]
    ) -> None:
        """Postpone an opening until an endpoint may have capacity.

        Asks the agents on ``hosts`` to report a free slot. Refuses the opening
        if no endpoint of the service may receive new flows and no registration
        is missing from the view.
        """
        opening.tried_hosts.clear()
        if not self._candidates.any_eligible(opening.service):
            self._rates.record_no_endpoint(opening.service, now_s)
            if self._view_manager.registrations_settled(opening.service):
                self._refuse(opening, "no endpoint in service")
                return
        opening.host = ""
        opening.is_late = is_late
        opening.next_offer_s = now_s + (
            LATE_RETRY_INTERVAL_S if is_late else RETRY_INTERVAL_S
        )
        if self._cannot_be_served(opening, now_s):
            self._metrics.count(OPENINGS_NOT_IN_TIME)
            self._refuse(opening, "cannot be served in time")
            return
        self._order.add(opening, now_s)
        self._record_waiting(opening.service, now_s)
        for host in hosts:
            self._request_slot(opening.service, host, now_s)

    def _cannot_be_served(self, opening: Opening, now_s: float) -> bool:
        """Return whether an opening's caller surely gives up before its turn.

        An agent that has not answered an offer may still take the opening.
        """
        return (
            not opening.is_unanswered
            and self._rates.cannot_serve(
                opening.service,
                self._order.count_ahead(opening),
                MAX_OPENING_AGE_S - (now_s - opening.started_s),
                now_s,
            )
            and not self._view_manager.may_miss_registrations()
        )

    def _record_waiting(self, service: str, now_s: float) -> None:
        waiting_count = self._order.waiting_count(service)
        self._rates.record_waiting(service, waiting_count, now_s)
        self._metrics.gauge(OPENINGS_WAITING, len(self._order))

    def _request_slot(self, service: str, host: str, now_s: float) -> None:
        """Ask an agent to tell of a slot for the service's first opening."""
        first = self._order.first(service, now_s)
        if first is None or not self._loads.record_waiting(host):
            return
        left_s = waiting_order.deadline_s(first) - now_s
        rank = slot_queue.LATE_RANK if first.is_late else first.rank or 0
        request = frames.SlotRequest(service, rank, round(left_s * 1000))
        self._peers.send(host, request)

    def _offer_postponed(self, host: str) -> None:
        """Offer waiting openings after an endpoint reported capacity."""
        service = self._loads.reported_service(host)
        now_s = anyio.current_time()
        while len(self._order):
            opening = self._order.first(service, now_s)
            if opening is None or self._loads.reports_no_capacity(
                host, opening.is_late
            ):
                break
            was_late = opening.is_late
            self._order.discard(opening.flow)
            # The next opening may use a slot that this one is too late for.
            if not self._offer(opening, host) and was_late == opening.is_late:
                break
        self._record_waiting(service, now_s)
        self._request_slot(service, host, now_s)

    def _on_offer_answer(
        self, message: frames.OfferAnswer, _: bytes, host: str
    ) -> None:
        self._loads.record_report(message.report, host)
        opening = self._opening_by_offer.get(message.opening)
        if opening is None:
            return
        if message.outcome == "taken":
            self._remove(opening)
            self._metrics.count(OPENINGS_TAKEN)
            now_s = anyio.current_time()
            self._rates.record_taken(opening.service, now_s)
            self._order.record_slot(opening, now_s)
            waited_s = now_s - opening.started_s
            self._metrics.observe(OPENING_WAIT, waited_s)
            _log.info(
                "opening taken",
                flow=str(opening.flow),
                opening=message.opening,
                host=host,
                service=opening.service,
                route=opening.route.name,
                waited_ms=round(waited_s * 1000, 1),
                offers=len(opening.offer_numbers),
                revision=self._view_manager.view.revision,
            )
            self.on_taken(opening, host)
        elif (
            message.opening != opening.offer_numbers[-1]
            or opening.reset_s is not None
        ):
            return
        elif message.outcome == "passed":
            opening.host = message.reason
            opening.tried_hosts.append(message.reason)
            opening.next_offer_s = anyio.current_time() + ANSWER_TIMEOUT_S
        elif message.outcome == "refused":
            _log.warn_throttled(
                "refused",
                "an agent refused an opening",
                flow=str(opening.flow),
                host=host,
                reason=message.reason,
            )
            self._offer(opening)

    def _refuse(self, opening: Opening, reason: str) -> None:
        """Reset an opening soon; it is offered to no agent any more."""
        now_s = anyio.current_time()
        self._order.discard(opening.flow)
        self._refused_callers.record(opening.flow.caller_host, now_s)
        self._metrics.count(OPENINGS_REFUSED)
        _log.warn_throttled(
            f"reset {opening.service}",
            "opening reset",
            flow=str(opening.flow),
            reason=reason,
            tried=",".join(opening.tried_hosts),
            revision=self._view_manager.view.revision,
        )
        opening.host = ""
        opening.reset_s = now_s + self._reset_spread.delay_s(now_s)
        opening.next_offer_s = opening.reset_s
        if opening.reset_s <= now_s:
            self._reset(opening)

    def _reset(self, opening: Opening) -> None:
        self._remove(opening)
        self.on_refused(opening)

    def _remove(self, opening: Opening) -> None:
        self.opening_by_flow.pop(opening.flow, None)
        self._order.discard(opening.flow)
        for number in opening.offer_numbers:
            self._opening_by_offer.pop(number, None)

    async def run(self) -> None:
        """Offer unanswered and postponed openings again when they are due."""
        while True:
            await self._ticker.wait(self.opening_by_flow)
            now_s = anyio.current_time()
            due_openings = [
                opening
                for opening in self.opening_by_flow.values()
                if opening.next_offer_s <= now_s
            ]
            for opening in due_openings:
                guard.call(self._metrics, self._offer_again, opening)

    def _offer_again(self, opening: Opening) -> None:
        if opening.host:
            self._metrics.count(OPENINGS_UNANSWERED)
            opening.is_unanswered = True
            self._loads.mark_unresponsive(opening.host)
        self._offer(opening)
