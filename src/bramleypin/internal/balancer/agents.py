"""What a balancer knows about agents beyond the view.

This is soft state: incarnations learned from frames, and suspicions after
silence. ``epoch`` grows whenever a cached flow may have become wrong.
"""

import dataclasses

import anyio

from bramleypin.internal import address

SUSPECT_S = 5.0
# More than twice the agents of the largest fleet in the design.
AGENTS_KEPT = 16_384


@dataclasses.dataclass(slots=True)
class Agent:
    """One agent; ``incarnation`` is 0 until it is known."""

    address: address.Address
    incarnation: int = 0
    suspect_until_s: float = 0.0
    answered_s: float = 0.0


class Agents:
    """Agents by data address, of which a bounded number is kept."""

    def __init__(self) -> None:
        self.epoch = 1
        self._agent_by_address: dict[address.Address, Agent] = {}

    def get(self, at: address.Address) -> Agent:
        """Return the record of an agent, which is made when missing."""
        agent = self._agent_by_address.get(at)
        if agent is None:
            if len(self._agent_by_address) >= AGENTS_KEPT:
                oldest = next(iter(self._agent_by_address))
                del self._agent_by_address[oldest]
            agent = Agent(address.Address(*at))
            self._agent_by_address[agent.address] = agent
        return agent

    def incarnation(self, at: address.Address) -> int:
        """Return an agent's incarnation, or 0 when it is not known."""
        agent = self._agent_by_address.get(at)
        return 0 if agent is None else agent.incarnation

    def learn(self, at: address.Address, incarnation: int) -> None:
        """Note that an agent has sent a frame under an incarnation."""
        agent = self.get(at)
        agent.answered_s = anyio.current_time()
        if agent.incarnation != incarnation:
            self.epoch += agent.incarnation != 0
            agent.incarnation = incarnation
        if agent.suspect_until_s:
            agent.suspect_until_s = 0.0

    def suspect(self, at: address.Address) -> None:
        """Skip an agent in openings for the next 5 s."""
        agent = self.get(at)
        agent.suspect_until_s = anyio.current_time() + SUSPECT_S
        self.epoch += 1

    def is_suspect(self, at: address.Address) -> bool:
        """Tell whether an agent is being skipped."""
        agent = self._agent_by_address.get(at)
        if agent is None or not agent.suspect_until_s:
            return False
        return anyio.current_time() < agent.suspect_until_s

    def suspects(self) -> list[str]:
        """Return the addresses of the agents that are being skipped."""
        return [
            str(at) for at in self._agent_by_address if self.is_suspect(at)
        ]
