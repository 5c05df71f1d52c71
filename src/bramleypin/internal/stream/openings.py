"""Opens flows by offering opening packets to one agent after another."""

import typing

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import logs
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import guard
from bramleypin.internal.stream import opening as opening_module
from bramleypin.internal.stream import opening_metrics
from bramleypin.internal.stream import refusal
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import ticker
from bramleypin.internal.stream import view as view_module
from bramleypin.internal.stream import waiting_openings

# An agent answers once its endpoint has accepted the flow, or passes the
# opening on. Offers are not retransmitted: if one is lost, the next agent
# is asked after this time, and the caller retransmits its opening packet.
ANSWER_TIMEOUT_S = 0.06
TICK_INTERVAL_S = 0.01
MAX_OPENING_AGE_S = opening_module.MAX_OPENING_AGE_S
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

Opening = opening_module.Opening

_log = logs.get("openings")


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
        self._waiting = waiting_openings.WaitingOpenings(anyio.current_time())
        self._order = self._waiting.order
        self._refusals = refusal.RecentRefusals()
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
            is_repeated=self._refusals.includes_caller(
                flow.caller_host, now_s
            ),
        )
        if self._refusals.includes_opening(flow, packet.sequence, now_s):
            # This copy has crossed the reset on its way.
            self.on_refused(opening)
            return
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
        if hosts and not is_late:
            is_late = self._loads.will_queue_too_long(
                hosts[0],
                now_s - opening.started_s,
                opening.route.latency_objective_s,
            )
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
        self,
        opening: Opening,
        is_late: bool,
        host: str,
        now_s: float,
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
        if route is not opening.route:
            opening.route = route
            service = route.service_for(opening.flow)
            if service != opening.service:
                opening.service = service
                opening.tried_hosts.clear()
        self._waiting.update_rank(opening, configuration)
        return True

    def _postpone(
        self,
        opening: Opening,
        now_s: float,
        is_late: bool,
        hosts: list[str],
    ) -> None:
        """Postpone an opening until an endpoint may have capacity.

        Asks the agents on ``hosts`` to report a free slot. Refuses the opening
        if no endpoint of the service may receive new flows and no registration
        is missing from the view.
        """
        opening.tried_hosts.clear()
        if not self._candidates.any_eligible(opening.service):
            self._waiting.record_no_endpoint(opening.service, now_s)
            if self._view_manager.registrations_settled(opening.service):
                self._refuse(opening, "no endpoint in service")
                return
        opening.host = ""
        opening.is_late = is_late
        opening.next_offer_s = now_s + (
            LATE_RETRY_INTERVAL_S if is_late else RETRY_INTERVAL_S
        )
        missing = self._view_manager.may_miss_registrations()
        if not missing and self._waiting.cannot_be_served(opening, now_s):
            self._metrics.count(opening_metrics.OPENINGS_NOT_IN_TIME)
            self._refuse(opening, "cannot be served in time")
            return
        self._waiting.add(opening, now_s)
        self._metrics.gauge(opening_metrics.OPENINGS_WAITING, len(self._order))
        for host in hosts:
            self._request_slot(opening.service, host, now_s)

    def _request_slot(self, service: str, host: str, now_s: float) -> None:
        """Ask an agent to tell of a slot for the service's first opening."""
        request = self._waiting.slot_request(service, now_s)
        if request is not None and self._loads.record_waiting(host):
            self._peers.send(host, request)

    def _offer_postponed(self, host: str) -> None:
        """Offer waiting openings after an endpoint reported capacity."""
        service = self._loads.reported_service(host)
        now_s = anyio.current_time()
        for _ in range(self._order.waiting_count(service)):
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
        self._waiting.record_backlog(service, now_s)
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
            self._metrics.count(opening_metrics.OPENINGS_TAKEN)
            now_s = anyio.current_time()
            self._waiting.record_taken(opening, now_s)
            waited_s = now_s - opening.started_s
            self._metrics.observe(opening_metrics.OPENING_WAIT, waited_s)
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
        self._refusals.record(opening.flow, opening.packet.sequence, now_s)
        self._metrics.count(opening_metrics.OPENINGS_REFUSED)
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
            self._metrics.count(opening_metrics.OPENINGS_UNANSWERED)
            opening.is_unanswered = True
            self._loads.mark_unresponsive(opening.host)
        self._offer(opening)
