"""Opens flows: offers the opening packet to one agent after the other."""

import dataclasses

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import ticker
from bramleypin.internal.stream import view as view_module

# An agent answers when its endpoint has accepted the flow, and passes it on
# when the endpoint does not. It is asked only once, as the caller's own copies
# and the next agent cover a lost frame.
ANSWER_TIMEOUT_S = 0.06
TICK_S = 0.01
# A caller gives an opening up after 1.4 s, so one that waits longer than
# this could be taken too late.
MAX_AGE_S = 1.2
# How long a caller has waited when it sends its first, second, third copy.
COPY_AGE_S = (0.0, 0.2, 0.6)
# After all agents declined, they are asked again at this interval: slots
# become free and restarted endpoints register within a fraction of a second.
# A request that has missed its latency objective is worth less and asks less
# often, so that slots go to those that can still meet theirs.
RETRY_S = 0.03
LATE_RETRY_S = 0.12
# Packets of a flow that wait until its opening is decided.
MAX_WAITING = 8

OPENED = metrics.declare(
    "stream.openings_taken", "counter", "flows", "Openings an agent took."
)
REFUSED = metrics.declare(
    "stream.openings_refused",
    "counter",
    "flows",
    "Openings reset, because no endpoint could take them.",
)
UNANSWERED = metrics.declare(
    "stream.openings_unanswered",
    "counter",
    "offers",
    "Offers of an opening that an agent did not answer in time.",
)

WAITED = metrics.declare(
    "stream.opening_wait",
    "histogram",
    "seconds",
    "How long callers waited until an agent took their opening.",
)

_log = logs.get("openings")


@dataclasses.dataclass(slots=True)
class Opening:
    """An opening that no agent has taken yet.

    Each offer has a number of its own, the latest one last, so that an answer
    to an earlier offer is not taken for one to the latest. ``late`` is as of
    the time when no endpoint had a place for it.
    """

    flow: segment.Flow
    packet: bytes
    service: str
    route: view_module.Route
    started_s: float
    due_s: float = 0.0
    host: str = ""
    numbers: list[int] = dataclasses.field(default_factory=list)
    tried_hosts: list[str] = dataclasses.field(default_factory=list)
    waiting: list[segment.Segment] = dataclasses.field(default_factory=list)
    late: bool = False


