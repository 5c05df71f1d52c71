"""Decides where a balancer ranks endpoints that fail requests.

Load pattern: some endpoints are well but for failing a part of their requests,
while the others can serve these. If many fail, the fault is in the service or
its callers, and all endpoints are needed.
"""

import dataclasses
import random
import typing

from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics

# At most this fraction of a flow's candidates is ranked last.
MAX_FAILING_FRACTION = 1 / 3
# A balancer sends an endpoint at most one trial opening in this time.
TRIAL_INTERVAL_S = 1.0
# Fraction of the openings with a failing candidate that try it. An endpoint
# gets about a tenth of the openings of which it is one of ten candidates, so
# trials are a fifth of its usual openings, whatever the number of balancers.
TRIAL_FRACTION = 0.02
# Agents report changes to balancers from which they have heard within 3 s, so
# a balancer may miss the recovery of an endpoint that it leaves alone. After
# this time without a report it no longer takes the endpoint for failing.
FAILING_REPORT_AGE_S = 6.0
# Bound of the remembered trials. Those that are due again are forgotten
# first, then all.
MAX_TRIALS = 1_024
# Rank classes of the host of a trial opening and of a failing one. That of a
# host without capacity is the highest one below ``FAILING_CLASS``.
TRIAL_CLASS = -1
FAILING_CLASS = 3

TRIAL_OPENINGS = metrics.declare(
    "stream.trial_openings",
    "counter",
    "openings",
    "Openings offered first to an endpoint that fails requests.",
)
FAILING_IGNORED = metrics.declare(
    "stream.failing_ignored",
    "counter",
    "rankings",
    "Rankings that ignored failing endpoints, as too many candidates fail.",
)

_log = logs.get("failing_hosts")


class ReportedState(typing.Protocol):
    """What the latest report of an agent tells."""

    state: str
    reported_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Hosts to rank last, and one to try first ("" for none).

    ``ignored_hosts`` fail requests and are ranked like the others, because
    too many fail.
    """

    last_hosts: frozenset[str] = frozenset()
    trial_host: str = ""
    ignored_hosts: frozenset[str] = frozenset()

    def rank_class(self, host: str, rank_class: int) -> int:
        """Return a host's class, given its class by load and state.

        A trial needs a free slot (class 0): an agent without one would pass
        the opening on.
        """
        if host == self.trial_host and rank_class == 0:
            return TRIAL_CLASS
        if host in self.last_hosts:
            return max(rank_class, FAILING_CLASS)
        return rank_class


NONE_FAILING = Choice()


def choice_without_trial(
    state_by_host: typing.Mapping[str, ReportedState], now_s: float
) -> Choice:
    """Return how a flow's candidates are ranked if none of them is tried."""
    failing_hosts = frozenset(
        host
        for host, load in state_by_host.items()
        if load.state == "failing"
        and now_s - load.reported_s < FAILING_REPORT_AGE_S
    )
    if not failing_hosts:
        return NONE_FAILING
    if len(failing_hosts) > MAX_FAILING_FRACTION * len(state_by_host):
        return Choice(ignored_hosts=failing_hosts)
    return Choice(failing_hosts)


class FailingHostsWithoutTrials:
    """Chooses like ``FailingHosts``, but begins no trial and keeps nothing."""

    def choose(
        self,
        state_by_host: typing.Mapping[str, ReportedState],
        may_try: bool,
        now_s: float,
    ) -> Choice:
        """Return how the candidates of one opening are ranked."""
        return choice_without_trial(state_by_host, now_s)


class FailingHosts:
    """Chooses among a flow's candidates; the cost is O(candidates).

    ``count(metric)`` counts a decision.
    """

    def __init__(
        self,
        random_source: random.Random,
        count: typing.Callable[[str], None],
    ):
        self._random = random_source
        self._count = count
        self._trial_s_by_host: dict[str, float] = {}

    def choose(
        self,
        state_by_host: typing.Mapping[str, ReportedState],
        may_try: bool,
        now_s: float,
    ) -> Choice:
        """Return how the candidates of one opening are ranked.

        ``may_try`` is true if the opening may be lost and retried by its
        caller, as requests of idempotent routes are.
        """
        choice = choice_without_trial(state_by_host, now_s)
        if choice.ignored_hosts:
            self._count(FAILING_IGNORED)
            _log.warn_throttled(
                "too many failing",
                "too many endpoints fail requests; all are used",
                failing=len(choice.ignored_hosts),
                candidates=len(state_by_host),
            )
        if not choice.last_hosts or not may_try:
            return choice
        trial_host = ""
        if self._random.random() < TRIAL_FRACTION * len(choice.last_hosts):
            # In the order of the candidates, so that runs can be repeated.
            failing_hosts = [
                host for host in state_by_host if host in choice.last_hosts
            ]
            trial_host = self._take_trial(failing_hosts, now_s)
        return Choice(choice.last_hosts, trial_host)

    def _take_trial(self, hosts: list[str], now_s: float) -> str:
        """Return one of the hosts that is due for a trial, or ""."""
        trials = self._trial_s_by_host
        due_s = now_s - TRIAL_INTERVAL_S
        due_hosts = [
            host for host in hosts if trials.get(host, due_s) <= due_s
        ]
        if not due_hosts:
            return ""
        if len(trials) >= MAX_TRIALS:
            recent = {host: at for host, at in trials.items() if at > due_s}
            trials.clear()
            trials.update(recent if len(recent) < MAX_TRIALS else {})
        host = self._random.choice(due_hosts)
        trials[host] = now_s
        self._count(TRIAL_OPENINGS)
        return host
