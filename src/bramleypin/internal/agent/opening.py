"""The home's decision: which endpoint gets a new flow.

The home of a flow is the first eligible live candidate in rendezvous order.
It keeps its decision, so that a second balancer gets the same one.
"""

import collections
import dataclasses
import random as random_module

import anyio

from bramleypin.internal import address
from bramleypin.internal.agent import flow as flow_module
from bramleypin.internal.wire import frames

DECISION_LIFETIME_S = 30.0
DECISIONS_LIMIT = 65_536

# Two balancers that open a flow from copies of one datagram do so within
# this time.
CONCURRENT_S = 1.0

_ADMITTING = (frames.State.READY, frames.State.COLD)


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The agent that a flow goes to, and until when that holds."""

    chosen: frames.Candidate
    until_s: float


def admits(candidate: frames.Candidate) -> bool:
    """Tell whether a candidate takes new flows.

    A cold endpoint with no slot left is passed over, because a flow that
    waits there meets the slow service of a cold endpoint.
    """
    if candidate.state is frames.State.COLD:
        return candidate.load < 1
    return candidate.state in _ADMITTING


class Decisions:
    """The decisions of this home."""

    def __init__(self, random: random_module.Random):
        self._random = random
        self._decision_by_key: collections.OrderedDict[
            flow_module.Key, Decision
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._decision_by_key)

    def get(
        self,
        key: flow_module.Key,
        candidates: tuple[frames.Candidate, ...] = (),
    ) -> frames.Candidate | None:
        """Return the agent chosen for a flow within the last 30 s.

        With ``candidates``, the decision holds only while the agent is among
        them and, after the time in which several balancers may open the flow
        at once, while it admits.
        """
        decision = self._decision_by_key.get(key)
        now = anyio.current_time()
        if decision is None or decision.until_s < now:
            return None
        if not candidates:
            return decision.chosen
        recent = now < decision.until_s - DECISION_LIFETIME_S + CONCURRENT_S
        for item in candidates:
            if item.data == decision.chosen.data:
                return item if recent or admits(item) else None
        return None

    def decide(
        self,
        key: flow_module.Key,
        candidates: tuple[frames.Candidate, ...],
    ) -> frames.Candidate | None:
        """Choose the least loaded admitting candidate, or ``None``."""
        admitting = [item for item in candidates if admits(item)]
        if not admitting:
            return None
        least = min(item.load for item in admitting)
        chosen = self._random.choice(
            [item for item in admitting if item.load == least]
        )
        self._store(key, chosen)
        return chosen

    def _store(self, key: flow_module.Key, chosen: frames.Candidate) -> None:
        now = anyio.current_time()
        table = self._decision_by_key
        table.pop(key, None)
        table[key] = Decision(chosen, now + DECISION_LIFETIME_S)
        while table:
            oldest = next(iter(table.values()))
            if len(table) <= DECISIONS_LIMIT and oldest.until_s >= now:
                return
            table.popitem(last=False)

    def forget_agent(self, data: address.Address) -> None:
        """Drop the decisions for an agent that has restarted or left."""
        for key, decision in list(self._decision_by_key.items()):
            if decision.chosen.data == data:
                del self._decision_by_key[key]