@kernel_module.service(
    "openings",
    roles=("stream_balancer",),
    needs=("view", "peer_port", "loads", "metrics"),
)
class Openings(kernel_module.Service):
    """Holds the openings in progress.

    ``on_taken(opening, host)`` and ``on_refused(opening)`` are set by the
    balancer, which owns the flows.
    """

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.opening_by_flow: dict[segment.Flow, Opening] = {}
        self._opening_by_number: dict[int, Opening] = {}
        self._number = kernel.environment.random.getrandbits(31)
        self._keeper = kernel.get("view")
        self._peers = kernel.get("peer_port")
        self._loads = kernel.get("loads")
        self._metrics = kernel.get("metrics")
        self._ticker = ticker.Ticker(TICK_S)
        self._held_by_flow: dict[segment.Flow, Opening] = {}
        self._peers.on(frames.Opened, self._on_opened)
        self._loads.on_place = self._offer_held

    def begin(
        self,
        packet: segment.Segment,
        route: view_module.Route,
        arrived_s: float,
    ) -> None:
        """Offer an opening packet to the endpoint that is best for it.

        ``arrived_s`` is when the packet arrived. The time that the caller
        has waited already counts, or slots would go to callers that are
        about to give up. A flow whose opening is in progress keeps it.
        """
        flow = packet.flow_from_caller()
        if flow in self.opening_by_flow:
            return
        copies = min(packet.acknowledged, len(COPY_AGE_S) - 1)
        opening = Opening(
            flow=flow,
            packet=packet.raw,
            service=route.service_for(flow),
            route=route,
            started_s=arrived_s - COPY_AGE_S[copies],
        )
        self.opening_by_flow[flow] = opening
        self._offer(opening)
        self._ticker.wake()

    def _offer(self, opening: Opening) -> None:
        self._held_by_flow.pop(opening.flow, None)
        now_s = anyio.current_time()
        if now_s - opening.started_s > MAX_AGE_S:
            self._refuse(opening, "no endpoint in time")
            return
        late = self._loads.is_late(
            opening.service,
            now_s - opening.started_s,
            opening.route.target_s,
        )
        hosts = self._loads.rank(
            opening.service, opening.route, opening.tried_hosts, late
        )
        if not hosts or self._loads.is_full(hosts[0], late):
            self._hold(opening, now_s, late)
            return
        self._number = (self._number + 1) & 0x7FFFFFFF
        opening.numbers.append(self._number)
        self._opening_by_number[self._number] = opening
        view = self._keeper.view
        opening.host = hosts[0]
        opening.due_s = now_s + ANSWER_TIMEOUT_S
        self._peers.send(
            opening.host,
            frames.Open(
                self._number,
                self.kernel.settings.host,
                opening.service,
                view.configuration.version,
                view.revision,
                opening.tried_hosts,
                # Late requests are offered where a slot was free just now;
                # passing them on would only spread the load of refusals.
                [] if late else hosts[1:],
                late,
            ),
            opening.packet,
        )
        opening.tried_hosts.append(opening.host)
        self._loads.sent(opening.host)

    def _hold(self, opening: Opening, now_s: float, late: bool) -> None:
        """Ask again later, unless no endpoint may take the flow at all."""
        opening.tried_hosts.clear()
        none_left = not self._loads.eligible(opening.service)
        if none_left and self._keeper.settled(opening.service):
            self._refuse(opening, "no endpoint in service")
            return
        opening.host = ""
        opening.late = late
        opening.due_s = now_s + (LATE_RETRY_S if late else RETRY_S)
        self._held_by_flow[opening.flow] = opening

    def _offer_held(self, host: str) -> None:
        """Offer held openings to an endpoint that has a free slot.

        Those that can still be answered in time come first, then those whose
        callers give up soonest.
        """
        if not self._held_by_flow:
            return
        service = self._loads.service_of(host)
        waiting = [
            opening
            for opening in self._held_by_flow.values()
            if opening.service == service
        ]
        waiting.sort(key=lambda opening: (opening.late, opening.started_s))
        for opening in waiting:
            if self._loads.is_full(host, late=True):
                return
            self._offer(opening)

    def _on_opened(self, message: frames.Opened, _: bytes, host: str) -> None:
        self._loads.learn(message.report, host)
        opening = self._opening_by_number.get(message.opening)
        if opening is None:
            return
        if message.outcome == "taken":
            self._end(opening)
            self._metrics.count(OPENED)
            waited_s = anyio.current_time() - opening.started_s
            self._metrics.observe(WAITED, waited_s)
            _log.info(
                "opening taken",
                flow=str(opening.flow),
                opening=message.opening,
                host=host,
                service=opening.service,
                route=opening.route.name,
                waited_ms=round(waited_s * 1000, 1),
                offers=len(opening.numbers),
                revision=self._keeper.view.revision,
            )
            self.on_taken(opening, host)
        elif message.opening != opening.numbers[-1]:
            return
        elif message.outcome == "passed":
            opening.host = message.reason
            opening.tried_hosts.append(message.reason)
            opening.due_s = anyio.current_time() + ANSWER_TIMEOUT_S
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
        self._end(opening)
        self._metrics.count(REFUSED)
        _log.warn_throttled(
            f"reset {opening.service}",
            "opening reset",
            flow=str(opening.flow),
            reason=reason,
            tried=",".join(opening.tried_hosts),
            revision=self._keeper.view.revision,
        )
        self.on_refused(opening)

    def _end(self, opening: Opening) -> None:
        self.opening_by_flow.pop(opening.flow, None)
        self._held_by_flow.pop(opening.flow, None)
        for number in opening.numbers:
            self._opening_by_number.pop(number, None)

    async def run(self) -> None:
        """Offer openings that were not answered to the next agent."""
        while True:
            await self._ticker.wait(self.opening_by_flow)
            now_s = anyio.current_time()
            late = [
                opening
                for opening in self.opening_by_flow.values()
                if opening.due_s <= now_s
            ]
            for opening in late:
                if opening.host:
                    self._metrics.count(UNANSWERED)
                    self._loads.suspect(opening.host)
                self._offer(opening)
