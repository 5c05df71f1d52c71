"""Opens flows without a pin.

All candidates are probed. If one holds the flow, the datagrams are sent to it;
otherwise the best usable candidate becomes the flow's home agent, which
decides which endpoint gets the flow.
"""

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
MAX_PROBE_ROUNDS = 2
REPROBE_INTERVAL_S = 1.0
# Bounds the number of tasks and queues during a flood of new flows.
MAX_OPENINGS = 4_096
# A probe id consists of the number of a probe round and, in its lowest bits,
# the candidate's index.
CANDIDATE_INDEX_BITS = 6
# The id of probes that only test whether a silent agent answers again.
NO_OPENING_ID = 0
MAX_CANDIDATES = 1 << CANDIDATE_INDEX_BITS

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

STATES_WITHOUT_NEW_FLOWS = (frames.State.DRAINING, frames.State.OUT)


@dataclasses.dataclass(slots=True)
class Opening:
    """A flow that is being opened, with its waiting datagrams.

    ``may_open`` is false if the flow may only be looked up. ``waiting`` pairs
    datagrams with their arrival times in seconds. The opening waits for the
    first ``required_answers`` of the ``probed`` candidates. ``holder_index``
    is the index of the first candidate that reported holding the flow.
    """

    key: bytes
    service: str
    may_open: bool
    via: address.Address | None
    started_s: float
    waiting: list[tuple[bytes, float]]
    probed: list[placement.CandidateEndpoint] = dataclasses.field(
        default_factory=list
    )
    answer_by_index: dict[int, frames.ProbeAnswer] = dataclasses.field(
        default_factory=dict
    )
    required_answers: int = 0
    holder_index: int | None = None
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)


