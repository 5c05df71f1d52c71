"""Runs a test scenario against an agent under the virtual clock."""

import typing

import anyio

from bramleypin.internal.wire import coap
from bramleypin.standins import agent_rig
from bramleypin.standins import endpoint as endpoint_module
from bramleypin.standins import virtual_network


class AgentFixture:
    """An agent with its endpoint, and a sender that acts as balancer."""

    def __init__(self, rig, sender, tasks):
        self.rig = rig
        self.sender = sender
        self.tasks = tasks
        self._tokens = 0

    def token(self) -> bytes:
        """Return a unique token."""
        self._tokens += 1
        return b"tk%05d" % self._tokens

    def send(self, method: str, token: bytes, **options: typing.Any) -> None:
        """Forward a request; options of the frame start with ``frame_``."""
        fields = {
            name.removeprefix("frame_"): options.pop(name)
            for name in list(options)
            if name.startswith("frame_")
        }
        data = agent_rig.request(method, token, **options)
        fields.setdefault("pinned", bool(options.get("pin")))
        self.sender.forward(self.rig, data, **fields)

    async def send_and_wait(
        self, method: str, within_s: float = 150.0, **options: typing.Any
    ) -> coap.Message:
        """Send a request under a new token and wait for its answer."""
        token = self.token()
        self.send(method, token, **options)
        return await self.sender.answer(token, within_s)

    async def pin(self, **options: typing.Any) -> bytes:
        """Open a flow and return its pin."""
        answer = await self.send_and_wait("POST", **options)
        return coap.option(answer, coap.ECHO)

    def runs(self, key: bytes) -> int:
        """Return the number of runs of the request with a key."""
        return len(self.rig.endpoint.executions(key))

    def count(self, name: str) -> int:
        """Return the value of a counter of the agent."""
        metrics = self.rig.kernel.get("metrics")
        return metrics.count_by_name.get(name, 0)


def run_scenario(scenario, seed: int = 1, document=None, **options):
    """Run ``scenario(fixture)`` with an agent and its endpoint.

    Options that start with ``rig_`` go to the rig, all others to the profile
    of the endpoint.
    """
    rig_options = {
        name.removeprefix("rig_"): options.pop(name)
        for name in list(options)
        if name.startswith("rig_")
    }
    profile = endpoint_module.Profile(**options)
    if document is None:
        document = agent_rig.endpoint_document(1, slots=profile.slots)

    async def main():
        network = virtual_network.VirtualNetwork(seed)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(network.run)
            rig = agent_rig.AgentRig(network, document, profile, **rig_options)
            rig.start_endpoint(tasks)
            await rig.start_agent(tasks)
            sender = agent_rig.Sender(network)
            await sender.start(tasks)
            fixture = AgentFixture(rig, sender, tasks)
            await scenario(fixture)
            if rig.process.failure is not None:
                raise rig.process.failure
            tasks.cancel_scope.cancel()

    virtual_network.run(main, seed)
