"""What a balancer knows about agents beyond the view.

This is soft state: incarnations learned from frames, and suspicions after
silence. ``epoch`` grows whenever a cached flow may have become wrong.
"""

import dataclasses

import anyio

from bramleypin.internal import address
from bramleypin.internal.wire import frames

SUSPECT_S = 5.0
# An agent that is silent for longer has most likely been replaced.
ASK_FOR_S = 60.0
# More than twice the agents of the largest fleet in the design.
AGENTS_KEPT = 16_384


@dataclasses.dataclass(slots=True)
class Agent:
    """One agent; ``incarnation`` is 0 until it is known.

    ``silent_since_s`` is when a probe first went unanswered, and 0 while the
    agent answers. ``probe`` is that probe, for asking again, and
    ``failure_domain`` where the agent is.
    """

    address: address.Address
    incarnation: int = 0
    silent_since_s: float = 0.0
    probe: frames.Probe | None = None
    failure_domain: str = ""
    refused_until_s: float = 0.0
    suspect_until_s: float = 0.0
    gone: bool = False


class Agents:
    """Agents by data address, of which a bounded number is kept."""

    def __init__(self) -> None:
        self.epoch = 1
        self._agent_by_address: dict[address.Address, Agent] = {}

    def _get(self, at: address.Address) -> Agent:
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

    def learn(self, at: address.Address, incarnation: int) -> bool:
        """Note that an agent has sent a frame under an incarnation.

        Returns whether it must have restarted.
        """
        agent = self._get(at)
        if agent.silent_since_s:
            agent.silent_since_s = 0.0
            agent.suspect_until_s = 0.0
            agent.gone = False
        if agent.incarnation == incarnation:
            return False
        restarted = agent.incarnation != 0
        agent.incarnation = incarnation
        self.epoch += restarted
        return restarted

    def suspect(
        self, at: address.Address, failure_domain: str, probe: frames.Probe
    ) -> None:
        """Skip an agent that has not answered a probe for the next 5 s."""
        agent = self._get(at)
        now = anyio.current_time()
        agent.suspect_until_s = now + SUSPECT_S
        if not agent.silent_since_s:
            agent.silent_since_s = now
            agent.probe = probe
            agent.failure_domain = failure_domain

    def refused(self, at: address.Address) -> None:
        """Note that an agent takes no flows here for the next 5 s."""
        self._get(at).refused_until_s = anyio.current_time() + SUSPECT_S
        self.epoch += 1

    def is_suspect(self, at: address.Address) -> bool:
        """Tell whether openings should not count on an agent."""
        agent = self._agent_by_address.get(at)
        if agent is None:
            return False
        now = anyio.current_time()
        return now < max(agent.suspect_until_s, agent.refused_until_s)

    def is_lost(self, at: address.Address) -> bool:
        """Tell whether cached flows at an agent should be looked for anew.

        One lost probe is no reason: an agent that is asked once a second has
        to stay silent for 5 s first.
        """
        agent = self._agent_by_address.get(at)
        if agent is None:
            return False
        return agent.gone or anyio.current_time() < agent.refused_until_s

    def silent(self) -> list[Agent]:
        """Return the agents to ask again; call it once a second.

        An agent that has been silent for 5 s counts as gone.
        """
        now = anyio.current_time()
        found = [
            agent
            for agent in self._agent_by_address.values()
            if agent.silent_since_s
        ]
        for agent in found:
            if not agent.gone and now - agent.silent_since_s >= SUSPECT_S:
                agent.gone = True
                self.epoch += 1
            elif now - agent.silent_since_s >= ASK_FOR_S:
                del self._agent_by_address[agent.address]
        return found

    def suspects(self) -> list[str]:
        """Return the addresses of the agents that are being skipped."""
        return [
            str(at) for at in self._agent_by_address if self.is_suspect(at)
        ]
