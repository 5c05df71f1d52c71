"""Placement of new flows by the home agent.

The home of a flow is the first eligible live candidate in rendezvous order.
It selects the endpoint for the flow and remembers the choice, so that a
second balancer that opens the same flow gets the same endpoint.
"""

import collections
import dataclasses
import random as random_module

import anyio

from bramleypin.internal import address
from bramleypin.internal.agent import flow as flow_module
from bramleypin.internal.wire import frames

PLACEMENT_LIFETIME_S = 30.0
MAX_PLACEMENTS = 65_536

# Two balancers that receive copies of the same datagram open its flow within
# this time of each other.
CONCURRENT_OPEN_S = 1.0

_ACCEPTING_STATES = (frames.State.READY, frames.State.COLD)


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The agent selected for a flow, valid until ``expires_s``."""

    chosen: frames.Candidate
    expires_s: float


def accepts_new_flows(candidate: frames.Candidate) -> bool:
    """Return whether a candidate accepts new flows.

    A cold endpoint without a free slot does not, because a request queued
    there would wait for the slow service of a cold endpoint.
    """
    if candidate.state is frames.State.COLD:
        return candidate.load < 1
    return candidate.state in _ACCEPTING_STATES


class Placements:
    """The flow placements that this agent made as home agent."""

    def __init__(self, random: random_module.Random):
        self._random = random
        self._placement_by_key: collections.OrderedDict[
            flow_module.FlowKey, Placement
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._placement_by_key)

    def get(
        self,
        key: flow_module.FlowKey,
        candidates: tuple[frames.Candidate, ...] = (),
    ) -> frames.Candidate | None:
        """Return the agent selected for a flow within the last 30 s.

        If ``candidates`` are given, the agent must be one of them. Once
        ``CONCURRENT_OPEN_S`` has passed since the selection, so that no other
        balancer is opening the flow at the same time, it must also accept new
        flows.
        """
        placement = self._placement_by_key.get(key)
        now = anyio.current_time()
        if placement is None or placement.expires_s < now:
            return None
        if not candidates:
            return placement.chosen
        is_concurrent = (
            now
            < placement.expires_s - PLACEMENT_LIFETIME_S + CONCURRENT_OPEN_S
        )
        for item in candidates:
            if item.data == placement.chosen.data:
                return (
                    item if is_concurrent or accepts_new_flows(item) else None
                )
        return None

    def place(
        self,
        key: flow_module.FlowKey,
        candidates: tuple[frames.Candidate, ...],
    ) -> frames.Candidate | None:
        """Select and store the least loaded accepting candidate, if any."""
        accepting = [item for item in candidates if accepts_new_flows(item)]
        if not accepting:
            return None
        lowest_load = min(item.load for item in accepting)
        chosen = self._random.choice(
            [item for item in accepting if item.load == lowest_load]
        )
        self._store(key, chosen)
        return chosen

    def _store(
        self, key: flow_module.FlowKey, chosen: frames.Candidate
    ) -> None:
        now = anyio.current_time()
        table = self._placement_by_key
        table.pop(key, None)
        table[key] = Placement(chosen, now + PLACEMENT_LIFETIME_S)
        while table:
            oldest = next(iter(table.values()))
            if len(table) <= MAX_PLACEMENTS and oldest.expires_s >= now:
                return
            table.popitem(last=False)

    def remove_agent(self, data_address: address.Address) -> None:
        """Remove placements at an agent that has restarted or left."""
        for key, placement in list(self._placement_by_key.items()):
            if placement.chosen.data == data_address:
                del self._placement_by_key[key]
