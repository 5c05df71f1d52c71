"""Agent state that a balancer keeps in addition to the view.

This is soft state: the incarnations seen in frames, and which agents left a
probe unanswered or refused a flow. An incarnation is a random number that
identifies one run of an agent's process.
"""

import dataclasses

import anyio

from bramleypin.internal import address
from bramleypin.internal.wire import frames

# Openings do not wait for an agent for this long after an unanswered probe or
# a refusal. An agent that stays silent for this long counts as unreachable.
SUSPECT_DURATION_S = 5.0
# A silent agent is probed for this long. After that it has most likely been
# replaced.
REPROBE_LIMIT_S = 60.0
# More than twice the number of agents in the largest supported fleet.
MAX_AGENTS = 16_384


@dataclasses.dataclass(slots=True)
class Agent:
    """The state of one agent.

    ``incarnation`` is 0 until the agent sends a frame. ``silent_since_s`` is
    the time of the first unanswered probe, and 0 while the agent answers.
    ``probe`` is the probe to repeat, and ``failure_domain`` the failure
    domain of the agent's VM. Times are in seconds on the clock of
    ``anyio.current_time``.
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
    """Agents by data address; at most ``MAX_AGENTS`` are kept.

    ``epoch`` increases whenever cached routes have to be checked again.
    """

    def __init__(self) -> None:
        self.epoch = 1
        self._agent_by_address: dict[address.Address, Agent] = {}

    def _get_or_add(self, data_address: address.Address) -> Agent:
        agent = self._agent_by_address.get(data_address)
        if agent is None:
            if len(self._agent_by_address) >= MAX_AGENTS:
                oldest = next(iter(self._agent_by_address))
                del self._agent_by_address[oldest]
            agent = Agent(address.Address(*data_address))
            self._agent_by_address[agent.address] = agent
        return agent

    def incarnation(self, data_address: address.Address) -> int:
        """Return an agent's incarnation, or 0 if it is unknown."""
        agent = self._agent_by_address.get(data_address)
        return 0 if agent is None else agent.incarnation

    def record_incarnation(
        self, data_address: address.Address, incarnation: int
    ) -> bool:
        """Record the incarnation in a frame received from an agent.

        The frame clears a suspicion that an unanswered probe caused. Returns
        ``True`` if the previous incarnation was different, which means that
        the agent has restarted.
        """
        agent = self._get_or_add(data_address)
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
        """Suspect an agent for 5 s because it has not answered ``probe``.

        Openings do not wait for a suspected agent.
        """
        agent = self._get_or_add(data_address)
        now = anyio.current_time()
        agent.suspect_until_s = now + SUSPECT_DURATION_S
        if not agent.silent_since_s:
            agent.silent_since_s = now
            agent.probe = probe
            agent.failure_domain = failure_domain

    def mark_refusing(self, data_address: address.Address) -> None:
        """Mark an agent as unavailable for the next 5 s.

        Called after a NOTICE that the agent refused a frame. During this time
        the agent's flows without a pin are looked up again, and openings do
        not wait for it.
        """
        self._get_or_add(data_address).refused_until_s = (
            anyio.current_time() + SUSPECT_DURATION_S
        )
        self.epoch += 1

    def is_suspect(self, data_address: address.Address) -> bool:
        """Return whether openings should not wait for an agent.

        True for 5 s after the agent left a probe unanswered or refused a
        frame.
        """
        agent = self._agent_by_address.get(data_address)
        if agent is None:
            return False
        now = anyio.current_time()
        return now < max(agent.suspect_until_s, agent.refused_until_s)

    def is_unavailable(self, data_address: address.Address) -> bool:
        """Return whether an agent's flows must be looked up again.

        True for 5 s after a refusal, and while the agent is unreachable. A
        single lost probe does not make it unreachable: the agent is probed
        once a second and must stay silent for 5 s first.
        """
        agent = self._agent_by_address.get(data_address)
        if agent is None:
            return False
        return (
            agent.unreachable or anyio.current_time() < agent.refused_until_s
        )

    def collect_silent(self) -> list[Agent]:
        """Return the silent agents, which should be probed again.

        Must be called once a second. An agent that has been silent for 5 s
        is marked as unreachable, and one that has been silent for 60 s is
        removed.
        """
        now = anyio.current_time()
        silent_agents = [
            agent
            for agent in self._agent_by_address.values()
            if agent.silent_since_s
        ]
        for agent in silent_agents:
            if (
                not agent.unreachable
                and now - agent.silent_since_s >= SUSPECT_DURATION_S
            ):
                agent.unreachable = True
                self.epoch += 1
            elif now - agent.silent_since_s >= REPROBE_LIMIT_S:
                del self._agent_by_address[agent.address]
        return silent_agents

    def suspect_addresses(self) -> list[str]:
        """Return the data addresses of the suspected agents."""
        return [
            str(data_address)
            for data_address in self._agent_by_address
            if self.is_suspect(data_address)
        ]
