"""Explains where a new flow would go now, without any effect on flows.

The decision is that of ``openings``, made by the same methods on a copy of the
loads. Asked by operators during a shortage or an outage, so the cost is that
of one opening.
"""

import copy
import math
import random
import typing
import urllib.parse

import anyio
import msgspec

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import http_server
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import failing_hosts
from bramleypin.internal.stream import loads
from bramleypin.internal.stream import placement_answer
from bramleypin.internal.stream import route_choice
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import view as view_module

NOTE_NO_RANDOM_PART = (
    "ranked without the random part of the scores: an opening may go to "
    "another endpoint of the same class if their times differ by less than "
    "the deviations"
)
NOTE_TRIALS = (
    "a few openings of this route go to failing endpoints first, as trials"
)
NOTE_FAILING_IGNORED = (
    "too many candidates fail requests, so all are used: {hosts}"
)
NOTE_LEAVING = "this balancer is leaving; the fabric sends new flows to others"
NOTE_HELD = "another flow from this port would be placed as shown"

_REASON_BY_CLASS = {
    loads.QUEUE_CLASS: "no free slot, only queue space",
    failing_hosts.FAILING_CLASS: "failing: fails many requests",
    loads.UNRESPONSIVE_CLASS: "unresponsive: did not answer an offer",
    loads.SILENT_CLASS: "silent: the endpoint does not answer its agent",
    loads.LEAVING_CLASS: "leaving: accepts no new flow",
}


class _NoDeviation(random.Random):
    """Returns the middle value, at which scores have no deviation."""

    def random(self) -> float:
        return 0.5


class LoadsSnapshot(loads.AgentLoads):
    """A copy of some hosts' loads; rankings of it change no other state.

    Scores have no random deviation, and no trial opening begins.
    """

    def __init__(self, live: loads.AgentLoads, hosts: typing.Iterable[str]):
        # The base class would register itself as the receiver of reports.
        self.__dict__.update(vars(live))
        self.load_by_host = {
            host: copy.deepcopy(live.load_by_host[host])
            for host in hosts
            if host in live.load_by_host
        }
        self.on_free_slot = lambda host: None
        self._metrics = metrics.Metrics(live.kernel)
        self._random = _NoDeviation()
        self._failing = failing_hosts.FailingHostsWithoutTrials()


