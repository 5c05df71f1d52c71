"""Admission control: decides whether an endpoint accepts a new flow."""

import collections
import dataclasses
import math
import typing

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal import registry
from bramleypin.internal.stream import endpoint_flows
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import view as view_module

# Queued requests per slot of an endpoint. One keeps the slots busy; more would
# only delay the requests behind them.
QUEUE_PER_SLOT = 1.0
# Fraction of the queue that is reserved for requests of the highest priority.
RESERVED_QUEUE_FRACTION = 0.4
COLD_WINDOW_S = 1.0
# After a loss of power, an endpoint may start this long before its agent. Its
# machine had no agent before that could have given it a flow.
AGENT_START_DELAY_S = 0.5
# Bounds the list of acceptance times while the endpoint is not cold.
MAX_ACCEPTED_TIMES = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """An opening and the endpoint's load, as input of the admission checks.

    ``destination`` is the service address of the opening.
    ``running_requests`` and ``open_flow_count`` are the numbers of the
    endpoint's requests and flows. ``is_last`` is true when no other endpoint
    is left to ask, ``has_highest_priority`` when no route of the service has
    a higher priority.
    """

    offer: frames.Offer
    destination: tuple[int, int]
    running_requests: int
    open_flow_count: int
    is_last: bool
    has_highest_priority: bool


def request_limit(slots: int, has_highest_priority: bool = True) -> float:
    """Return the limit on running and queued requests of an endpoint.

    Only requests of the highest priority may use the reserved part of the
    queue.
    """
    queue = slots * QUEUE_PER_SLOT
    if not has_highest_priority:
        queue *= 1 - RESERVED_QUEUE_FRACTION
    return slots + max(1.0, queue)


Check = typing.Callable[["StreamAdmission", AdmissionRequest], bool]
CHECKS: registry.Registry[Check] = registry.Registry("admission check")


@kernel_module.service(
    "stream_admission", roles=("stream_agent",), needs=("view",)
)
class StreamAdmission(kernel_module.Service):
    """Holds the endpoint's flows and decides whether to accept more.

    The openings of all balancers pass through this service, so it enforces
    the limit of a cold endpoint on their sum.
    """

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._view_manager = kernel.get("view")
        self.settings = kernel.settings
        self.flows = endpoint_flows.EndpointFlows(kernel.settings)
        self.flows.endpoint_is_newer = self._endpoint_is_newer
        self.leaving = False
        self.endpoint_silent = False
        # A new process does not know how many requests the endpoint received
        # within the last second, so the window is assumed to be full at first.
        self._started_s = anyio.current_time()
        self._started_unix_s = kernel.environment.unix_time()
        self._accepted_s: collections.deque[float] = collections.deque()

    def endpoint(self) -> view_module.Endpoint | None:
        """Return the registration of this agent's endpoint, if any."""
        settings = self.settings
        view = self._view_manager.view
        endpoint_by_host = view.endpoint_by_host(settings.service)
        return endpoint_by_host.get(settings.host)

    def _endpoint_is_newer(self) -> bool:
        """Return whether the registered endpoint started after this process.

        Both times are Unix times of this machine. A step of its clock between
        the two could make an endpoint that started up to that much earlier
        look newer.
        """
        endpoint = self.endpoint()
        if endpoint is None:
            return False
        oldest_s = self._started_unix_s - AGENT_START_DELAY_S
        return endpoint.started_ms / 1000 >= oldest_s

    def slots(self) -> int:
        """Return the number of requests that the endpoint runs at once."""
        endpoint = self.endpoint()
        return endpoint.slots if endpoint is not None else 1

    def cold_rate_limit(self, endpoint: view_module.Endpoint) -> float:
        """Return the limit of a cold endpoint, in requests per second.

        The limit is infinite if no rate is announced. In that case, only the
        reported service time shows that the endpoint is slow.
        """
        configuration = self._view_manager.view.configuration
        service = configuration.service_by_name.get(endpoint.service)
        if service is None or service.cold_per_s <= 0:
            return math.inf
        # Half of the tolerated burst is kept for packets that were sent before
        # and arrive late.
        return service.cold_per_s + self.settings.bounds.cold_burst / 2

    def cold_allowance(self) -> int:
        """Return the number of requests a cold endpoint may accept now.

        The result is -1 when the endpoint is not cold or has no limit.
        """
        endpoint = self.endpoint()
        now_s = anyio.current_time()
        if endpoint is None or not endpoint.is_cold(now_s):
            return -1
        limit = self.cold_rate_limit(endpoint)
        if math.isinf(limit):
            return -1
        if now_s - self._started_s < COLD_WINDOW_S:
            return 0
        while self._accepted_s and now_s - self._accepted_s[0] > COLD_WINDOW_S:
            self._accepted_s.popleft()
        return max(0, int(limit) - len(self._accepted_s))

    def has_highest_priority(self, destination: tuple[int, int]) -> bool:
        """Return whether the destination's route has the highest priority.

        Its priority is compared with that of all routes to the service. The
        result is false if there is no route.
        """
        configuration = self._view_manager.view.configuration
        route = configuration.route_by_address.get(destination)
        if route is None:
            return False
        service = self.settings.service
        return route.priority <= configuration.highest_priority(service)

    def check_admission(self, request: AdmissionRequest) -> str:
        """Return the reason for refusing an opening; "" if it is accepted.

        An accepted opening counts towards the limit of a cold endpoint.
        """
        for name, check in CHECKS.entry_by_name.items():
            if check(self, request):
                return name
        self._accepted_s.append(anyio.current_time())
        if len(self._accepted_s) > MAX_ACCEPTED_TIMES:
            self._accepted_s.popleft()
        return ""

    @property
    def view(self) -> view_module.View:
        """The view in force."""
        return self._view_manager.view

    def state(self) -> str:
        """Return the state that is sent in reports."""
        if self.leaving:
            return "leaving"
        self.flows.check_health()
        if self.endpoint_silent:
            return "silent"
        return "failing" if self.flows.health.failing else "ready"


