"""Model of balancers that choose endpoints by load reports.

Endpoints report their load at intervals; messages take ``HOP_S``, and time is
virtual. Handles one request after another, in the order of events.
"""

import dataclasses
import heapq
import random
import typing

from bramleypin.internal.stream import load_estimate

# One-way delay of a message within a deployment.
HOP_S = 0.0005
MEAN_WORK_S = 0.02
# Fraction of requests that take LONG_FACTOR times as long.
LONG_SHARE = 0.03
LONG_FACTOR = 7.0
# A third of the endpoints are this many times as fast as the others.
FAST_FACTOR = 2.4
CANDIDATES = 10
MAX_PASSES = 2
WARM_UP_S = 0.5
SEED = 1
# Waiting requests per endpoint above which queue lengths are not told apart.
MAX_QUEUE = 200
# As in the agent and the balancer: waiting requests per slot of an endpoint,
# and the interval of further offers of a request that all have refused.
QUEUE_PER_SLOT = 1
RETRY_INTERVAL_S = 0.03
# Mean pause of a caller between two requests of a flow.
PAUSE_S = 0.1


@dataclasses.dataclass(frozen=True)
class Cell:
    """One deployment; reports are up to ``report_age_s`` old."""

    balancers: int = 22
    endpoints: int = 46
    slots: int = 1
    unequal: bool = True
    report_age_s: float = 0.8
    utilisation: float = 0.85
    requests_per_flow: int = 1
    duration_s: float = 1.3
    seed: int = SEED

    def speeds(self) -> list[float]:
        """Return the speeds of the endpoints; their mean is 1."""
        factors = [
            FAST_FACTOR if self.unequal and number % 3 == 0 else 1.0
            for number in range(self.endpoints)
        ]
        mean = sum(factors) / len(factors)
        return [factor / mean for factor in factors]


@dataclasses.dataclass(frozen=True)
class Result:
    """Figures of one policy in one cell.

    ``queue_p99`` is the 99th percentile over time and endpoints of the
    waiting requests per slot, interpolated between whole numbers of requests.
    ``idle_share`` is the fraction of slots that are idle while a request
    waits elsewhere, on average over time. ``offers`` is the number of offers
    per request, ``delay_s`` the mean time to the answer.
    """

    queue_p99: float
    idle_share: float
    wait_s: float
    delay_s: float
    offers: float


