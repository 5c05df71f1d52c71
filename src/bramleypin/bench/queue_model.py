"""Queueing models that serve as baselines of benches."""

import collections.abc
import dataclasses
import heapq
import random
import typing


@dataclasses.dataclass(frozen=True)
class Job:
    """A request; ``work_s`` is its service time on a server of speed 1."""

    arrival_s: float
    work_s: float


@dataclasses.dataclass
class Server:
    """An endpoint with slots of equal speed and a queue."""

    speed: float
    slots: int
    running_jobs: int = 0
    busy_s: float = 0.0
    queue: list[Job] = dataclasses.field(default_factory=list)

    def load(self) -> float:
        """Return the running and queued jobs divided by the slots."""
        return (self.running_jobs + len(self.queue)) / self.slots


@dataclasses.dataclass
class Measurement:
    """Delay of each job in seconds, and utilisation of each server."""

    delays_s: list[float]
    utilisation: list[float]

    def imbalance(self) -> float:
        """Return the highest utilisation divided by the mean."""
        mean = sum(self.utilisation) / len(self.utilisation)
        return max(self.utilisation) / mean

    def p99_s(self) -> float:
        """Return the 99th percentile of the delays in seconds."""
        sorted_delays_s = sorted(self.delays_s)
        return sorted_delays_s[int(0.99 * (len(sorted_delays_s) - 1))]


# Selects a server for a job that arrives at a time in seconds, or returns
# ``None`` to put the job into the central queue.
Policy = typing.Callable[[list[Server], float], Server | None]


def poisson_jobs(
    jobs_per_s: float,
    duration_s: float,
    mean_work_s: float,
    rng: random.Random,
) -> list[Job]:
    """Return Poisson arrivals with exponentially distributed work.

    ``mean_work_s`` is the mean work of a job in seconds at speed 1.
    """
    arrivals = []
    now_s = rng.expovariate(jobs_per_s)
    while now_s < duration_s:
        arrivals.append(Job(now_s, rng.expovariate(1 / mean_work_s)))
        now_s += rng.expovariate(jobs_per_s)
    return arrivals


def simulate(
    arrivals: collections.abc.Iterable[Job],
    servers: list[Server],
    policy: Policy,
) -> Measurement:
    """Simulate the service of all jobs, on servers that ``policy`` selects."""
    central_queue: collections.deque[Job] = collections.deque()
    # Time, sequence number for ties, and either the job that arrives or the
    # server that completes a job.
    events: list[tuple[float, int, Job | None, Server | None]] = [
        (job.arrival_s, sequence, job, None)
        for sequence, job in enumerate(arrivals)
    ]
    heapq.heapify(events)
    sequence = len(events)
    delays_s: list[float] = []
    end_s = 0.0

    def start_job(server: Server, job: Job, now_s: float) -> None:
        nonlocal sequence
        sequence += 1
        service_time_s = job.work_s / server.speed
        server.running_jobs += 1
        server.busy_s += service_time_s
        delays_s.append(now_s + service_time_s - job.arrival_s)
        heapq.heappush(
            events, (now_s + service_time_s, sequence, None, server)
        )

    while events:
        now_s, _, job, server = heapq.heappop(events)
        end_s = now_s
        if server is not None:
            server.running_jobs -= 1
            if server.queue:
                start_job(server, server.queue.pop(0), now_s)
            elif central_queue:
                start_job(server, central_queue.popleft(), now_s)
            continue
        chosen_server = policy(servers, now_s)
        if chosen_server is None:
            central_queue.append(job)
        elif chosen_server.running_jobs < chosen_server.slots:
            start_job(chosen_server, job, now_s)
        else:
            chosen_server.queue.append(job)
    return Measurement(
        delays_s, [server.busy_s / server.slots / end_s for server in servers]
    )


def join_idle_queue(rng: random.Random) -> Policy:
    """Return the ideal policy, with one central queue.

    It picks a server by a random idle slot. Without an idle slot, the job
    waits in the central queue.
    """

    def choose(servers: list[Server], now_s: float) -> Server | None:
        idle_slots = [
            server
            for server in servers
            for _ in range(server.slots - server.running_jobs)
        ]
        return rng.choice(idle_slots) if idle_slots else None

    return choose


def weighted_random(rng: random.Random) -> Policy:
    """Return a policy that picks at random, in proportion to capacity."""

    def choose(servers: list[Server], now_s: float) -> Server | None:
        weights = [server.speed * server.slots for server in servers]
        return rng.choices(servers, weights)[0]

    return choose


def least_loaded_reports(rng: random.Random, age_s: float) -> Policy:
    """Return a policy that picks the least loaded server in the last reports.

    An arrival renews the reports of all servers when they are at least
    ``age_s`` seconds old.
    """
    loads: list[float] = []
    next_report_s = 0.0

    def choose(servers: list[Server], now_s: float) -> Server | None:
        nonlocal loads, next_report_s
        if now_s >= next_report_s:
            loads = [server.load() for server in servers]
            next_report_s = now_s + age_s
        lowest_load = min(loads)
        least_loaded_servers = [
            server
            for server, load in zip(servers, loads, strict=True)
            if load == lowest_load
        ]
        return rng.choice(least_loaded_servers)

    return choose
