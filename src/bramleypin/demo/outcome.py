"""Computes the figures of a run from the callers' and endpoints' records."""

import collections
import dataclasses

from bramleypin import client as client_module
from bramleypin.demo import deployment as deployment_module
from bramleypin.demo import traffic

DOMAIN_OUT_BOUND_S = 3.0

_OUTCOME_BY_RESULT_CLASS = {
    client_module.Answered: "answered",
    client_module.NotRun: "not_run",
    client_module.Unknown: "unknown",
    client_module.Invalid: "invalid",
}


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The figures of one run; the last five must be 0.

    ``imbalance`` is the highest busy time of an endpoint divided by the mean,
    over the endpoints of scheduler that served throughout; these have equal
    slots. ``flows_given_up`` counts changes of a flow's endpoint after its
    failure domain was taken out. ``flows_broken`` counts the other changes of
    an established flow's endpoint, unless the old endpoint had refused for
    lack of capacity. ``packets_after_out`` counts datagrams that reached a
    failure domain later than 3 s after it was taken out.
    """

    requests: int
    answered: int
    not_run: int
    unknown: int
    invalid: int
    shed_by_endpoints: int
    flows: int
    flows_given_up: int
    imbalance: float
    slowest_s: float
    flows_broken: int
    ran_twice: int
    ran_though_not_run: int
    incomplete_answers: int
    packets_after_out: int

    @property
    def promises_kept(self) -> bool:
        """Whether all figures that must be 0 are 0."""
        return not (
            self.flows_broken
            or self.ran_twice
            or self.ran_though_not_run
            or self.incomplete_answers
            or self.packets_after_out
        )


def measure(
    deployment: deployment_module.Deployment,
    records: list[traffic.RequestRecord],
    out_s: float,
    returned_s: float,
) -> Outcome:
    """Compute the figures of a run.

    ``out_s`` and ``returned_s`` are the times, on the clock of the run, at
    which the failure domain was taken out of service and returned to it.
    """
    runs_by_key: dict[bytes, list[str]] = collections.defaultdict(list)
    for host_id, item in deployment.executions():
        runs_by_key[item.key].append(host_id)
    counts = collections.Counter(
        _OUTCOME_BY_RESULT_CLASS[type(record.result)] for record in records
    )
    flows, given_up, broken = _count_flows(
        deployment, records, runs_by_key, out_s, returned_s
    )
    return Outcome(
        requests=len(records),
        answered=counts["answered"],
        not_run=counts["not_run"],
        unknown=counts["unknown"],
        invalid=counts["invalid"],
        shed_by_endpoints=sum(
            item.shed for item in deployment.standin_by_id.values()
        ),
        flows=flows,
        flows_given_up=given_up,
        imbalance=_imbalance(deployment),
        slowest_s=max(
            (record.finished_s - record.sent_s for record in records),
            default=0.0,
        ),
        flows_broken=broken,
        ran_twice=sum(
            len(runs_by_key[record.key]) > 1
            for record in records
            if record.kind == "booking"
        ),
        ran_though_not_run=sum(
            bool(runs_by_key[record.key])
            for record in records
            if record.kind == "booking"
            and isinstance(record.result, client_module.NotRun)
        ),
        incomplete_answers=sum(
            _is_incomplete(record, out_s, returned_s) for record in records
        ),
        packets_after_out=sum(
            out_s + DOMAIN_OUT_BOUND_S < time_s < returned_s
            for time_s in deployment.arrivals("waco")
        ),
    )


def _is_incomplete(
    record: traffic.RequestRecord, out_s: float, returned_s: float
) -> bool:
    """Return whether a caller got a partial answer or another request's.

    A download that was in progress while the failure domain was out of service
    may fail, and its result reports the failure. All other downloads must be
    complete.
    """
    result = record.result
    if isinstance(result, client_module.Answered):
        if record.kind == "plan":
            return len(result.payload) != deployment_module.PLAN_BYTES
        return result.payload != record.key
    if record.kind != "plan":
        return False
    during_out = record.sent_s < returned_s and record.finished_s > out_s
    return not during_out


def _count_flows(
    deployment: deployment_module.Deployment,
    records: list[traffic.RequestRecord],
    runs_by_key: dict[bytes, list[str]],
    out_s: float,
    returned_s: float,
) -> tuple[int, int, int]:
    """Count all flows, those given up and those broken."""
    broken_count = 0
    given_up = 0
    owner_by_flow: dict[tuple[int, str], str] = {}
    for record in sorted(records, key=lambda item: item.sent_s):
        flow = (record.crew, record.service)
        if isinstance(record.result, client_module.NotRun):
            owner_by_flow.pop(flow, None)
            continue
        if record.kind == "plan" or not runs_by_key[record.key]:
            continue
        owner = runs_by_key[record.key][-1]
        previous_endpoint = owner_by_flow.get(flow)
        owner_by_flow[flow] = owner
        if previous_endpoint is None or previous_endpoint == owner:
            continue
        was_in_domain_out = deployment.domain_of(previous_endpoint) == "waco"
        if was_in_domain_out and record.finished_s >= out_s:
            given_up += 1
        elif getattr(record.result, "round_trips", 1) == 1:
            broken_count += 1
    return (
        traffic.CREWS * len(deployment.address_by_service),
        given_up,
        broken_count,
    )


def _imbalance(deployment: deployment_module.Deployment) -> float:
    busy_times_s = [
        standin.busy_s
        for host_id, standin in deployment.standin_by_id.items()
        if host_id in ("scheduler-1", "scheduler-3")
    ]
    mean = sum(busy_times_s) / len(busy_times_s)
    return max(busy_times_s) / mean if mean else 0.0
