"""Tracks the load of agents and ranks endpoints for new flows."""

import dataclasses
import typing

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import logs
from bramleypin.internal import registry
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import stream_admission
from bramleypin.internal.stream import view as view_module

# A free slot is asked for once in this time, however many openings wait.
SLOT_REQUEST_INTERVAL_S = 0.1
# Time for which an agent that did not answer is ranked behind responsive ones.
UNRESPONSIVE_S = 1.0
# Assumed service time until an agent has reported one.
DEFAULT_SERVICE_TIME_S = 0.05
# The load in a report older than this is ignored.
MAX_REPORT_AGE_S = 1.0
# An endpoint in another failure domain is chosen only if its expected answer
# is earlier by this fraction of the latency objective, because traffic between
# failure domains is charged.
REMOTE_PENALTY = 0.35
# Weight of the fraction of busy slots, relative to the service time.
LOAD_WEIGHT = 0.2
# Maximum relative increase of a score, chosen at random so that balancers with
# the same reports choose different endpoints.
MAX_SCORE_JITTER = 0.1
# Maximum number of agents in one offer, including those it is passed on to.
MAX_OFFERED_HOSTS = 3

_log = logs.get("loads")

Score = typing.Callable[["AgentLoad", view_module.Route, bool], float]
SCORES: registry.Registry[Score] = registry.Registry("placement of flows")


@dataclasses.dataclass(slots=True)
class AgentLoad:
    """The latest report of an agent and the offers sent to it since.

    ``cold_allowance`` is the number of requests that a cold endpoint may
    still accept, or -1 when it is not cold.
    """

    slots: int
    service: str = ""
    running_requests: int = 0
    service_time_s: float = 0.0
    cold_allowance: int = -1
    state: str = "ready"
    queue_full: bool = False
    reported_s: float = float("-inf")
    offers_since_report: int = 0
    unresponsive_until_s: float = float("-inf")
    slot_requested_s: float = float("-inf")

    def lacks_capacity_for(self, is_late: bool) -> bool:
        """Return whether a request has neither a free slot nor queue space.

        Late requests never queue, so they need a free slot.
        """
        running_requests = self.running_requests + self.offers_since_report
        limit = (
            self.slots
            if is_late
            else stream_admission.request_limit(self.slots)
        )
        return self.queue_full or running_requests >= limit


@SCORES.register("expected_time")
def expected_time(
    load: AgentLoad, route: view_module.Route, is_local: bool
) -> float:
    """Return the expected time to an answer, in seconds.

    When all slots are busy, the time includes the requests queued ahead. An
    endpoint in another failure domain gets a penalty in proportion to the
    latency objective.
    """
    service_time_s = load.service_time_s or DEFAULT_SERVICE_TIME_S
    running_requests = load.running_requests + load.offers_since_report
    queued = max(0, running_requests + 1 - load.slots)
    expected_s = service_time_s * (1 + queued / load.slots)
    # Among endpoints with free slots, prefers the less loaded one: it has more
    # slots left if other balancers choose it at the same time.
    expected_s += (
        service_time_s * LOAD_WEIGHT * min(1.0, running_requests / load.slots)
    )
    return expected_s + (
        0.0 if is_local else REMOTE_PENALTY * route.latency_objective_s
    )


