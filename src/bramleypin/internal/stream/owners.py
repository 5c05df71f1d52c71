"""Finds the agent that holds a flow by asking the agents that may hold it.

The candidates of the flow at the services that its route names are asked
first. Only if none of them holds the flow, all other agents are asked.
"""

import dataclasses
import typing

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import guard
from bramleypin.internal.stream import lookup_queue
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import ticker

# Allows for a round trip between failure domains, for a busy agent's delay and
# for the time in the queue.
ANSWER_TIMEOUT_S = 0.04 + lookup_queue.BATCH_INTERVAL_S
TICK_INTERVAL_S = 0.01
MAX_WAITING_PACKETS = 16
# Packets of a flow without an owner start a new search only after this time.
# It is shorter than the callers' retransmission timeout of 0.2 s, so that a
# retransmitted packet starts one.
RETRY_DELAY_S = 0.15
MAX_DELAYED_FLOWS = 10_000
# The deployment has just restarted if every agent that was asked, and at least
# this number of agents, started less than this time ago.
RESTART_WINDOW_S = 4.0
MIN_RESTARTED_AGENTS = 3
# Bounds the frames of one search in a large fleet. A search that leaves agents
# out never shows that a flow is lost.
MAX_ASKED_HOSTS = 200

LOOKUPS_FOUND = metrics.declare(
    "stream.lookups_found", "counter", "flows", "Searches with an owner."
)
LOOKUPS_LOST = metrics.declare(
    "stream.lookups_lost", "counter", "flows", "Searches without an owner."
)
LOOKUP_TIME = metrics.declare(
    "stream.lookup_time",
    "histogram",
    "seconds",
    "How long searches for the owner of a flow took.",
)

_log = logs.get("owners")


@dataclasses.dataclass(slots=True)
class OwnerSearch:
    """A search in progress.

    ``asked_hosts`` are the agents that were asked, ``candidate_hosts`` those
    among them that the flow's candidates name, ``answered_hosts`` those that
    have answered. ``asked_all`` is true once all endpoints of the view
    were asked. ``opening`` is the flow's latest opening packet, if any
    arrived, and ``waiting_packets`` are its other packets. The agents in
    ``possible_hosts`` cannot rule out that they hold the flow.
    ``caller_position``, ``acknowledged`` and ``opening_sequence`` are those of
    the first packet.
    ``newest`` is the highest era and revision of the answering agents' views,
    ``longest_uptime_s`` the time since the first of these agents started.
    """

    number: int
    flow: segment.Flow
    started_s: float
    deadline_s: float
    asked_hosts: dict[str, None]
    opening: segment.Segment | None
    waiting_packets: list[segment.Segment]
    candidate_hosts: frozenset[str] = frozenset()
    possible_hosts: list[str] = dataclasses.field(default_factory=list)
    answered_hosts: set[str] = dataclasses.field(default_factory=set)
    newest: tuple[int, int] = frames.NO_STAMP
    longest_uptime_s: float = 0.0
    caller_position: int = 0
    acknowledged: int = 0
    opening_sequence: int = -1
    asked_all: bool = False

    @property
    def settled(self) -> bool:
        """Whether all agents that may hold the flow have answered."""
        return self.asked_all and self.all_answered

    @property
    def finds_restart(self) -> bool:
        """Whether all agents have just restarted and lost their flows.

        One that was restarted as planned has not lost them. The agents of a
        part of the endpoints show nothing: those of endpoints that are added
        have just started as well.
        """
        return (
            self.settled
            and len(self.answered_hosts) >= MIN_RESTARTED_AGENTS
            and self.longest_uptime_s < RESTART_WINDOW_S
        )

    @property
    def all_answered(self) -> bool:
        """Whether all agents that were asked have answered."""
        return 0 < len(self.asked_hosts) <= len(self.answered_hosts)


FoundCallback = typing.Callable[[OwnerSearch, str], None]
UnclearCallback = typing.Callable[[OwnerSearch], None]


