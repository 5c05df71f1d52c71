"""Admission control: limits and orders the requests sent to the endpoint.

Every request passes through ``Admission.admit``, including retries and
requests forwarded by other processes, so no path can exceed the limit.
"""

import enum

import anyio

from bramleypin.internal import address
from bramleypin.internal.agent import admission_policy
from bramleypin.internal.agent import cold_ramp
from bramleypin.internal.agent import fair_queue
from bramleypin.internal.agent import own_endpoint
from bramleypin.internal.agent import request_execution
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.model import view as view_module
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.wire import frames

_log = logs.get("agent")

# Queued requests per slot. A longer queue only adds latency, because a new
# flow can be placed on a less loaded endpoint instead.
QUEUE_PER_SLOT = 2
ADMIT_INTERVAL_S = 0.25

# Number of busy slots that a recent utilisation of 1 adds to the reported
# load. It is less than 1 so that it only breaks ties between endpoints whose
# share of busy slots is equal.
UTILISATION_WEIGHT = 0.5

# Added to the load of an endpoint whose health report says "draining". The
# report may be wrong, so the endpoint is ranked last rather than excluded.
REPORTED_DRAINING_LOAD = 2.0

ADMITTED = metrics.declare(
    "agent.requests.admitted", "counter", "requests", "Handed to the endpoint."
)
SHED = metrics.declare(
    "agent.requests.shed", "counter", "requests", "Refused when queue is full."
)
EXPIRED = metrics.declare(
    "agent.requests.expired",
    "counter",
    "requests",
    "Removed from the queue before their deadline.",
)
COLD_STARTS = metrics.declare(
    "agent.cold_starts", "counter", "events", "Cold starts of the endpoint."
)
RUNNING = metrics.declare(
    "agent.running", "gauge", "requests", "Requests at the endpoint."
)


class AdmissionResult(enum.Enum):
    """Outcome of a request for an admission slot."""

    ADMITTED = "admitted"
    SHED = "shed"
    EXPIRED = "expired"
    CLOSED = "closed"


