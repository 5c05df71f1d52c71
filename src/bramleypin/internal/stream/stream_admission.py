"""Decides at the endpoint whether it takes a new flow."""

import collections

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal import registry
from bramleypin.internal.observe import logs
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import view as view_module

# Requests that may wait at an endpoint for each slot; more are passed on, or
# refused when no other endpoint is left.
QUEUE_PER_SLOT = 3
COLD_WINDOW_S = 1.0

_log = logs.get("admission")


class Decision:
    """Why an opening was not taken; "" when it was."""

    TAKEN = ""


CHECKS: registry.Registry = registry.Registry("admission check")


@kernel_module.service(
    "stream_admission", roles=("stream_agent",), needs=("view",)
)
class StreamAdmission(kernel_module.Service):
    """Holds what the endpoint may take now.

    All balancers' openings pass here, so the limit of a cold endpoint is a
    sum over all of them.
    """

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._keeper = kernel.get("view")
        self.settings = kernel.settings
        self.leaving = False
        self.silent = False
        # A process that has just started does not know what the endpoint got
        # within the last second, so the window starts as if it were full.
        self._started_s = anyio.current_time()
        self._taken_s: collections.deque[float] = collections.deque()

    def endpoint(self) -> view_module.Endpoint | None:
        """Return the registration of the endpoint beside this agent."""
        settings = self.settings
        view = self._keeper.view
        known = view.endpoint_by_host(settings.service)
        return known.get(settings.host)

    def cold_limit(self, endpoint: view_module.Endpoint) -> float:
        """Return how many requests a second a cold endpoint bears."""
        configuration = self._keeper.view.configuration
        service = configuration.service_by_name.get(endpoint.service)
        if service is None:
            return 0.0
        # Half of the tolerated burst is left for packets that were sent
        # before and arrive late.
        return service.cold_per_s + self.settings.bounds.cold_burst / 2

    def room(self) -> int:
        """Return what a cold endpoint may take now; -1 when not cold."""
        endpoint = self.endpoint()
        now_s = anyio.current_time()
        if endpoint is None or not endpoint.is_cold(now_s):
            return -1
        if now_s - self._started_s < COLD_WINDOW_S:
            return 0
        while self._taken_s and now_s - self._taken_s[0] > COLD_WINDOW_S:
            self._taken_s.popleft()
        return max(0, int(self.cold_limit(endpoint)) - len(self._taken_s))

    def decide(
        self, message: frames.Open, running: int, open_count: int, last: bool
    ) -> str:
        """Return why an opening cannot be taken; "" when it can.

        ``last`` says that no other endpoint is left to ask.
        """
        for name, check in CHECKS.entry_by_name.items():
            if check(self, message, running, open_count, last):
                return name
        self._taken_s.append(anyio.current_time())
        if len(self._taken_s) > 1_024:
            self._taken_s.popleft()
        return ""

    @property
    def view(self) -> view_module.View:
        """The view in force."""
        return self._keeper.view

    def state(self) -> str:
        """Return the state for reports."""
        if self.leaving:
            return "leaving"
        return "silent" if self.silent else "ready"


@CHECKS.register("no view")
def _no_view(admission, message, running, open_count, last) -> bool:
    return not admission.view.loaded


@CHECKS.register("other service")
def _other_service(admission, message, running, open_count, last) -> bool:
    return message.service != admission.settings.service


@CHECKS.register("leaving")
def _leaving(admission, message, running, open_count, last) -> bool:
    return admission.leaving


@CHECKS.register("not registered")
def _not_registered(admission, message, running, open_count, last) -> bool:
    # A balancer with a newer view may know the registration already.
    known = admission.endpoint()
    return known is None and message.revision <= admission.view.revision


@CHECKS.register("draining")
def _draining(admission, message, running, open_count, last) -> bool:
    known = admission.endpoint()
    return known is not None and known.draining


@CHECKS.register("failure domain out")
def _domain_out(admission, message, running, open_count, last) -> bool:
    domain = admission.settings.failure_domain
    return domain in admission.view.domains_out


@CHECKS.register("silent")
def _silent(admission, message, running, open_count, last) -> bool:
    return admission.silent and not last


@CHECKS.register("cold")
def _cold(admission, message, running, open_count, last) -> bool:
    return admission.room() == 0


@CHECKS.register("no slot free")
def _no_slot(admission, message, running, open_count, last) -> bool:
    known = admission.endpoint()
    return known is not None and not last and running >= known.slots


@CHECKS.register("queue full")
def _queue_full(admission, message, running, open_count, last) -> bool:
    known = admission.endpoint()
    if known is None:
        return False
    return running >= known.slots * (1 + QUEUE_PER_SLOT)


@CHECKS.register("too many flows")
def _too_many_flows(admission, message, running, open_count, last) -> bool:
    configuration = admission.view.configuration
    service = configuration.service_by_name.get(message.service)
    limit = service.max_flows if service is not None else 0
    return limit > 0 and open_count >= limit
