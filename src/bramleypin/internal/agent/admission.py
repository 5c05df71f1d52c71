"""Admission: how many requests the endpoint gets, and in which order.

Every request to the endpoint passes through ``admit``, whichever process
sent it and whether it is a retry, so no path exceeds the limit.
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

# Waiting requests per slot. A longer queue only adds delay, because the home
# offers new flows to less loaded endpoints.
QUEUE_PER_SLOT = 2
TICK_S = 0.25

# Weight of the recent utilisation in the load, in slots; under 1, so that it
# decides between endpoints with the same share of busy slots only.
TIE_BREAK = 0.5

# Added to the load of an endpoint that reports to be draining. Reports may
# mislead, so such an endpoint is chosen last and not excluded.
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


class Verdict(enum.Enum):
    """What became of a request that asked for a slot."""

    ADMITTED = "admitted"
    SHED = "shed"
    EXPIRED = "expired"
    CLOSED = "closed"


@kernel_module.service(
    "admission", roles=("agent",), needs=("view", "metrics", "trace")
)
class Admission(kernel_module.Service):
    """Counts the requests at the endpoint and admits new ones."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        policy = kernel.settings.endpoint.policy
        self.policy = admission_policy.POLICIES.get(policy)()
        self.queue = fair_queue.FairQueue()
        self.times = cold_ramp.ServiceTimes()
        self.running = 0
        self.draining = False
        self.endpoint_down = False
        self.reported_draining = False
        self.ramp: cold_ramp.ColdRamp
        self.utilisation: cold_ramp.Utilisation
        self.own_endpoint: own_endpoint.OwnEndpoint
        self._metrics: metrics.Metrics

    async def start(self) -> None:
        """Assume a cold endpoint: nothing is known about it yet."""
        self.ramp = cold_ramp.ColdRamp()
        self.utilisation = cold_ramp.Utilisation()
        self.own_endpoint = own_endpoint.OwnEndpoint(self.kernel)
        self._metrics = self.kernel.get("metrics")

    async def run(self) -> None:
        """Admit waiting requests as the ramp rises."""
        while True:
            await anyio.sleep(TICK_S)
            self._admit_waiting()
            self._metrics.gauge(RUNNING, self.running)

    def limit(self) -> int:
        """Return how many requests may be at the endpoint now."""
        endpoint = self.own_endpoint.endpoint()
        if endpoint is None:
            return 0
        return min(
            self.policy.limit(endpoint.slots), self.ramp.limit(endpoint)
        )

    def _queue_limit(self, endpoint: view_module.EndpointView) -> int:
        return QUEUE_PER_SLOT * max(1, self.limit())

    def load(self) -> float:
        """Return the requests here over the limit; 1 means all are busy.

        Among equals, the endpoint that was less busy lately is chosen: a
        fast one needs a new request sooner and would stay idle for longer.
        """
        limit = max(1, self.limit())
        load = (self.running + len(self.queue)) / limit
        load += TIE_BREAK / limit * min(1.0, self.utilisation.value())
        return load + REPORTED_DRAINING_LOAD * self.reported_draining

    def state(self, flows_full: bool = False) -> frames.State:
        """Return how this agent receives new flows."""
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
        ticket: request_execution.Ticket,
        deadline_s: float,
    ) -> Verdict:
        """Wait for a slot; when ``ADMITTED``, ``release`` must follow.

        The ticket is started or closed here, at the moment of the decision.
        """
        if anyio.current_time() >= deadline_s:
            return self._expire(ticket)
        if self.endpoint_down:
            return self._refuse(ticket)
        if not self.queue and self.running < self.limit():
            return self._take_slot(ticket)
        if not self._make_room(caller):
            return self._refuse(ticket)
        leave_s = deadline_s - self.times.mean_s
        waiter = fair_queue.Waiter(caller, ticket, leave_s, anyio.Event())
        self.queue.append(waiter)
        await self._wait(waiter)
        return self._verdict(waiter)

    def _take_slot(self, ticket: request_execution.Ticket) -> Verdict:
        if not ticket.start():
            return Verdict.CLOSED
        self._change_running(1)
        self._metrics.count(ADMITTED)
        return Verdict.ADMITTED

    def _refuse(self, ticket: request_execution.Ticket) -> Verdict:
        self._metrics.count(SHED)
        return Verdict.SHED if ticket.close() else Verdict.CLOSED

    def _make_room(self, caller: address.Address) -> bool:
        endpoint = self.own_endpoint.endpoint()
        if endpoint is None:
            return False
        if len(self.queue) < self._queue_limit(endpoint):
            return True
        displaced = self.queue.displace(caller)
        if displaced is None:
            return False
        self._metrics.count(SHED)
        displaced.woken.set()
        return True

    async def _wait(self, waiter: fair_queue.Waiter) -> None:
        with anyio.move_on_after(waiter.leave_s - anyio.current_time()):
            await waiter.woken.wait()
        self.queue.remove(waiter)

    def _verdict(self, waiter: fair_queue.Waiter) -> Verdict:
        ticket = waiter.ticket
        if ticket.state is request_execution.TicketState.RUNNING:
            return Verdict.ADMITTED
        if anyio.current_time() >= waiter.leave_s:
            return self._expire(ticket)
        return Verdict.SHED if ticket.close() else Verdict.CLOSED

    def _expire(self, ticket: request_execution.Ticket) -> Verdict:
        self._metrics.count(EXPIRED)
        return Verdict.EXPIRED if ticket.close() else Verdict.CLOSED

    def _admit_waiting(self) -> None:
        while self.queue and self.running < self.limit():
            waiter = self.queue.take()
            if waiter is None:
                return
            # A process that was paused finds entries that are overdue.
            if anyio.current_time() < waiter.leave_s:
                self._take_slot(waiter.ticket)
            waiter.woken.set()

    def forget(self, ticket: request_execution.Ticket) -> None:
        """Take a request that was closed out of the queue at once."""
        waiter = self.queue.find(ticket)
        if waiter is not None:
            self.queue.remove(waiter)
            waiter.woken.set()

    def release(self) -> None:
        """Give back a slot."""
        self._change_running(-1)
        self._admit_waiting()

    def _change_running(self, by: int) -> None:
        self.running += by
        self.utilisation.note(self.running / max(1, self.limit()))

    def answered(self, service_time_s: float, kind: str = "") -> None:
        """Learn from an answer to a kind of request of the endpoint."""
        self.times.add(service_time_s, kind)
        ratio = self.times.recent_ratio()
        if self.times.has_jumped():
            self.times.clear()
            self.turned_cold("service_time_jump")
            return
        self.ramp.confirm()
        if self.policy.answered(self.running, ratio):
            self.times.rebase()

    def overloaded(self, reason: str) -> None:
        """Learn that the endpoint shed a request or stayed silent."""
        self.policy.overloaded()
        self.turned_cold(reason)

    def went_down(self) -> None:
        """Learn that nothing listens at the endpoint's port.

        Health requests are refused twice a second while that lasts. Only the
        first refusal is reported; each one restarts the ramp.
        """
        if self.endpoint_down:
            self.ramp.restart()
            return
        self.endpoint_down = True
        self.turned_cold("refused")

    def came_up(self) -> None:
        """Learn that the endpoint answers; it stays cold until it is warm."""
        self.endpoint_down = False
        self.ramp.confirm()

    def turned_cold(self, reason: str) -> None:
        """Restart the ramp, because the endpoint may be cold."""
        self.ramp.restart()
        self._metrics.count(COLD_STARTS)
        self.kernel.get("trace").record("endpoint", "cold", reason)
        _log.warn_throttled(
            f"cold {reason}", "the endpoint is treated as cold", reason=reason
        )
