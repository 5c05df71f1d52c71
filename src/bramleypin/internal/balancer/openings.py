"""Opens flows without a pin: asks all candidates, then picks the home."""

import dataclasses

import anyio
import anyio.abc

from bramleypin.internal import address
from bramleypin.internal.balancer import flow_key
from bramleypin.internal.balancer import inspection
from bramleypin.internal.balancer import refusals
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import metrics as metrics_module
from bramleypin.internal import placement
from bramleypin.internal.wire import coap
from bramleypin.internal.wire import frames

PROBE_TIMEOUT_S = 0.03
PROBE_ROUNDS = 2
ASK_AGAIN_S = 1.0
# Bounds the tasks and queues that a flood of new flows can cause.
OPENINGS_AT_ONCE = 4_096
# A probe id is an opening's number and the candidate's place in it.
CANDIDATE_BITS = 6
NO_OPENING = 0
MAX_CANDIDATES = 1 << CANDIDATE_BITS

OPENED = metrics_module.declare(
    "balancer.opened", "counter", "flows", "sent to a home to be opened"
)
FOUND = metrics_module.declare(
    "balancer.found", "counter", "flows", "found at an agent by a probe"
)
OPENING_TIME = metrics_module.declare(
    "balancer.opening", "timing", "seconds", "from first datagram to sending"
)

LATE_ANSWERS = metrics_module.declare(
    "balancer.late_probe_answers",
    "counter",
    "frames",
    "probe answers that came after the opening had ended",
)

NO_NEW_FLOWS = (frames.State.DRAINING, frames.State.OUT)


@dataclasses.dataclass(slots=True)
class Opening:
    """A flow that is being opened, with the datagrams that wait for it."""

    key: bytes
    service: str
    may_open: bool
    via: address.Address | None
    started_s: float
    waiting: list[tuple[bytes, float]]
    asked: list[placement.Choice] = dataclasses.field(default_factory=list)
    answer_by_place: dict[int, frames.ProbeAnswer] = dataclasses.field(
        default_factory=dict
    )
    awaited: int = 0
    holder: int | None = None
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)