@kernel_module.service(
    "placement_report",
    roles=("stream_balancer",),
    needs=("metrics_http", "balancer", "readiness"),
)
class PlacementReport(kernel_module.Service):
    """Answers ``GET /placement`` beside the metrics."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._view_manager = kernel.get("view")
        self._candidates = kernel.get("candidates")
        self._loads = kernel.get("loads")
        kernel.get("metrics_http").add_page(
            placement_answer.PATH.encode("ascii"), self._page
        )

    def _page(self, query: bytes) -> http_server.Answer:
        try:
            flow = flow_from_query(query)
        except (ValueError, errors.InvalidFrame) as error:
            return http_server.Answer(400, f"{error}\n".encode())
        body = msgspec.json.encode(self.explain(flow))
        return http_server.Answer(200, body, "application/json")

    def explain(self, flow: segment.Flow) -> placement_answer.Answer:
        """Return where a flow would go if its opening arrived now."""
        view = self._view_manager.view
        answer = placement_answer.Answer(
            balancer=self.kernel.settings.id,
            failure_domain=self.kernel.settings.failure_domain,
            flow=str(flow),
            outcome=placement_answer.RESET,
            reason=placement_answer.NO_ROUTE,
            version=view.configuration.version,
            revision=view.revision,
            flow_state=self._flow_state(flow),
        )
        if self.kernel.get("readiness").leaving:
            answer.notes.append(NOTE_LEAVING)
        if not view.loaded:
            answer.outcome = placement_answer.KEPT
            answer.reason = "no configuration is loaded yet"
            return answer
        route = view.configuration.route_by_address.get(
            (flow.service_host, flow.service_port)
        )
        if route is not None:
            self._place(answer, route, flow)
        return answer

    def _place(
        self,
        answer: placement_answer.Answer,
        route: view_module.Route,
        flow: segment.Flow,
    ) -> None:
        """Add the route, its service and the placement to an answer."""
        service = route.service_for(flow)
        answer.route = route.name
        answer.weight_by_service = dict(route.weight_by_service)
        answer.chosen_service = answer.service = service
        if answer.flow_state.state == "held":
            answer.notes.append(NOTE_HELD)
        if self._candidates.lacks_endpoints(service):
            service = route_choice.alternative_service(
                route, flow, self._candidates.any_eligible
            )
            if not service:
                answer.reason = "no endpoint in service"
                answer.endpoint_count = self._endpoint_count(answer.service)
                answer.candidates = self._ruled_out(answer.service, flow)
                return
            answer.notes.append(
                f"{answer.service} has no endpoint in service, so the flow "
                f"goes to {service}"
            )
            answer.service = service
        answer.endpoint_count = self._endpoint_count(service)
        candidates = self._candidates.to_open(service, flow)
        snapshot = LoadsSnapshot(
            self._loads, [endpoint.host for endpoint in candidates]
        )
        is_late = snapshot.will_miss_objective(
            candidates, 0.0, route.latency_objective_s
        )
        self._rank(answer, snapshot, candidates, route, is_late)
        answer.candidates += self._ruled_out(service, flow)

    def _rank(
        self,
        answer: placement_answer.Answer,
        snapshot: LoadsSnapshot,
        candidates: list[view_module.Endpoint],
        route: view_module.Route,
        is_late: bool,
    ) -> None:
        """Add the decision and the ranked candidates to an answer."""
        ranking = snapshot.ranking(candidates, route, [], is_late)
        hosts = snapshot.ranked_hosts(candidates, route, [], is_late)
        answer.candidates = _ranked_candidates(snapshot, candidates, ranking)
        if not hosts:
            answer.outcome = placement_answer.POSTPONED
            answer.reason = "no endpoint yet; registrations may be missing"
            return
        if snapshot.reports_no_capacity(hosts[0], is_late):
            answer.outcome = placement_answer.POSTPONED
            answer.reason = (
                "no endpoint has a free slot, which a late request needs"
                if is_late
                else "no endpoint has a free slot or queue space"
            )
            return
        answer.outcome = placement_answer.OFFERED
        answer.hosts = hosts[:1] if is_late else hosts
        rank_class = ranking[0][0]
        answer.reason = (
            "free slot, earliest expected answer"
            if rank_class == loads.FREE_SLOT_CLASS
            else "ranked first, although: "
            + _class_reason(snapshot, hosts[0], rank_class)
        )
        answer.notes.append(NOTE_NO_RANDOM_PART)
        state_by_host = snapshot.load_by_host
        failing = failing_hosts.choice_without_trial(
            state_by_host, anyio.current_time()
        )
        if failing.last_hosts and route.idempotent:
            answer.notes.append(NOTE_TRIALS)
        if failing.ignored_hosts:
            text = ", ".join(sorted(failing.ignored_hosts))
            answer.notes.append(NOTE_FAILING_IGNORED.format(hosts=text))

    def _ruled_out(
        self, service: str, flow: segment.Flow
    ) -> list[placement_answer.Candidate]:
        """Return the flow's endpoints that may receive no new flow."""
        view = self._view_manager.view
        endpoint_by_host = view.endpoint_by_host(service)
        ineligible = view.ineligible_hosts(service)
        result = []
        for host in self._candidates.to_search(service, flow):
            if host not in ineligible:
                continue
            endpoint = endpoint_by_host[host]
            reasons = []
            if view.is_draining(endpoint):
                reasons.append("draining")
            if view.is_out(endpoint.failure_domain):
                reasons.append("failure domain out of service")
            load = self._loads.load_by_host.get(host)
            result.append(
                placement_answer.Candidate(
                    host=host,
                    endpoint=endpoint.id,
                    failure_domain=endpoint.failure_domain,
                    rank=0,
                    reason=", ".join(reasons),
                    state="unknown" if load is None else load.state,
                    slots=endpoint.slots,
                )
            )
        return result

    def _flow_state(self, flow: segment.Flow) -> placement_answer.FlowState:
        """Return what is known of the flow, in the order of the balancer."""
        now_s = anyio.current_time()
        owner = self.kernel.get("balancer").owner_by_flow.get(flow)
        if owner is not None:
            return placement_answer.FlowState(
                "held",
                owner.host,
                self._endpoint_id(owner.host),
                now_s - owner.seen_s,
            )
        opening = self.kernel.get("openings").opening_by_flow.get(flow)
        if opening is not None:
            return placement_answer.FlowState(
                "opening",
                opening.host,
                self._endpoint_id(opening.host),
                now_s - opening.started_s,
            )
        if flow in self.kernel.get("trials").trial_by_flow:
            return placement_answer.FlowState("tried")
        if flow in self.kernel.get("owners").search_by_flow:
            return placement_answer.FlowState("searched")
        return placement_answer.FlowState("unknown")

    def _endpoint_count(self, service: str) -> int:
        return len(self._view_manager.view.endpoint_by_host(service))

    def _endpoint_id(self, host: str) -> str:
        """Return the ids of the endpoints on a host."""
        endpoints = self._view_manager.view.endpoint_by_id.values()
        return ", ".join(item.id for item in endpoints if item.host == host)


