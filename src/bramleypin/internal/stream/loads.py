"""Tracks the load of agents and ranks endpoints for new flows."""

import dataclasses
import math
import typing

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal import registry
from bramleypin.internal.stream import failing_hosts
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import load_estimate
from bramleypin.internal.stream import view as view_module

# A free slot is asked for once in this time, however many openings wait.
SLOT_REQUEST_INTERVAL_S = 0.1
# Time for which an agent that did not answer is ranked behind responsive ones.
UNRESPONSIVE_S = 1.0
# The load in a report older than this is ignored.
MAX_REPORT_AGE_S = 1.0
# A report of missing capacity prevents offers until it is older than this.
# Agents with a full queue report more often to the latest balancers to offer.
MAX_FULL_REPORT_AGE_S = 0.15
# An endpoint in another failure domain is chosen only if its expected answer
# is earlier by this fraction of the latency objective, because traffic between
# failure domains is charged.
REMOTE_PENALTY = 0.35
# Weight of the fraction of busy slots, relative to the service time.
LOAD_WEIGHT = 0.2
# Requests below the number of slots from which an endpoint counts as full. An
# estimate decays, so it is below the slots as soon as a report is old.
FULL_TOLERANCE = 0.5
# Maximum number of agents in one offer, including those it is passed on to.
MAX_OFFERED_HOSTS = 3
# Rank classes of endpoints; lower ones come first. ``failing_hosts`` has more.
FREE_SLOT_CLASS = 0
QUEUE_CLASS = 1
NO_CAPACITY_CLASS = 2
UNRESPONSIVE_CLASS = 4
SILENT_CLASS = 5
LEAVING_CLASS = 6

REPORT_AGE = metrics.declare(
    "stream.report_age",
    "histogram",
    "seconds",
    "Age of an agent's report when an opening is offered to the agent.",
)
OFFERS_TO_FULL = metrics.declare(
    "stream.offers_to_full",
    "counter",
    "offers",
    "Offers passed on or refused by an agent without a free slot.",
)
LOAD_SPREAD = metrics.declare(
    "stream.load_spread",
    "gauge",
    "requests",
    "Highest minus lowest estimated load per slot among a flow's candidates.",
)

_log = logs.get("loads")

# Returns the score of an endpoint; the lowest is best. The arguments after the
# route are whether the endpoint is local, the time, and the random deviation
# of the score as a fraction of its expected time.
Score = typing.Callable[
    ["AgentLoad", view_module.Route, bool, float, float], float
]
SCORES: registry.Registry[Score] = registry.Registry("placement of flows")


@dataclasses.dataclass(slots=True)
class AgentLoad:
    """The latest report of an agent and the offers that it lacks.

    ``cold_allowance`` is the reported number of requests that a cold endpoint
    may still accept, or -1 when it is not cold.
    """

    slots: int
    service: str = ""
    estimate: load_estimate.LoadEstimate = dataclasses.field(
        default_factory=load_estimate.LoadEstimate
    )
    service_time_s: float = 0.0
    cold_allowance: int = -1
    state: str = "ready"
    queue_full: bool = False
    unresponsive_until_s: float = float("-inf")
    slot_requested_s: float = float("-inf")

    @property
    def reported_s(self) -> float:
        """Time of the latest report; -inf before the first one."""
        return self.estimate.reported_s

    def lacks_capacity_for(self, is_late: bool, now_s: float) -> bool:
        """Return whether a request has neither a free slot nor queue space.

        Late requests never queue, so they need a free slot.
        """
        return self.queue_full or (
            is_late and self.estimate.known_requests(now_s) >= self.slots
        )

    def reached_cold_limit(self, now_s: float) -> bool:
        """Return whether a cold endpoint may accept no further request."""
        unanswered_offers = self.estimate.unanswered_offers(now_s)
        return 0 <= self.cold_allowance <= unanswered_offers


@SCORES.register("expected_time")
def expected_time(
    load: AgentLoad,
    route: view_module.Route,
    is_local: bool,
    now_s: float,
    deviation: float,
) -> float:
    """Return the expected time to an answer, in seconds.

    When all slots are busy, the time includes the requests queued ahead. An
    endpoint in another failure domain gets a penalty in proportion to the
    latency objective. The deviation alone never makes up for it.
    """
    service_time_s = (
        load.service_time_s or load_estimate.DEFAULT_SERVICE_TIME_S
    )
    running_requests = load.estimate.running_requests(now_s)
    queued = max(0, running_requests + 1 - load.slots)
    expected_s = service_time_s * (1 + queued / load.slots)
    # Among endpoints with free slots, prefers the less loaded one: it has more
    # slots left if other balancers choose it at the same time.
    expected_s += (
        service_time_s * LOAD_WEIGHT * min(1.0, running_requests / load.slots)
    )
    penalty_s = REMOTE_PENALTY * route.latency_objective_s
    deviation_s = deviation * expected_s
    if penalty_s > 0:
        deviation_s = max(-penalty_s / 2, min(penalty_s / 2, deviation_s))
    return expected_s + deviation_s + (0.0 if is_local else penalty_s)