@kernel_module.service(
    "openings",
    roles=("balancer",),
    needs=("port", "view", "lease", "members", "metrics", "trace"),
)
class Openings(kernel_module.Service):
    """Runs one task for each flow that is being opened."""

    async def start(self) -> None:
        """Look up the kernel services; draw the first probe round's number."""
        kernel = self.kernel
        self._key = kernel.settings.key_bytes[0]
        self._limits = kernel.settings.limits
        self._port = kernel.get("port")
        self._view_store = kernel.get("view")
        self._lease = kernel.get("lease")
        self._members = kernel.get("members")
        self._metrics = kernel.get("metrics")
        self._trace = kernel.get("trace")
        self._opening_by_key: dict[bytes, Opening] = {}
        self._opening_by_round: dict[int, Opening] = {}
        self._last_round = kernel.environment.random.getrandbits(32) + 1
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Run the openings' tasks; probe silent agents once a second."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                await anyio.sleep(REPROBE_INTERVAL_S)
                if self._lease.is_valid():
                    self._reprobe_silent_agents()

    def _reprobe_silent_agents(self) -> None:
        for agent in self._forwarder.agents.collect_silent():
            if not self._view_store.view.is_out(agent.failure_domain):
                # The revision may have changed since the probe was stored.
                probe = dataclasses.replace(
                    agent.probe, revision=self._view_store.view.revision
                )
                self._port.send(frames.encode(probe, self._key), agent.address)

    def __len__(self) -> int:
        return len(self._opening_by_key)

    @property
    def _forwarder(self):
        return self.kernel.get("forwarder")

    def enqueue(
        self,
        key: bytes,
        datagram: bytes,
        via: address.Address | None,
        service: str,
        may_open: bool,
    ) -> None:
        """Queue a datagram of a flow whose owner is unknown.

        Without ``may_open`` the flow is only looked up, not opened.
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
        if self._tasks is None or len(self._opening_by_key) >= MAX_OPENINGS:
            self._forwarder.drop("openings_full")
            return
        opening = Opening(key, service, may_open, via, now, [(datagram, now)])
        self._opening_by_key[key] = opening
        self._tasks.start_soon(self._run_opening, opening)

    async def _run_opening(self, opening: Opening) -> None:
        try:
            # If no candidate answers, the cause is more likely the network
            # path than the agents, so probe again.
            for _ in range(MAX_PROBE_ROUNDS):
                opening.probed = self._select_candidates(opening)
                if not opening.probed or not self._lease.is_valid():
                    break
                await self._probe_candidates(opening)
                if opening.answer_by_index:
                    break
            self._conclude(opening)
        finally:
            del self._opening_by_key[opening.key]

    def _select_candidates(
        self, opening: Opening
    ) -> list[placement.CandidateEndpoint]:
        """Return the candidates to probe.

        Suspected agents come last. The opening waits for their answers only
        if all candidates are suspected.
        """
        candidates = placement.select_candidates(
            self._view_store.view,
            opening.service,
            opening.key,
            self._limits.candidates,
            self._members.is_leaving,
        )[:MAX_CANDIDATES]
        agents = self._forwarder.agents
        trusted, suspected = [], []
        for candidate in candidates:
            is_suspect = agents.is_suspect(candidate.endpoint.data)
            (suspected if is_suspect else trusted).append(candidate)
        opening.required_answers = len(trusted) or len(candidates)
        return trusted + suspected

    async def _probe_candidates(self, opening: Opening) -> None:
        """Probe the candidates and wait for their answers.

        The wait ends when all required answers have arrived, when a candidate
        holds the flow, or after ``PROBE_TIMEOUT_S``.
        """
        self._last_round += 1
        round_number = self._last_round
        self._opening_by_round[round_number] = opening
        try:
            for index, candidate in enumerate(opening.probed):
                probe = self._build_probe(
                    opening, round_number << CANDIDATE_INDEX_BITS | index
                )
                self._port.send(
                    frames.encode(probe, self._key), candidate.endpoint.data
                )
            with anyio.move_on_after(PROBE_TIMEOUT_S):
                await opening.done.wait()
        finally:
            del self._opening_by_round[round_number]

    def _build_probe(self, opening: Opening, probe_id: int) -> frames.Probe:
        caller, service_address = flow_key.decode(opening.key)
        return frames.Probe(
            probe_id=probe_id,
            revision=self._view_store.view.revision,
            service=opening.service,
            service_address=service_address,
            caller=caller,
        )

    def handle_probe_answer(self, answer: frames.ProbeAnswer) -> None:
        """Record an answer to a probe."""
        round_number = answer.probe_id >> CANDIDATE_INDEX_BITS
        index = answer.probe_id & (MAX_CANDIDATES - 1)
        opening = self._opening_by_round.get(round_number)
        if opening is None or index >= len(opening.probed):
            self._metrics.count(LATE_ANSWERS)
            return
        opening.answer_by_index[index] = answer
        if answer.holds and opening.holder_index is None:
            opening.holder_index = index
        answer_count = sum(
            answered_index < opening.required_answers
            for answered_index in opening.answer_by_index
        )
        if (
            opening.holder_index is not None
            or answer_count == opening.required_answers
        ):
            opening.done.set()

    def _conclude(self, opening: Opening) -> None:
        """Forward, refuse or drop the waiting datagrams."""
        flow = flow_key.to_text(opening.key)
        if not self._lease.is_valid():
            # The process may have been paused while waiting for answers.
            self._forwarder.drop("no_lease", len(opening.waiting))
            return
        if not opening.probed:
            self._trace.record(flow, "refuse", "no candidates")
            self._refuse_waiting(opening)
            return
        if not opening.answer_by_index:
            self._trace.record(flow, "drop", "all candidates silent")
            self._forwarder.drop("silent", len(opening.waiting))
            return
        if opening.holder_index is not None and self._is_domain_in_service(
            opening.holder_index, opening
        ):
            self._metrics.count(FOUND)
            self._forward_waiting(
                opening,
                self._build_candidate(opening.holder_index, opening),
                (),
            )
            return
        self._suspect_silent_candidates(opening)
        usable = self._usable_candidates(opening)
        if not opening.may_open:
            self._forwarder.drop("not_a_request", len(opening.waiting))
        elif not usable:
            self._trace.record(flow, "refuse", "no candidate takes flows")
            self._refuse_waiting(opening)
        else:
            self._metrics.count(OPENED)
            self._forward_waiting(opening, usable[0], usable)

    def _build_candidate(
        self, index: int, opening: Opening
    ) -> frames.Candidate:
        answer = opening.answer_by_index[index]
        return frames.Candidate(
            opening.probed[index].endpoint.data,
            answer.state,
            answer.load,
            answer.incarnation,
        )

    def _is_domain_in_service(self, index: int, opening: Opening) -> bool:
        """Return whether a candidate's failure domain is not out."""
        domain = opening.probed[index].endpoint.failure_domain
        return not self._view_store.view.is_out(domain)

    def _usable_candidates(
        self, opening: Opening
    ) -> tuple[frames.Candidate, ...]:
        """Return the candidates that may get the flow, best first.

        Usable candidates are eligible, have answered, take new flows and are
        not in a failure domain that is out.
        """
        return tuple(
            self._build_candidate(index, opening)
            for index, candidate in enumerate(opening.probed)
            if candidate.eligible
            and index in opening.answer_by_index
            and opening.answer_by_index[index].state
            not in STATES_WITHOUT_NEW_FLOWS
            and self._is_domain_in_service(index, opening)
        )

    def _suspect_silent_candidates(self, opening: Opening) -> None:
        for index, candidate in enumerate(opening.probed):
            if index not in opening.answer_by_index:
                endpoint = candidate.endpoint
                self._forwarder.agents.mark_suspect(
                    endpoint.data,
                    endpoint.failure_domain,
                    self._build_probe(opening, NO_OPENING_ID),
                )
                self._trace.record(
                    str(endpoint.data), "suspect", "probe unanswered"
                )

    def _forward_waiting(
        self,
        opening: Opening,
        owner: frames.Candidate,
        candidates: tuple[frames.Candidate, ...],
    ) -> None:
        reason = "home opens the flow" if candidates else "holds the flow"
        self._trace.record(
            flow_key.to_text(opening.key), f"forward to {owner.data}", reason
        )
        self._metrics.timing(
            OPENING_TIME, anyio.current_time() - opening.started_s
        )
        service = self._view_store.view.service(opening.service)
        if service is None:
            self._forwarder.drop("no_candidates", len(opening.waiting))
            return
        self._forwarder.finish_opening(
            opening.key,
            service,
            owner,
            candidates,
            opening.waiting,
            opening.via,
        )

    def _refuse_waiting(self, opening: Opening) -> None:
        """Answer the waiting requests when no endpoint can take them.

        A request that must not run twice never runs without a pin, so its
        outcome is "not run". An earlier copy of any other request may have
        run, so its outcome is "unknown".
        """
        service = self._view_store.view.service(opening.service)
        if service is None or service.protocol != "coap":
            self._forwarder.drop("no_candidates", len(opening.waiting))
            return
        for datagram, _ in opening.waiting:
            code = datagram[1]
            if not coap.is_request(code):
                self._forwarder.drop("not_a_request")
                continue
            at_most_once = inspection.must_run_at_most_once(code, service)
            self._forwarder.refuse(
                opening.key,
                datagram,
                opening.via,
                (
                    refusals.NOT_RUN
                    if at_most_once
                    else refusals.NO_ENDPOINT_UNKNOWN
                ),
            )