def flow_from_query(query: bytes) -> segment.Flow:
    """Return the flow that a request for an explanation names.

    :raises ValueError: when the service or the caller is missing.
    :raises errors.InvalidFrame: when one is not an IPv4 address and a port.
    """
    fields = urllib.parse.parse_qs(query.decode("ascii"))
    if "service" not in fields or "caller" not in fields:
        raise ValueError("write service=HOST:PORT&caller=HOST:PORT")
    service = address.parse(fields["service"][0])
    caller = address.parse(fields["caller"][0])
    return segment.Flow(
        segment.ipv4_to_int(caller.host),
        caller.port,
        segment.ipv4_to_int(service.host),
        service.port,
    )


def _class_reason(snapshot: LoadsSnapshot, host: str, rank_class: int) -> str:
    """Return what keeps a host from the class of those with a free slot."""
    if rank_class != loads.NO_CAPACITY_CLASS:
        return _REASON_BY_CLASS[rank_class]
    load = snapshot.load_by_host[host]
    if load.queue_full:
        return "no room: its queue is full"
    if load.reached_cold_limit(anyio.current_time()):
        return "cold limit: accepts no further request while it warms up"
    return "no room: no free slot for a late request"


def _ranked_candidates(
    snapshot: LoadsSnapshot,
    candidates: list[view_module.Endpoint],
    ranking: list[tuple[int, float, str]],
) -> list[placement_answer.Candidate]:
    """Return what is known of ranked candidates, best first."""
    now_s = anyio.current_time()
    endpoint_by_host = {endpoint.host: endpoint for endpoint in candidates}
    result = []
    for number, (rank_class, expected_s, host) in enumerate(ranking, start=1):
        endpoint = endpoint_by_host[host]
        load = snapshot.load_by_host[host]
        if rank_class != loads.FREE_SLOT_CLASS:
            reason = _class_reason(snapshot, host, rank_class)
        elif number > 1:
            reason = "later expected answer"
        else:
            reason = ""
        age_s = now_s - load.reported_s
        is_reported = math.isfinite(age_s)
        result.append(
            placement_answer.Candidate(
                host=host,
                endpoint=endpoint.id,
                failure_domain=endpoint.failure_domain,
                rank=number,
                reason=reason,
                state=load.state if is_reported else "unknown",
                slots=load.slots,
                running_requests=load.estimate.running_requests(now_s),
                service_time_s=load.service_time_s,
                report_age_s=age_s if is_reported else None,
                expected_s=expected_s,
                deviation=load.estimate.spread(now_s),
            )
        )
    return result