@CHECKS.register("no view")
def _no_view(admission: StreamAdmission, request: AdmissionRequest) -> bool:
    return not admission.view.loaded


@CHECKS.register("other service")
def _other_service(
    admission: StreamAdmission, request: AdmissionRequest
) -> bool:
    return request.offer.service != admission.settings.service


@CHECKS.register("route moved")
def _route_moved(
    admission: StreamAdmission, request: AdmissionRequest
) -> bool:
    configuration = admission.view.configuration
    if request.offer.version > configuration.version:
        return False
    route = configuration.route_by_address.get(request.destination)
    return route is None or not route.allows(admission.settings.service)


@CHECKS.register("leaving")
def _leaving(admission: StreamAdmission, request: AdmissionRequest) -> bool:
    return admission.leaving


@CHECKS.register("not registered")
def _not_registered(
    admission: StreamAdmission, request: AdmissionRequest
) -> bool:
    # A balancer with a newer view may already know the registration, so its
    # offer is not refused for a registration that this view lacks.
    offer_is_not_newer = request.offer.view_stamp() <= admission.view.stamp
    return admission.endpoint() is None and offer_is_not_newer


@CHECKS.register("draining")
def _draining(admission: StreamAdmission, request: AdmissionRequest) -> bool:
    endpoint = admission.endpoint()
    return endpoint is not None and admission.view.is_draining(endpoint)


@CHECKS.register("failure domain out")
def _domain_out(admission: StreamAdmission, request: AdmissionRequest) -> bool:
    domain = admission.settings.failure_domain
    return admission.view.is_out(domain)


@CHECKS.register("silent")
def _silent(admission: StreamAdmission, request: AdmissionRequest) -> bool:
    return admission.endpoint_silent and not request.is_last


@CHECKS.register("cold")
def _cold(admission: StreamAdmission, request: AdmissionRequest) -> bool:
    return admission.cold_allowance() == 0


@CHECKS.register("no slot free")
def _no_slot(admission: StreamAdmission, request: AdmissionRequest) -> bool:
    endpoint = admission.endpoint()
    if endpoint is None or (request.is_last and not request.offer.is_late):
        return False
    # A late request is never queued, because a request behind it might still
    # be answered in time.
    return request.running_requests >= endpoint.slots


@CHECKS.register("queue full")
def _queue_full(admission: StreamAdmission, request: AdmissionRequest) -> bool:
    endpoint = admission.endpoint()
    if endpoint is None:
        return False
    return request.running_requests >= request_limit(
        endpoint.slots, request.has_highest_priority
    )


@CHECKS.register("too many flows")
def _too_many_flows(
    admission: StreamAdmission, request: AdmissionRequest
) -> bool:
    configuration = admission.view.configuration
    service = configuration.service_by_name.get(request.offer.service)
    limit = service.max_flows if service is not None else 0
    return limit > 0 and request.open_flow_count >= limit