@kernel_module.service(
    "loads", roles=("stream_balancer",), needs=("view", "peer_port", "metrics")
)
class AgentLoads(kernel_module.Service):
    """Ranks the endpoints that may receive a new flow.

    ``on_free_slot(host)`` is called when an agent reports a free slot.
    """

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.load_by_host: dict[str, AgentLoad] = {}
        self._view_manager = kernel.get("view")
        self._metrics = kernel.get("metrics")
        self._random = kernel.environment.random
        self._domain = kernel.settings.failure_domain
        self._failing = failing_hosts.FailingHosts(
            self._random, kernel.get("metrics").count
        )
        self.on_free_slot: typing.Callable[[str], None] = lambda host: None
        kernel.get("peer_port").set_handler(
            frames.LoadReport, self._on_load_report
        )

    def _on_load_report(
        self, message: frames.LoadReport, _: bytes, host: str
    ) -> None:
        self.record_report(message.report, host)

    def record_report(self, report: frames.Report, host: str) -> None:
        """Store a report, unless it is about a host other than the sender.

        ``host`` is the sender. Calls ``on_free_slot`` if the report shows a
        free slot.
        """
        if report.host != host:
            return
        load = self._load_for_host(host, report.slots)
        load.service = report.service
        load.slots = max(1, report.slots)
        now_s = anyio.current_time()
        load.estimate.record_report(
            report.running_requests,
            report.slots,
            report.service_time_s,
            now_s,
        )
        load.service_time_s = report.service_time_s
        load.cold_allowance = report.cold_allowance
        load.queue_full = report.queue_full
        if load.state != report.state:
            _log.info(
                "agent state changed",
                host=host,
                state=report.state,
                before=load.state,
                revision=report.revision,
            )
        load.state = report.state
        load.slot_requested_s = float("-inf")
        load.unresponsive_until_s = float("-inf")
        serves = load.state in ("ready", "failing")
        if serves and not load.lacks_capacity_for(is_late=True, now_s=now_s):
            self.on_free_slot(host)

    def record_offer(self, host: str, number: int) -> None:
        """Count an offer that the agent's latest report does not include."""
        load = self.load_by_host.get(host)
        if load is None:
            return
        now_s = anyio.current_time()
        load.estimate.record_offer(number, now_s)
        age_s = now_s - load.estimate.reported_s
        if math.isfinite(age_s):
            self._metrics.observe(REPORT_AGE, age_s)

    def record_answer(self, message: frames.OfferAnswer, host: str) -> None:
        """Store the report in an agent's answer, which includes the offer."""
        load = self.load_by_host.get(host)
        if load is not None:
            load.estimate.record_answer(message.opening)
        report = message.report
        if (
            message.outcome != "taken"
            and report.running_requests >= report.slots
        ):
            self._metrics.count(OFFERS_TO_FULL)
        self.record_report(report, host)

    def record_waiting(self, host: str) -> bool:
        """Return whether to ask a host's agent for its next free slot now."""
        load = self.load_by_host[host]
        now_s = anyio.current_time()
        if now_s - load.slot_requested_s < SLOT_REQUEST_INTERVAL_S:
            return False
        load.slot_requested_s = now_s
        return True

    def mark_unresponsive(self, host: str) -> None:
        """Lower the rank of an agent that did not answer an offer in time."""
        load = self._load_for_host(host, 1)
        now_s = anyio.current_time()
        if load.unresponsive_until_s < now_s:
            _log.info(
                "agent did not answer",
                host=host,
                report_age_s=round(now_s - load.estimate.reported_s, 3),
            )
        load.unresponsive_until_s = now_s + UNRESPONSIVE_S

    def _load_for_host(self, host: str, slots: int) -> AgentLoad:
        load = self.load_by_host.get(host)
        if load is None:
            load = self.load_by_host[host] = AgentLoad(slots=slots)
        return load

    def ranked_hosts(
        self,
        candidates: list[view_module.Endpoint],
        route: view_module.Route,
        tried_hosts: list[str],
        is_late: bool = False,
    ) -> list[str]:
        """Return the candidates' hosts to offer a new flow to, best first."""
        ranking = self.ranking(candidates, route, tried_hosts, is_late)
        return [host for _, _, host in ranking[:MAX_OFFERED_HOSTS]]

    def ranking(
        self,
        candidates: list[view_module.Endpoint],
        route: view_module.Route,
        tried_hosts: list[str],
        is_late: bool = False,
    ) -> list[tuple[int, float, str]]:
        """Return the rank class, score and host of candidates, best first.

        Unresponsive hosts and hosts without capacity come last, and
        ``tried_hosts`` are left out. For a late request, only a free slot
        counts as capacity.
        """
        now_s = anyio.current_time()
        score = SCORES.get("expected_time")
        failing = self._failing.choose(
            {
                endpoint.host: self._load_for_host(
                    endpoint.host, endpoint.slots
                )
                for endpoint in candidates
            },
            may_try=route.idempotent and not tried_hosts,
            now_s=now_s,
        )
        ranked: list[tuple[int, float, str]] = []
        requests_per_slot: list[float] = []
        for endpoint in candidates:
            host = endpoint.host
            if host in tried_hosts:
                continue
            load = self._load_for_host(host, endpoint.slots)
            is_local = endpoint.failure_domain == self._domain
            if now_s - load.estimate.reported_s > MAX_REPORT_AGE_S:
                load.estimate.reported_requests = 0
                load.cold_allowance = -1
                load.queue_full = False
                load.slots = endpoint.slots
            requests_per_slot.append(
                load.estimate.running_requests(now_s) / load.slots
            )
            spread = load.estimate.spread(now_s)
            deviation = spread * (2 * self._random.random() - 1)
            value = score(load, route, is_local, now_s, deviation)
            rank_class = self._rank_class(load, now_s, is_late)
            rank_class = failing.rank_class(host, rank_class)
            ranked.append((rank_class, value, host))
        if ranked:
            load_spread = max(requests_per_slot) - min(requests_per_slot)
            self._metrics.gauge(LOAD_SPREAD, round(load_spread, 2))
        ranked.sort()
        return ranked

    def reported_service(self, host: str) -> str:
        """Return the service reported by the agent on a host."""
        return self.load_by_host[host].service

    def reports_no_capacity(self, host: str, is_late: bool) -> bool:
        """Return whether a recent report shows no capacity for a request.

        Late requests need a free slot; others may also be queued.
        """
        load = self.load_by_host[host]
        now_s = anyio.current_time()
        age_s = now_s - load.estimate.reported_s
        return age_s < MAX_FULL_REPORT_AGE_S and load.lacks_capacity_for(
            is_late, now_s
        )

    def will_miss_objective(
        self,
        candidates: list[view_module.Endpoint],
        age_s: float,
        latency_objective_s: float,
    ) -> bool:
        """Return whether no candidate can answer within the objective.

        ``age_s`` is the time that the request has waited. The result is false
        when the objective is 0, which means no objective, or shorter than
        the service time of the fastest candidate.
        """
        fastest_s = min(
            (
                self._load_for_host(
                    endpoint.host, endpoint.slots
                ).service_time_s
                or load_estimate.DEFAULT_SERVICE_TIME_S
                for endpoint in candidates
            ),
            default=load_estimate.DEFAULT_SERVICE_TIME_S,
        )
        return fastest_s <= latency_objective_s < age_s + fastest_s

    def _rank_class(self, load: AgentLoad, now_s: float, is_late: bool) -> int:
        """Return the class of an agent; lower classes are ranked first.

        An unresponsive agent is one that did not answer an offer, a silent
        endpoint one that does not answer its agent.
        """
        if load.state == "leaving":
            return LEAVING_CLASS
        if load.state == "silent":
            return SILENT_CLASS
        if load.unresponsive_until_s > now_s:
            return UNRESPONSIVE_CLASS
        if load.lacks_capacity_for(is_late, now_s) or load.reached_cold_limit(
            now_s
        ):
            return NO_CAPACITY_CLASS
        # An agent without a free slot passes the opening on while the offer
        # lists another host, so asking it first only adds delay.
        requests = load.estimate.running_requests(now_s)
        has_free_slot = requests <= load.slots - FULL_TOLERANCE
        return FREE_SLOT_CLASS if has_free_slot else QUEUE_CLASS
