"""Finds the agent that holds a flow by asking all agents of its service."""

import dataclasses
import typing

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import ticker

# Covers a round trip between failure domains and the delay of a busy agent.
ANSWER_TIMEOUT_S = 0.04
TICK_S = 0.01
MAX_WAITING = 16
# Packets of a flow without an owner start a new search only after this time.
# It is shorter than the callers' retransmission timeout of 0.2 s.
UNKNOWN_S = 0.15
MAX_UNKNOWN = 10_000

FOUND = metrics.declare(
    "stream.lookups_found", "counter", "flows", "Searches with an owner."
)
LOST = metrics.declare(
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
class Search:
    """A search in progress.

    ``asked`` and ``answered`` are numbers of agents. ``opening`` is the copy
    of the opening packet that started the search, if any, and ``waiting``
    are the flow's other packets. ``maybe_hosts`` answered that they may hold
    the flow.
    """

    number: int
    flow: segment.Flow
    due_s: float
    asked: int
    opening: segment.Segment | None
    waiting: list[segment.Segment]
    maybe_hosts: list[str] = dataclasses.field(default_factory=list)
    answered: int = 0


Found = typing.Callable[[Search, str, list[str]], None]
Lost = typing.Callable[[Search], None]


@kernel_module.service(
    "owners",
    roles=("stream_balancer",),
    needs=("view", "peer_port", "metrics"),
)
class Owners(kernel_module.Service):
    """Finds the owners of flows that this balancer does not know.

    The balancer sets the callbacks ``on_found(search, host, others)`` and
    ``on_lost(search)``. ``others`` are the hosts to try if ``host`` does not
    hold the flow.
    """

    on_found: Found
    on_lost: Lost

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.search_by_flow: dict[segment.Flow, Search] = {}
        self._search_by_number: dict[int, Search] = {}
        self._unknown_until_by_flow: dict[segment.Flow, float] = {}
        self._number = kernel.environment.random.getrandbits(31)
        self._keeper = kernel.get("view")
        self._peers = kernel.get("peer_port")
        self._metrics = kernel.get("metrics")
        self._ticker = ticker.Ticker(TICK_S)
        self._peers.on(frames.Holder, self._on_holder)

    def search(self, packet: segment.Segment) -> None:
        """Start a search for a packet's flow, or add the packet to one."""
        flow = packet.flow_from_caller()
        known = self.search_by_flow.get(flow)
        if known is not None:
            if packet.opening:
                known.opening = packet
            elif len(known.waiting) < MAX_WAITING:
                known.waiting.append(packet)
            return
        now_s = anyio.current_time()
        if self._unknown_until_by_flow.get(flow, now_s) > now_s:
            return
        hosts = self._hosts(packet.destination)
        self._number = (self._number + 1) & 0x7FFFFFFF
        search = Search(
            number=self._number,
            flow=flow,
            due_s=now_s + ANSWER_TIMEOUT_S,
            asked=len(hosts),
            opening=packet if packet.opening else None,
            waiting=[] if packet.opening else [packet],
        )
        self.search_by_flow[flow] = search
        self._search_by_number[search.number] = search
        message = frames.Lookup(search.number, flow, packet.acknowledged)
        for host in hosts:
            self._peers.send(host, message)
        self._ticker.wake()

    def _hosts(self, destination: tuple[int, int]) -> list[str]:
        services = self._keeper.services_of(destination)
        hosts: dict[str, None] = {}
        for endpoint in self._keeper.view.endpoint_by_id.values():
            if endpoint.service in services:
                hosts[endpoint.host] = None
        return list(hosts)

    def _on_holder(self, message: frames.Holder, _: bytes, host: str) -> None:
        search = self._search_by_number.get(message.lookup)
        if search is None:
            return
        search.answered += 1
        if message.answer == "holds":
            self._end(search)
            self._metrics.count(FOUND)
            self.on_found(search, host, [])
            return
        if message.answer == "maybe":
            search.maybe_hosts.append(host)
        if search.answered >= search.asked:
            self._conclude(search)

    def _conclude(self, search: Search) -> None:
        self._end(search)
        if search.maybe_hosts and search.waiting:
            first, *others = search.maybe_hosts
            self.on_found(search, first, others)
            return
        self._metrics.count(LOST)
        if len(self._unknown_until_by_flow) >= MAX_UNKNOWN:
            self._unknown_until_by_flow.clear()
        until_s = anyio.current_time() + UNKNOWN_S
        self._unknown_until_by_flow[search.flow] = until_s
        _log.info(
            "no agent holds the flow",
            flow=str(search.flow),
            asked=search.asked,
            answered=search.answered,
            revision=self._keeper.view.revision,
        )
        self.on_lost(search)

    def _end(self, search: Search) -> None:
        started_s = search.due_s - ANSWER_TIMEOUT_S
        self._metrics.observe(LOOKUP_TIME, anyio.current_time() - started_s)
        self.search_by_flow.pop(search.flow, None)
        self._search_by_number.pop(search.number, None)

    async def run(self) -> None:
        """Complete searches whose agents did not all answer in time."""
        while True:
            await self._ticker.wait(self.search_by_flow)
            now_s = anyio.current_time()
            for search in list(self.search_by_flow.values()):
                if search.due_s <= now_s:
                    self._conclude(search)
