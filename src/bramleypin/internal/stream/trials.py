"""Tries a flow's packet at the agents that cannot rule out holding the flow.

An agent that has restarted does not know its endpoint's flows; only the
endpoint does, and it returns packets of flows that it does not hold.
"""

import dataclasses
import typing

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import guard
from bramleypin.internal.stream import owners
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import ticker

# An endpoint returns a packet within 1 ms, unless its machine is busy. The
# rest allows for a round trip between failure domains.
BOUNCE_TIMEOUT_S = 0.06
TICK_INTERVAL_S = 0.01
# A flow breaks if three of its packets reach wrong endpoints, and none its
# own, within 2 s. An agent whose endpoint returned a packet rules the flow out
# from then on, so this many agents get two packets, whoever tries them.
MAX_UNCERTAIN_HOSTS = 2

TRIALS_STARTED = metrics.declare(
    "stream.trials_started",
    "counter",
    "flows",
    "Flows whose packet was tried at agents that had restarted.",
)
TRIALS_FAILED = metrics.declare(
    "stream.trials_failed",
    "counter",
    "flows",
    "Flows that none of the endpoints tried held.",
)

_log = logs.get("trials")


@dataclasses.dataclass(slots=True)
class Trial:
    """A trial in progress.

    ``pending_hosts`` have not returned the packet, ``remaining_hosts`` are
    tried next. ``waiting_packets`` are sent once the owner is known; the first
    one is the one that is tried.
    """

    search: owners.OwnerSearch
    pending_hosts: list[str]
    remaining_hosts: list[str]
    waiting_packets: list[segment.Segment]
    deadline_s: float = 0.0

    @property
    def tried_packet(self) -> segment.Segment:
        """The packet that the endpoints get."""
        return self.waiting_packets[0]

    def includes(self, packet: segment.Segment) -> bool:
        """Return whether a caller's packet is of the flow that is tried."""
        return segment.are_near(packet.sequence, self.tried_packet.sequence)


@kernel_module.service(
    "trials",
    roles=("stream_balancer",),
    needs=("view", "peer_port", "metrics"),
)
class Trials(kernel_module.Service):
    """Manages the trials in progress.

    The balancer sets the callbacks ``on_held(trial, host)`` and
    ``on_held_nowhere(trial)``.
    """

    on_held: typing.Callable[[Trial, str], None]
    on_held_nowhere: typing.Callable[[Trial], None]

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.trial_by_flow: dict[segment.Flow, Trial] = {}
        self._view_manager = kernel.get("view")
        self._peers = kernel.get("peer_port")
        self._metrics = kernel.get("metrics")
        self._ticker = ticker.Ticker(TICK_INTERVAL_S)

    def begin(self, search: owners.OwnerSearch) -> bool:
        """Try a search's first packet at the agents that may hold the flow.

        Returns false, without trying any agent, if wrong endpoints could get
        too many packets. This balancer cannot count them, since other ones may
        try the same flow.

        The flow's candidates come first, since nearly all flows are opened
        there; after a restart of all agents, the packet otherwise reaches
        every endpoint.
        """
        if not self._may_try(search):
            return False
        possible_hosts = search.possible_hosts
        candidates = search.candidate_hosts
        hosts = [host for host in possible_hosts if host in candidates]
        remaining_hosts = [
            host for host in possible_hosts if host not in candidates
        ]
        self._metrics.count(TRIALS_STARTED)
        trial = Trial(search, [], remaining_hosts, search.waiting_packets)
        self.trial_by_flow[search.flow] = trial
        if hosts:
            self._try(trial, hosts)
        else:
            self._try_remaining(trial)
        return True

    def _may_try(self, search: owners.OwnerSearch) -> bool:
        """Return whether the owner is among the agents that may hold the flow.

        An agent that has not answered may be the owner's, and a newer view may
        name an endpoint that was not asked. In a fleet with more agents than
        one search asks, only a few may be tried.
        """
        if search.newest > self._view_manager.view.stamp:
            return False
        if search.settled:
            return True
        few_possible = len(search.possible_hosts) <= MAX_UNCERTAIN_HOSTS
        return search.all_answered and few_possible

    def _try(self, trial: Trial, hosts: list[str]) -> None:
        trial.pending_hosts += hosts
        trial.deadline_s = anyio.current_time() + BOUNCE_TIMEOUT_S
        message = frames.Data(confirmed=False)
        for host in hosts:
            self._peers.send(host, message, trial.tried_packet.raw)
        self._ticker.wake()

    def _try_remaining(self, trial: Trial) -> None:
        hosts, trial.remaining_hosts = trial.remaining_hosts, []
        self._try(trial, hosts)

    def record_not_held(self, trial: Trial, host: str) -> None:
        """Record that a host's endpoint returned the packet."""
        if host in trial.pending_hosts:
            trial.pending_hosts.remove(host)
        if not trial.pending_hosts:
            self._complete(trial)

    def _complete(self, trial: Trial) -> None:
        if trial.remaining_hosts:
            # An endpoint that has not answered in time may be a slow one.
            self._try_remaining(trial)
            return
        self.trial_by_flow.pop(trial.search.flow, None)
        if len(trial.pending_hosts) == 1:
            self.on_held(trial, trial.pending_hosts[0])
            return
        if trial.pending_hosts:
            self._send_on_to_all(trial)
            return
        self._metrics.count(TRIALS_FAILED)
        _log.info(
            "none of the endpoints tried holds the flow",
            flow=str(trial.search.flow),
            tried=len(trial.search.possible_hosts),
        )
        self.on_held_nowhere(trial)

    def _send_on_to_all(self, trial: Trial) -> None:
        """Send a flow's other packets to all endpoints that kept the first.

        One of them holds the flow. Others may be away, or keep packets without
        data of an earlier flow, so none is taken for the owner: the next
        packet is searched for again.
        """
        message = frames.Data(confirmed=False)
        for packet in trial.waiting_packets[1:]:
            for host in trial.pending_hosts:
                self._peers.send(host, message, packet.raw)

    async def run(self) -> None:
        """Complete trials whose packet was not returned in time."""
        while True:
            await self._ticker.wait(self.trial_by_flow)
            now_s = anyio.current_time()
            for trial in list(self.trial_by_flow.values()):
                if trial.deadline_s <= now_s:
                    guard.call(self._metrics, self._complete, trial)