@kernel_module.service(
    "admission", roles=("agent",), needs=("view", "metrics", "trace")
)
class Admission(kernel_module.Service):
    """Tracks the requests in flight at the endpoint and admits new ones.

    ``running`` is the number of requests in flight.
    """

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        policy = kernel.settings.endpoint.policy
        self.policy = admission_policy.POLICIES.get(policy)()
        self.queue = fair_queue.FairQueue()
        self.service_times = cold_ramp.ServiceTimes()
        self.running = 0
        self.draining = False
        self.endpoint_down = False
        self.reported_draining = False
        self.ramp: cold_ramp.ColdRamp
        self.utilisation: cold_ramp.Utilisation
        self.own_endpoint: own_endpoint.OwnEndpoint
        self._metrics: metrics.Metrics

    async def start(self) -> None:
        """Start with a cold ramp, since the endpoint's state is unknown."""
        self.ramp = cold_ramp.ColdRamp()
        self.utilisation = cold_ramp.Utilisation()
        self.own_endpoint = own_endpoint.OwnEndpoint(self.kernel)
        self._metrics = self.kernel.get("metrics")

    async def run(self) -> None:
        """Periodically admit queued requests as the ramp raises the limit."""
        while True:
            await anyio.sleep(ADMIT_INTERVAL_S)
            self._admit_waiting()
            self._metrics.gauge(RUNNING, self.running)

    def limit(self) -> int:
        """Return the current limit on requests in flight."""
        endpoint = self.own_endpoint.endpoint()
        if endpoint is None:
            return 0
        return min(
            self.policy.limit(endpoint.slots), self.ramp.limit(endpoint)
        )

    def _queue_limit(self, endpoint: view_module.EndpointView) -> int:
        return QUEUE_PER_SLOT * max(1, self.limit())

    def load(self) -> float:
        """Return the ratio of running and queued requests to the limit.

        A value of 1 means that all slots are busy. The recent utilisation is
        added with a small weight, so that the less utilised of two equally
        loaded endpoints is preferred. Otherwise a faster endpoint, which
        finishes its requests earlier, would stay idle for longer.
        """
        limit = max(1, self.limit())
        load = (self.running + len(self.queue)) / limit
        load += UTILISATION_WEIGHT / limit * min(1.0, self.utilisation.value())
        return load + REPORTED_DRAINING_LOAD * self.reported_draining

    def state(self, flows_full: bool = False) -> frames.State:
        """Return this agent's readiness to accept new flows."""
        endpoint = self.own_endpoint.endpoint()
        if self.own_endpoint.is_out():
            return frames.State.OUT
        if endpoint is None or self.draining or self.own_endpoint.is_leaving():
            return frames.State.DRAINING
        if self.endpoint_down or flows_full:
            return frames.State.FULL
        if len(self.queue) >= self._queue_limit(endpoint):
            return frames.State.FULL
        if self.ramp.is_cold(endpoint):
            return frames.State.COLD
        return frames.State.READY

    async def admit(
        self,
        caller: address.Address,
        execution: request_execution.Execution,
        deadline_s: float,
    ) -> AdmissionResult:
        """Wait for a slot until the deadline.

        After ``ADMITTED``, ``release`` must be called when the request has
        ended. The execution is started or closed in the same step as the
        decision.
        """
        if anyio.current_time() >= deadline_s:
            return self._expire(execution)
        if self.endpoint_down:
            return self._shed(execution)
        if not self.queue and self.running < self.limit():
            return self._take_slot(execution)
        if not self._ensure_queue_space(caller):
            return self._shed(execution)
        expires_s = deadline_s - self.service_times.mean_s
        waiter = fair_queue.Waiter(caller, execution, expires_s, anyio.Event())
        self.queue.append(waiter)
        await self._wait_for_decision(waiter)
        return self._result_of(waiter)

    def _take_slot(
        self, execution: request_execution.Execution
    ) -> AdmissionResult:
        if not execution.start():
            return AdmissionResult.CLOSED
        self._add_running(1)
        self._metrics.count(ADMITTED)
        return AdmissionResult.ADMITTED

    def _shed(self, execution: request_execution.Execution) -> AdmissionResult:
        self._metrics.count(SHED)
        return (
            AdmissionResult.SHED
            if execution.close()
            else AdmissionResult.CLOSED
        )

    def _ensure_queue_space(self, caller: address.Address) -> bool:
        endpoint = self.own_endpoint.endpoint()
        if endpoint is None:
            return False
        if len(self.queue) < self._queue_limit(endpoint):
            return True
        evicted = self.queue.evict_from_longest(caller)
        if evicted is None:
            return False
        self._metrics.count(SHED)
        evicted.decided.set()
        return True

    async def _wait_for_decision(self, waiter: fair_queue.Waiter) -> None:
        with anyio.move_on_after(waiter.expires_s - anyio.current_time()):
            await waiter.decided.wait()
        self.queue.remove(waiter)

    def _result_of(self, waiter: fair_queue.Waiter) -> AdmissionResult:
        execution = waiter.execution
        if execution.state is request_execution.ExecutionState.RUNNING:
            return AdmissionResult.ADMITTED
        if anyio.current_time() >= waiter.expires_s:
            return self._expire(execution)
        return (
            AdmissionResult.SHED
            if execution.close()
            else AdmissionResult.CLOSED
        )

    def _expire(
        self, execution: request_execution.Execution
    ) -> AdmissionResult:
        self._metrics.count(EXPIRED)
        return (
            AdmissionResult.EXPIRED
            if execution.close()
            else AdmissionResult.CLOSED
        )

    def _admit_waiting(self) -> None:
        while self.queue and self.running < self.limit():
            waiter = self.queue.pop_next()
            if waiter is None:
                return
            # After a pause of the process, this may run before the timeout of
            # an expired waiter.
            if anyio.current_time() < waiter.expires_s:
                self._take_slot(waiter.execution)
            waiter.decided.set()

    def remove_waiting(self, execution: request_execution.Execution) -> None:
        """Remove a closed request from the queue and wake its waiter."""
        waiter = self.queue.find(execution)
        if waiter is not None:
            self.queue.remove(waiter)
            waiter.decided.set()

    def release(self) -> None:
        """Free the slot of an admitted request."""
        self._add_running(-1)
        self._admit_waiting()

    def _add_running(self, delta: int) -> None:
        self.running += delta
        self.utilisation.set_share(self.running / max(1, self.limit()))

    def on_answer(self, service_time_s: float, kind: str = "") -> None:
        """Update the limits from the service time of an answered request."""
        self.service_times.add(service_time_s, kind)
        ratio = self.service_times.recent_service_time_ratio()
        if self.service_times.has_jumped():
            self.service_times.discard_recent()
            self.on_endpoint_cold("service_time_jump")
            return
        self.ramp.record_evidence()
        if self.policy.on_answer(self.running, ratio):
            self.service_times.reset_baseline()

    def on_overload(self, reason: str) -> None:
        """Handle a request that the endpoint shed or did not answer.

        Lowers the limit and restarts the ramp.
        """
        self.policy.on_overload()
        self.on_endpoint_cold(reason)

    def on_endpoint_down(self) -> None:
        """Mark the endpoint as down after its port refused a datagram.

        Health requests are refused twice a second while the endpoint is
        down. Every refusal restarts the ramp, but only the first is counted
        and logged.
        """
        if self.endpoint_down:
            self.ramp.restart()
            return
        self.endpoint_down = True
        self.on_endpoint_cold("refused")

    def on_endpoint_up(self) -> None:
        """Mark the endpoint as up after it answered.

        The ramp is not shortened.
        """
        self.endpoint_down = False
        self.ramp.record_evidence()

    def on_endpoint_cold(self, reason: str) -> None:
        """Restart the ramp, and count and log the cold start."""
        self.ramp.restart()
        self._metrics.count(COLD_STARTS)
        self.kernel.get("trace").record("endpoint", "cold", reason)
        _log.warn_throttled(
            f"cold {reason}", "the endpoint is treated as cold", reason=reason
        )