@kernel_module.service(
    "owners",
    roles=("stream_balancer",),
    needs=("view", "peer_port", "candidates", "metrics"),
)
class OwnerLookup(kernel_module.Service):
    """Finds the owners of flows that this balancer does not know.

    The balancer sets the callbacks: ``on_found(search, host)``,
    ``on_unclear(search)`` if only ``search.possible_hosts`` may hold the flow,
    and ``on_lost(search)`` if no agent that answered holds it.
    """

    on_found: FoundCallback
    on_unclear: UnclearCallback
    on_lost: UnclearCallback

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.search_by_flow: dict[segment.Flow, OwnerSearch] = {}
        self._search_by_number: dict[int, OwnerSearch] = {}
        self._delayed_until_by_flow: dict[segment.Flow, float] = {}
        self._last_search_number = kernel.environment.random.getrandbits(31)
        self._view_manager = kernel.get("view")
        self._peers = kernel.get("peer_port")
        self._lookup_queue = lookup_queue.LookupQueue(self._peers)
        self._candidates = kernel.get("candidates")
        self._metrics = kernel.get("metrics")
        self._ticker = ticker.Ticker(TICK_INTERVAL_S)
        self._peers.set_handler(frames.LookupAnswer, self._on_lookup_answer)
        self._peers.set_handler(
            frames.LookupBatchAnswer, self._on_batch_answer
        )

    def search(self, packet: segment.Segment) -> None:
        """Start a search for a packet's flow, or add the packet to one."""
        flow = packet.flow_from_caller()
        running_search = self.search_by_flow.get(flow)
        if running_search is not None:
            if packet.opening:
                running_search.opening = packet
            elif len(running_search.waiting_packets) < MAX_WAITING_PACKETS:
                running_search.waiting_packets.append(packet)
            return
        now_s = anyio.current_time()
        if self._delayed_until_by_flow.get(flow, now_s) > now_s:
            return
        self._last_search_number = (self._last_search_number + 1) & 0x7FFFFFFF
        search = OwnerSearch(
            number=self._last_search_number,
            flow=flow,
            started_s=now_s,
            deadline_s=now_s,
            asked_hosts={},
            opening=packet if packet.opening else None,
            waiting_packets=[] if packet.opening else [packet],
            caller_position=packet.sequence,
            acknowledged=packet.acknowledged,
            opening_sequence=packet.opening_sequence,
        )
        self.search_by_flow[flow] = search
        self._search_by_number[search.number] = search
        candidate_hosts = self._candidate_hosts(packet)
        search.candidate_hosts = frozenset(candidate_hosts)
        self._ask(search, candidate_hosts)
        self._ticker.wake()

    def _ask(self, search: OwnerSearch, hosts: list[str]) -> None:
        search.deadline_s = anyio.current_time() + ANSWER_TIMEOUT_S
        search.asked_hosts |= dict.fromkeys(hosts)
        lookup = frames.Lookup(
            search.number,
            search.flow,
            search.acknowledged,
            search.opening_sequence,
        )
        self._lookup_queue.add(lookup, hosts)

    def _widen(self, search: OwnerSearch) -> bool:
        """Ask the agents that were not asked before; false if there is none.

        A flow stays where it is when its route moves to another service. A
        process that has started since does not know that service.
        """
        other_hosts = [
            host
            for host in self._view_manager.view.hosts
            if host not in search.asked_hosts
        ]
        hosts = other_hosts[: MAX_ASKED_HOSTS - len(search.asked_hosts)]
        search.asked_all = len(hosts) == len(other_hosts)
        if not hosts:
            return False
        self._ask(search, hosts)
        return True

    def _candidate_hosts(self, packet: segment.Segment) -> list[str]:
        services = self._view_manager.services_for_address(packet.destination)
        flow = packet.flow_from_caller()
        hosts: dict[str, None] = {}
        for service in sorted(services):
            hosts |= dict.fromkeys(self._candidates.to_search(service, flow))
        return list(hosts)

    def _on_lookup_answer(
        self, message: frames.LookupAnswer, _: bytes, host: str
    ) -> None:
        self._record_answer(message.lookup, message.answer, message, host)

    def _on_batch_answer(
        self, message: frames.LookupBatchAnswer, _: bytes, host: str
    ) -> None:
        for number, answer in message.answers:
            self._record_answer(number, answer, message, host)

    def _record_answer(
        self,
        number: int,
        answer: str,
        message: frames.LookupAnswer | frames.LookupBatchAnswer,
        host: str,
    ) -> None:
        search = self._search_by_number.get(number)
        if search is None or host not in search.asked_hosts:
            return
        if host in search.answered_hosts:
            # A copy of the frame; it must not count for another agent.
            return
        search.answered_hosts.add(host)
        if answer == "holds":
            self._remove(search)
            self._metrics.count(LOOKUPS_FOUND)
            self.on_found(search, host)
            return
        search.newest = max(search.newest, message.view_stamp())
        search.longest_uptime_s = max(
            search.longest_uptime_s, message.uptime_s
        )
        if answer == "maybe":
            search.possible_hosts.append(host)
        if search.all_answered:
            self._complete(search)

    def _complete(self, search: OwnerSearch) -> None:
        # A copy of an opening needs no certainty: the caller keeps the flow
        # at the endpoint whose answer it acknowledges.
        is_open = bool(search.waiting_packets)
        # Without any answer, this process or the network is overloaded, and
        # asking all agents would add to that.
        can_widen = search.answered_hosts and not search.asked_all
        if is_open and can_widen and self._widen(search):
            return
        self._remove(search)
        if search.possible_hosts and search.waiting_packets:
            self.on_unclear(search)
            return
        self._metrics.count(LOOKUPS_LOST)
        self.delay_search(search.flow)
        _log.info(
            "no agent holds the flow",
            flow=str(search.flow),
            asked=len(search.asked_hosts),
            answered=len(search.answered_hosts),
            revision=self._view_manager.view.revision,
        )
        self.on_lost(search)

    def delay_search(self, flow: segment.Flow) -> None:
        """Start no search for a flow during ``RETRY_DELAY_S``."""
        if len(self._delayed_until_by_flow) >= MAX_DELAYED_FLOWS:
            self._delayed_until_by_flow.clear()
        until_s = anyio.current_time() + RETRY_DELAY_S
        self._delayed_until_by_flow[flow] = until_s

    def _remove(self, search: OwnerSearch) -> None:
        duration_s = anyio.current_time() - search.started_s
        self._metrics.observe(LOOKUP_TIME, duration_s)
        self.search_by_flow.pop(search.flow, None)
        self._search_by_number.pop(search.number, None)

    async def run(self) -> None:
        """Complete searches whose agents did not all answer in time."""
        while True:
            await self._ticker.wait(self.search_by_flow)
            guard.call(self._metrics, self._lookup_queue.send_due)
            now_s = anyio.current_time()
            for search in list(self.search_by_flow.values()):
                if search.deadline_s <= now_s:
                    guard.call(self._metrics, self._complete, search)