@kernel_module.service(
    "loads", roles=("stream_balancer",), needs=("view", "peer_port")
)
class AgentLoads(kernel_module.Service):
    """Ranks the endpoints that may receive a new flow.

    ``on_free_slot(host)`` is called when an agent reports a free slot.
    """

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.load_by_host: dict[str, AgentLoad] = {}
        self._view_manager = kernel.get("view")
        self._random = kernel.environment.random
        self._domain = kernel.settings.failure_domain
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
        load.running_requests = report.running_requests
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
        load.reported_s = anyio.current_time()
        load.offers_since_report = 0
        load.unresponsive_until_s = float("-inf")
        if load.state == "ready" and not load.lacks_capacity_for(
            is_late=False
        ):
            load.slot_requested_s = float("-inf")
            self.on_free_slot(host)

    def count_offer(self, host: str) -> None:
        """Count an offer that the agent's latest report does not include."""
        load = self.load_by_host.get(host)
        if load is not None:
            load.offers_since_report += 1
            if load.unresponsive_until_s > float("-inf"):
                # It has sent nothing since it was marked, so one offer at a
                # time tries it.
                load.unresponsive_until_s = (
                    anyio.current_time() + UNRESPONSIVE_S
                )
            if load.cold_allowance > 0:
                load.cold_allowance -= 1

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
                report_age_s=round(now_s - load.reported_s, 3),
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
        """Return the candidates' hosts to offer a new flow to, best first.

        Unresponsive hosts and hosts without capacity come last, and
        ``tried_hosts`` are left out. For a late request, only a free slot
        counts as capacity.
        """
        now_s = anyio.current_time()
        score = SCORES.get("expected_time")
        ranked: list[tuple[int, float, str]] = []
        for endpoint in candidates:
            host = endpoint.host
            if host in tried_hosts:
                continue
            load = self._load_for_host(host, endpoint.slots)
            is_local = endpoint.failure_domain == self._domain
            if now_s - load.reported_s > MAX_REPORT_AGE_S:
                (
                    load.running_requests,
                    load.offers_since_report,
                    load.cold_allowance,
                ) = (0, 0, -1)
                load.queue_full = False
                load.slots = endpoint.slots
            value = score(load, route, is_local)
            value *= 1 + MAX_SCORE_JITTER * self._random.random()
            ranked.append(
                (self._rank_class(load, now_s, is_late), value, host)
            )
        ranked.sort()
        return [host for _, _, host in ranked[:MAX_OFFERED_HOSTS]]

    def reported_service(self, host: str) -> str:
        """Return the service reported by the agent on a host."""
        return self.load_by_host[host].service

    def reports_no_capacity(self, host: str, is_late: bool) -> bool:
        """Return whether a host is not known to have capacity for a request.

        Late requests need a free slot; others may also be queued. The result
        is true for an agent that does not respond, too. Both are asked for a
        slot, and their report ends this state.
        """
        load = self.load_by_host[host]
        now_s = anyio.current_time()
        if load.unresponsive_until_s > now_s:
            return True
        return now_s - load.reported_s < MAX_REPORT_AGE_S and (
            load.cold_allowance == 0 or load.lacks_capacity_for(is_late)
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
                or DEFAULT_SERVICE_TIME_S
                for endpoint in candidates
            ),
            default=DEFAULT_SERVICE_TIME_S,
        )
        return fastest_s <= latency_objective_s < age_s + fastest_s

    def will_queue_too_long(
        self, host: str, age_s: float, latency_objective_s: float
    ) -> bool:
        """Return whether a request would miss its objective in a queue.

        The result is false if the host has a free slot, or if the objective
        is 0 or shorter than the service time.
        """
        load = self.load_by_host[host]
        queued = load.running_requests + load.offers_since_report + 1
        queued -= load.slots
        service_time_s = load.service_time_s or DEFAULT_SERVICE_TIME_S
        if queued <= 0 or latency_objective_s < service_time_s:
            return False
        expected_s = service_time_s * (1 + queued / load.slots)
        return latency_objective_s < age_s + expected_s

    def _rank_class(self, load: AgentLoad, now_s: float, is_late: bool) -> int:
        """Return the class of an agent; lower classes are ranked first.

        The classes are 0 for a free slot, 1 for queue space only, 2 for no
        capacity, 3 for an unresponsive agent, 4 for a silent endpoint and 5
        for an agent that is leaving.
        """
        if load.state == "leaving":
            return 5
        if load.state == "silent":
            return 4
        if load.unresponsive_until_s > now_s:
            return 3
        if load.lacks_capacity_for(is_late) or load.cold_allowance == 0:
            return 2
        # An agent without a free slot passes the opening on while the offer
        # lists another host, so asking it first only adds delay.
        return (
            1
            if load.running_requests + load.offers_since_report >= load.slots
            else 0
        )
