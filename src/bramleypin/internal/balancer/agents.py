"""What a balancer knows about agents beyond the view.

This is soft state: incarnations learned from frames, and suspicions after
silence. ``epoch`` grows whenever a cached flow may have become wrong.
"""

import dataclasses

import anyio

from bramleypin.internal import address
from bramleypin.internal.wire import frames

SUSPECT_DURATION_S = 5.0
# An agent that is silent for longer has most likely been replaced.
REPROBE_LIMIT_S = 60.0
# More than twice the agents of the largest fleet in the design.
MAX_AGENTS = 16_384


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
    unreachable: bool = False


class AgentTable:
    """AgentTable by data address, of which a bounded number is kept."""

    def __init__(self) -> None:
        self.epoch = 1
        self._agent_by_address: dict[address.Address, Agent] = {}

    def _get(self, data_address: address.Address) -> Agent:
        agent = self._agent_by_address.get(data_address)
        if agent is None:
            if len(self._agent_by_address) >= MAX_AGENTS:
                oldest = next(iter(self._agent_by_address))
                del self._agent_by_address[oldest]
            agent = Agent(address.Address(*data_address))
            self._agent_by_address[agent.address] = agent
        return agent

    def incarnation(self, data_address: address.Address) -> int:
        """Return an agent's incarnation, or 0 when it is not known."""
        agent = self._agent_by_address.get(data_address)
        return 0 if agent is None else agent.incarnation

    def record_incarnation(
        self, data_address: address.Address, incarnation: int
    ) -> bool:
        """Note that an agent has sent a frame under an incarnation.

        Returns whether it must have restarted.
        """
        agent = self._get(data_address)
        if agent.silent_since_s:
            agent.silent_since_s = 0.0
            agent.suspect_until_s = 0.0
            agent.unreachable = False
        if agent.incarnation == incarnation:
            return False
        restarted = agent.incarnation != 0
        agent.incarnation = incarnation
        self.epoch += restarted
        return restarted

    def mark_suspect(
        self,
        data_address: address.Address,
        failure_domain: str,
        probe: frames.Probe,
    ) -> None:
        """Skip an agent that has not answered a probe for the next 5 s."""
        agent = self._get(data_address)
        now = anyio.current_time()
        agent.suspect_until_s = now + SUSPECT_DURATION_S
        if not agent.silent_since_s:
            agent.silent_since_s = now
            agent.probe = probe
            agent.failure_domain = failure_domain

    def mark_refusing(self, data_address: address.Address) -> None:
        """Note that an agent takes no flows here for the next 5 s."""
        self._get(data_address).refused_until_s = (
            anyio.current_time() + SUSPECT_DURATION_S
        )
        self.epoch += 1

    def is_suspect(self, data_address: address.Address) -> bool:
        """Tell whether openings should not count on an agent."""
        agent = self._agent_by_address.get(data_address)
        if agent is None:
            return False
        now = anyio.current_time()
        return now < max(agent.suspect_until_s, agent.refused_until_s)

    def is_unavailable(self, data_address: address.Address) -> bool:
        """Tell whether cached flows at an agent should be looked for anew.

        One lost probe is no reason: an agent that is asked once a second has
        to stay silent for 5 s first.
        """
        agent = self._agent_by_address.get(data_address)
        if agent is None:
            return False
        return (
            agent.unreachable or anyio.current_time() < agent.refused_until_s
        )

    def collect_silent(self) -> list[Agent]:
        """Return the agents to ask again; call it once a second.

        An agent that has been silent for 5 s counts as gone.
        """
        now = anyio.current_time()
        silent = [
            agent
            for agent in self._agent_by_address.values()
            if agent.silent_since_s
        ]
        for agent in silent:
            if (
                not agent.unreachable
                and now - agent.silent_since_s >= SUSPECT_DURATION_S
            ):
                agent.unreachable = True
                self.epoch += 1
            elif now - agent.silent_since_s >= REPROBE_LIMIT_S:
                del self._agent_by_address[agent.address]
        return silent

    def suspect_addresses(self) -> list[str]:
        """Return the addresses of the agents that are being skipped."""
        return [
            str(data_address)
            for data_address in self._agent_by_address
            if self.is_suspect(data_address)
        ]