@kernel_module.service(
    "openings",
    roles=("balancer",),
    needs=("port", "view", "lease", "members", "metrics", "trace"),
)
class Openings(kernel_module.Service):
    """One task for each flow that is being opened."""

    async def start(self) -> None:
        """Look up the other services."""
        kernel = self.kernel
        self._key = kernel.settings.key_bytes[0]
        self._limits = kernel.settings.limits
        self._port = kernel.get("port")
        self._store = kernel.get("view")
        self._lease = kernel.get("lease")
        self._members = kernel.get("members")
        self._metrics = kernel.get("metrics")
        self._trace = kernel.get("trace")
        self._opening_by_key: dict[bytes, Opening] = {}
        self._opening_by_number: dict[int, Opening] = {}
        self._number = kernel.environment.random.getrandbits(32) + 1
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Hold the openings' task group; ask silent agents once a second."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                await anyio.sleep(ASK_AGAIN_S)
                if self._lease.is_valid():
                    self._ask_the_silent()

    def _ask_the_silent(self) -> None:
        for agent in self._forwarder.agents.silent():
            if not self._store.view.is_out(agent.failure_domain):
                # The revision in force may have changed since it was kept.
                probe = dataclasses.replace(
                    agent.probe, revision=self._store.view.revision
                )
                self._port.send(frames.encode(probe, self._key), agent.address)

    def __len__(self) -> int:
        return len(self._opening_by_key)

    @property
    def _forwarder(self):
        return self.kernel.get("forwarder")

    def add(
        self,
        key: bytes,
        datagram: bytes,
        via: address.Address | None,
        service: str,
        may_open: bool,
    ) -> None:
        """Queue a datagram of a flow whose owner is not known.

        Without ``may_open`` the flow is only looked for.
        """
        now = anyio.current_time()
        opening = self._opening_by_key.get(key)
        if opening is not None:
            if len(opening.waiting) >= self._limits.waiting_datagrams:
                self._forwarder.drop("opening_queue")
                return
            opening.waiting.append((datagram, now))
            opening.may_open |= may_open
            opening.via = via
            return
        if (
            self._tasks is None
            or len(self._opening_by_key) >= OPENINGS_AT_ONCE
        ):
            self._forwarder.drop("openings_full")
            return
        opening = Opening(key, service, may_open, via, now, [(datagram, now)])
        self._opening_by_key[key] = opening
        self._tasks.start_soon(self._open, opening)

    async def _open(self, opening: Opening) -> None:
        try:
            # Silence of all says more about the way than about them.
            for _ in range(PROBE_ROUNDS):
                opening.asked = self._candidates(opening)
                if not opening.asked or not self._lease.is_valid():
                    break
                await self._ask(opening)
                if opening.answer_by_place:
                    break
            self._decide(opening)
        finally:
            del self._opening_by_key[opening.key]

    def _candidates(self, opening: Opening) -> list[placement.Choice]:
        """Return whom to ask; suspects come last and are not waited for."""
        found = placement.choices(
            self._store.view,
            opening.service,
            opening.key,
            self._limits.candidates,
            self._members.is_leaving,
        )[:MAX_CANDIDATES]
        agents = self._forwarder.agents
        trusted, suspects = [], []
        for item in found:
            suspect = agents.is_suspect(item.endpoint.data)
            (suspects if suspect else trusted).append(item)
        opening.awaited = len(trusted) or len(found)
        return trusted + suspects

    async def _ask(self, opening: Opening) -> None:
        """Send probes and wait until all are answered or one holds."""
        self._number += 1
        number = self._number
        self._opening_by_number[number] = opening
        try:
            for place, choice in enumerate(opening.asked):
                probe = self._probe(opening, number << CANDIDATE_BITS | place)
                self._port.send(
                    frames.encode(probe, self._key), choice.endpoint.data
                )
            with anyio.move_on_after(PROBE_TIMEOUT_S):
                await opening.done.wait()
        finally:
            del self._opening_by_number[number]

    def _probe(self, opening: Opening, probe_id: int) -> frames.Probe:
        caller, service_address = flow_key.decode(opening.key)
        return frames.Probe(
            probe_id=probe_id,
            revision=self._store.view.revision,
            service=opening.service,
            service_address=service_address,
            caller=caller,
        )

    def probe_answered(self, answer: frames.ProbeAnswer) -> None:
        """Take an answer to a probe."""
        number = answer.probe_id >> CANDIDATE_BITS
        place = answer.probe_id & (MAX_CANDIDATES - 1)
        opening = self._opening_by_number.get(number)
        if opening is None or place >= len(opening.asked):
            self._metrics.count(LATE_ANSWERS)
            return
        opening.answer_by_place[place] = answer
        if answer.holds and opening.holder is None:
            opening.holder = place
        answered = sum(
            place < opening.awaited for place in opening.answer_by_place
        )
        if opening.holder is not None or answered == opening.awaited:
            opening.done.set()

    def _decide(self, opening: Opening) -> None:
        flow = flow_key.text(opening.key)
        if not self._lease.is_valid():
            # The process may have been paused while it waited.
            self._forwarder.drop("no_lease", len(opening.waiting))
            return
        if not opening.asked:
            self._trace.record(flow, "refuse", "no candidates")
            self._refuse(opening)
            return
        if not opening.answer_by_place:
            self._trace.record(flow, "drop", "all candidates silent")
            self._forwarder.drop("silent", len(opening.waiting))
            return
        if opening.holder is not None and self._is_in(opening.holder, opening):
            self._metrics.count(FOUND)
            self._pass_on(opening, self._answered(opening.holder, opening), ())
            return
        self._suspect_the_silent(opening)
        usable = self._usable(opening)
        if not opening.may_open:
            self._forwarder.drop("not_a_request", len(opening.waiting))
        elif not usable:
            self._trace.record(flow, "refuse", "no candidate takes flows")
            self._refuse(opening)
        else:
            self._metrics.count(OPENED)
            self._pass_on(opening, usable[0], usable)

    def _answered(self, place: int, opening: Opening) -> frames.Candidate:
        answer = opening.answer_by_place[place]
        return frames.Candidate(
            opening.asked[place].endpoint.data,
            answer.state,
            answer.load,
            answer.incarnation,
        )

    def _is_in(self, place: int, opening: Opening) -> bool:
        """Tell whether the view still has a candidate's failure domain in."""
        domain = opening.asked[place].endpoint.failure_domain
        return not self._store.view.is_out(domain)

    def _usable(self, opening: Opening) -> tuple[frames.Candidate, ...]:
        """Return the live candidates that may get the flow, best first."""
        return tuple(
            self._answered(place, opening)
            for place, choice in enumerate(opening.asked)
            if choice.eligible
            and place in opening.answer_by_place
            and opening.answer_by_place[place].state not in NO_NEW_FLOWS
            and self._is_in(place, opening)
        )

    def _suspect_the_silent(self, opening: Opening) -> None:
        for place, choice in enumerate(opening.asked):
            if place not in opening.answer_by_place:
                endpoint = choice.endpoint
                self._forwarder.agents.suspect(
                    endpoint.data,
                    endpoint.failure_domain,
                    self._probe(opening, NO_OPENING),
                )
                self._trace.record(
                    str(endpoint.data), "suspect", "probe unanswered"
                )

    def _pass_on(
        self,
        opening: Opening,
        owner: frames.Candidate,
        candidates: tuple[frames.Candidate, ...],
    ) -> None:
        reason = "home opens the flow" if candidates else "holds the flow"
        self._trace.record(
            flow_key.text(opening.key), f"forward to {owner.data}", reason
        )
        self._metrics.timing(
            OPENING_TIME, anyio.current_time() - opening.started_s
        )
        service = self._store.view.service(opening.service)
        if service is None:
            self._forwarder.drop("no_candidates", len(opening.waiting))
            return
        self._forwarder.opened(
            opening.key,
            service,
            owner,
            candidates,
            opening.waiting,
            opening.via,
        )

    def _refuse(self, opening: Opening) -> None:
        """Answer requests that no endpoint can take.

        A request that must not run twice never runs without a pin, so "not
        run" is certain. An earlier copy of another request may have run.
        """
        service = self._store.view.service(opening.service)
        if service is None or service.protocol != "coap":
            self._forwarder.drop("no_candidates", len(opening.waiting))
            return
        for datagram, _ in opening.waiting:
            code = datagram[1]
            if not coap.is_request(code):
                self._forwarder.drop("not_a_request")
                continue
            once = inspection.runs_once(code, service)
            self._forwarder.refuse(
                opening.key,
                datagram,
                opening.via,
                refusals.NOT_RUN if once else refusals.NO_ENDPOINT,
            )
