"""Queueing models that serve as baselines of benches."""

import collections.abc
import dataclasses
import heapq
import random
import typing


@dataclasses.dataclass(frozen=True)
class Job:
    """A request: its arrival time, and its work at speed 1, in seconds."""

    arrives_s: float
    work_s: float


@dataclasses.dataclass
class Server:
    """An endpoint with slots of equal speed and a queue."""

    speed: float
    slots: int
    running: int = 0
    busy_s: float = 0.0
    queue: list[Job] = dataclasses.field(default_factory=list)

    def load(self) -> float:
        """Return the running and queued jobs divided by the slots."""
        return (self.running + len(self.queue)) / self.slots


@dataclasses.dataclass
class Measured:
    """Delay of each job in seconds, and utilisation of each server."""

    delays_s: list[float]
    utilisation: list[float]

    def imbalance(self) -> float:
        """Return the highest utilisation divided by the mean."""
        mean = sum(self.utilisation) / len(self.utilisation)
        return max(self.utilisation) / mean

    def p99_s(self) -> float:
        """Return the 99th percentile of the delays in seconds."""
        ordered = sorted(self.delays_s)
        return ordered[int(0.99 * (len(ordered) - 1))]


Choose = typing.Callable[[list[Server], float], Server | None]


def jobs(
    rate: float, length_s: float, mean_work_s: float, rng: random.Random
) -> list[Job]:
    """Return Poisson arrivals with exponentially distributed work.

    ``rate`` is in jobs a second.
    """
    made = []
    now = rng.expovariate(rate)
    while now < length_s:
        made.append(Job(now, rng.expovariate(1 / mean_work_s)))
        now += rng.expovariate(rate)
    return made


def simulate(
    arrivals: collections.abc.Iterable[Job],
    servers: list[Server],
    choose: Choose,
) -> Measured:
    """Simulate the service of all jobs.

    ``choose`` returns the server for a job, or ``None`` to put it into the
    central queue.
    """
    central: collections.deque[Job] = collections.deque()
    events: list[tuple[float, int, Job | None, Server | None]] = [
        (job.arrives_s, number, job, None)
        for number, job in enumerate(arrivals)
    ]
    heapq.heapify(events)
    number = len(events)
    delays: list[float] = []
    end_s = 0.0

    def begin(server: Server, job: Job, now: float) -> None:
        nonlocal number
        number += 1
        took_s = job.work_s / server.speed
        server.running += 1
        server.busy_s += took_s
        delays.append(now + took_s - job.arrives_s)
        heapq.heappush(events, (now + took_s, number, None, server))

    while events:
        now, _, job, server = heapq.heappop(events)
        end_s = now
        if server is not None:
            server.running -= 1
            if server.queue:
                begin(server, server.queue.pop(0), now)
            elif central:
                begin(server, central.popleft(), now)
            continue
        chosen = choose(servers, now)
        if chosen is None:
            central.append(job)
        elif chosen.running < chosen.slots:
            begin(chosen, job, now)
        else:
            chosen.queue.append(job)
    return Measured(
        delays, [item.busy_s / item.slots / end_s for item in servers]
    )


def join_idle_queue(rng: random.Random) -> Choose:
    """Return the ideal policy, with one central queue.

    It picks a random idle slot, and queues the job when there is none.
    """

    def choose(servers: list[Server], now: float) -> Server | None:
        idle = [s for s in servers for _ in range(s.slots - s.running)]
        return rng.choice(idle) if idle else None

    return choose


def weighted_random(rng: random.Random) -> Choose:
    """Return a policy that picks at random, in proportion to capacity."""

    def choose(servers: list[Server], now: float) -> Server | None:
        weights = [item.speed * item.slots for item in servers]
        return rng.choices(servers, weights)[0]

    return choose


def least_loaded_reports(rng: random.Random, age_s: float) -> Choose:
    """Return a policy that picks the least load in reports ``age_s`` old.

    All loads are read at once, when the reports are ``age_s`` seconds old.
    """
    loads: list[float] = []
    next_s = 0.0

    def choose(servers: list[Server], now: float) -> Server | None:
        nonlocal loads, next_s
        if now >= next_s:
            loads = [item.load() for item in servers]
            next_s = now + age_s
        least = min(loads)
        best = [
            server
            for server, load in zip(servers, loads, strict=True)
            if load == least
        ]
        return rng.choice(best)

    return choose