@dataclasses.dataclass(slots=True, eq=False)
class Server:
    """An endpoint; ``requests`` counts the running and waiting ones."""

    number: int
    slots: int
    service_s: float
    requests: int = 0
    reported_requests: int = 0
    reported_s: float = 0.0
    queue: list["Job"] = dataclasses.field(default_factory=list)
    asking_balancers: dict[int, None] = dataclasses.field(default_factory=dict)

    @property
    def idle_slots(self) -> int:
        """The number of slots without a request."""
        return max(0, self.slots - self.requests)


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request; ``work`` is its duration relative to the mean."""

    balancer: int
    started_s: float
    work: float
    candidates: list[Server]
    following: int = 0


# Returns the rank of an endpoint for a new request; the lowest is chosen.
Rank = typing.Callable[
    [Server, load_estimate.LoadEstimate, float, random.Random], float
]


@dataclasses.dataclass(frozen=True)
class Policy:
    """A rank, the candidates that it is applied to and the agents' checks.

    With ``passes``, an agent without a free slot passes a request on that
    often, and the last one refuses it when its queue is full; the request
    then waits at the balancer. Otherwise queues are unlimited. ``hop_s`` is 0
    for a policy whose choice takes effect at once.
    """

    rank: Rank
    candidates: int = CANDIDATES
    passes: int = 0
    hop_s: float = HOP_S


class Simulation:
    """One run of a policy in a cell."""

    def __init__(self, cell: Cell, policy: Policy):
        self.cell = cell
        self.policy = policy
        self.rng = random.Random(cell.seed)
        # Choices draw from their own source: all policies see the same load.
        self.choice_rng = random.Random(cell.seed + 1)
        self.servers = [
            Server(number, cell.slots, MEAN_WORK_S / speed)
            for number, speed in enumerate(cell.speeds())
        ]
        self.estimates = [
            [
                load_estimate.LoadEstimate(cell.slots, server.service_s)
                for server in self.servers
            ]
            for _ in range(cell.balancers)
        ]
        self.pending: list[dict[Job, None]] = [
            {} for _ in range(cell.balancers)
        ]
        self.events: list[tuple] = []
        self.sequence = 0
        self.now_s = 0.0
        self.waiting = 0
        self.idle = cell.endpoints * cell.slots
        self.idle_while_waiting_s = 0.0
        self.time_by_queue = [0.0] * MAX_QUEUE
        self.queue_since_s = [WARM_UP_S] * cell.endpoints
        self.waits_s: list[float] = []
        self.delays_s: list[float] = []
        self.offers = 0
        self.offer_number = 0
        mean_work = 1 - LONG_SHARE + LONG_SHARE * LONG_FACTOR
        self.work_scale = 1 / mean_work

    def schedule(self, delay_s: float, handler, *arguments) -> None:
        self.sequence += 1
        heapq.heappush(
            self.events,
            (self.now_s + delay_s, self.sequence, handler, arguments),
        )

    def run(self) -> Result:
        cell = self.cell
        for server in self.servers:
            phase_s = cell.report_age_s * self.rng.random()
            self.schedule(phase_s, self.on_report, server)
        rate = cell.utilisation * cell.endpoints * cell.slots / MEAN_WORK_S
        rate /= cell.requests_per_flow
        self.schedule(0.0, self.on_arrival, rate)
        while self.events:
            now_s, _, handler, arguments = heapq.heappop(self.events)
            if now_s > cell.duration_s:
                break
            if self.waiting and now_s > WARM_UP_S:
                start_s = max(self.now_s, WARM_UP_S)
                self.idle_while_waiting_s += self.idle * (now_s - start_s)
            self.now_s = now_s
            handler(*arguments)
        self.now_s = cell.duration_s
        for server in self.servers:
            self.count_queue(server)
        measured_s = cell.duration_s - WARM_UP_S
        return Result(
            self.percentile(0.99),
            self.idle_while_waiting_s
            / (measured_s * cell.endpoints * cell.slots),
            sum(self.waits_s) / len(self.waits_s),
            sum(self.delays_s) / len(self.delays_s),
            self.offers / len(self.waits_s),
        )

    def percentile(self, fraction: float) -> float:
        target = fraction * sum(self.time_by_queue)
        total = 0.0
        for length, time_s in enumerate(self.time_by_queue):
            if total + time_s >= target:
                part = (target - total) / time_s
                return max(0.0, length - 1 + part) / self.cell.slots
            total += time_s
        return MAX_QUEUE / self.cell.slots

    def count_queue(self, server: Server) -> None:
        """Count the time since the last change of a server's queue."""
        if self.now_s > WARM_UP_S:
            number = server.number
            length = min(len(server.queue), MAX_QUEUE - 1)
            self.time_by_queue[length] += (
                self.now_s - self.queue_since_s[number]
            )
            self.queue_since_s[number] = self.now_s

    def on_report(self, server: Server) -> None:
        server.reported_requests = server.requests
        server.reported_s = self.now_s
        self.schedule(self.cell.report_age_s, self.on_report, server)

    def on_arrival(self, rate: float) -> None:
        self.schedule(self.rng.expovariate(rate), self.on_arrival, rate)
        balancer = self.rng.randrange(self.cell.balancers)
        candidates = self.rng.sample(self.servers, CANDIDATES)
        following = self.cell.requests_per_flow - 1
        job = Job(balancer, self.now_s, self.work(), candidates, following)
        self.offer(job)

    def work(self) -> float:
        """Return the work of a request, relative to the mean."""
        work = self.work_scale * self.rng.uniform(0.5, 1.5)
        return work * (LONG_FACTOR if self.rng.random() < LONG_SHARE else 1.0)

    def on_next_request(self, job: Job, server: Server) -> None:
        job.started_s = self.now_s
        job.work = self.work()
        job.following -= 1
        self.accept(server, job)

    def offer(self, job: Job, free_server: Server | None = None) -> None:
        """Offer a request to the candidates with the best ranks."""
        estimates = self.estimates[job.balancer]
        policy, now_s, rng = self.policy, self.now_s, self.choice_rng
        ranks = []
        for number, server in enumerate(job.candidates[: policy.candidates]):
            estimate = estimates[server.number]
            if server.reported_s > estimate.reported_s:
                estimate.reported_requests = server.reported_requests
                estimate.reported_s = server.reported_s
            rank = policy.rank(server, estimate, now_s, rng)
            ranks.append((rank, number))
        if policy.passes:
            ranks.sort()
            hosts = [job.candidates[n] for _, n in ranks[: policy.passes + 1]]
            if free_server is not None:
                hosts = [free_server] + hosts[:-1]
        else:
            hosts = [job.candidates[min(ranks)[1]]]
        self.offer_number += 1
        estimates[hosts[0].number].record_offer(self.offer_number, now_s)
        if policy.hop_s:
            self.schedule(
                policy.hop_s, self.on_offer, job, hosts, self.offer_number
            )
        else:
            self.on_offer(job, hosts, self.offer_number)

    def on_offer(self, job: Job, hosts: list[Server], number: int) -> None:
        """Accept a request, pass it on or refuse it."""
        self.offers += self.now_s > WARM_UP_S
        server, *others = hosts
        limit = server.slots * (1 + QUEUE_PER_SLOT)
        is_refused = False
        if not server.idle_slots and others:
            self.schedule(HOP_S, self.on_offer, job, others, number)
        elif self.policy.passes and server.requests >= limit:
            is_refused, others = True, []
        else:
            self.accept(server, job)
            others = []
        if self.policy.hop_s:
            self.schedule(
                HOP_S,
                self.on_answer,
                job,
                number,
                server,
                server.requests,
                self.now_s,
                others,
                is_refused,
            )

    def on_answer(
        self, job, number, server, requests, sent_s, others, is_refused
    ) -> None:
        estimates = self.estimates[job.balancer]
        estimate = estimates[server.number]
        estimate.record_answer(number)
        if sent_s > estimate.reported_s:
            estimate.reported_requests = requests
            estimate.reported_s = sent_s
        if others:
            next_estimate = estimates[others[0].number]
            next_estimate.record_offer(number, self.now_s)
        if is_refused:
            self.waiting += 1
            pending = self.pending[job.balancer]
            pending[job] = None
            for candidate in job.candidates[: MAX_PASSES + 1]:
                self.schedule(HOP_S, self.on_slot_request, candidate, job)
            self.schedule(RETRY_INTERVAL_S, self.retry, job, None)

    def on_slot_request(self, server: Server, job: Job) -> None:
        server.asking_balancers[job.balancer] = None

    def on_free_slot(self, balancer: int, server: Server) -> None:
        for job in self.pending[balancer]:
            self.retry(job, server)
            return

    def retry(self, job: Job, free_server: Server | None) -> None:
        if job in self.pending[job.balancer]:
            del self.pending[job.balancer][job]
            self.waiting -= 1
            self.offer(job, free_server)

    def accept(self, server: Server, job: Job) -> None:
        server.requests += 1
        if server.requests <= server.slots:
            self.idle -= 1
            self.start(server, job)
        else:
            self.count_queue(server)
            self.waiting += 1
            server.queue.append(job)

    def start(self, server: Server, job: Job) -> None:
        service_s = server.service_s * job.work
        if self.now_s > WARM_UP_S:
            wait_s = self.now_s - job.started_s
            self.waits_s.append(wait_s)
            self.delays_s.append(wait_s + service_s)
        self.schedule(service_s, self.on_end, server, job)

    def on_end(self, server: Server, job: Job) -> None:
        server.requests -= 1
        if job.following:
            pause_s = self.rng.expovariate(1 / PAUSE_S)
            self.schedule(pause_s, self.on_next_request, job, server)
        if server.queue:
            self.count_queue(server)
            self.waiting -= 1
            self.start(server, server.queue.pop(0))
            return
        self.idle += 1
        if server.asking_balancers:
            balancer = next(iter(server.asking_balancers))
            del server.asking_balancers[balancer]
            self.schedule(HOP_S, self.on_free_slot, balancer, server)
