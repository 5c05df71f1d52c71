"""The steps: points in the life of one watched request.

They are recognised from outside, by packets and by what the endpoint does.
The watched flow reads a sheet (which opens the flow), books (a request that
runs once) and then downloads a plan.
"""

import typing

import anyio

from bramleypin.matrix import endpoint as endpoint_module
from bramleypin.matrix import journal as journal_module
from bramleypin.matrix import packets
from bramleypin.matrix import registries
from bramleypin.standins import virtual_network

# A step that a cell's circumstances prevent is taken as reached then.
STEP_TIMEOUT_S = 15.0
SHEET = "watched-sheet"
BOOKING = "watched-booking"
PLAN = "watched-plan"
HALF_OF_DAEMONS = 5


class Watch:
    """Sets an event when the watched request reaches a step.

    ``balancer`` and ``agent`` are those that the request went through last.
    """

    def __init__(self, cell: typing.Any):
        self.cell = cell
        self.balancer = "balancer-austin"
        self.agent = "scheduler-austin"
        self.event_by_step: dict[str, anyio.Event] = {
            name: anyio.Event() for name in registries.STEPS.entry_by_name
        }
        self._blocks_seen = 0

    def reach(self, step: str) -> None:
        """Note that a step is reached."""
        self.event_by_step[step].set()

    async def wait(self, step: str) -> None:
        """Wait for a step, or until it cannot be expected any more."""
        with anyio.move_on_after(STEP_TIMEOUT_S):
            await self.event_by_step[step].wait()

    def on_send(self, packet: virtual_network.Packet) -> None:
        """Look at a packet when it is sent."""
        hop = packets.hop(packet)
        if hop == ("balancer", "agent") and self._has(packet, SHEET, BOOKING):
            self.balancer = packet.sender.name
            if self._has(packet, SHEET):
                self.reach("opening")
        elif hop == ("agent", "endpoint") and self._has(packet, BOOKING):
            self.agent = packet.sender.name
            self.reach("admitted")
        elif hop == ("agent", "balancer") and self._has(packet, BOOKING):
            self.reach("answered")

    def on_delivery(self, packet: virtual_network.Packet) -> None:
        """Look at a packet when it arrives."""
        hop = packets.hop(packet)
        if hop == ("balancer", "agent") and self._has(packet, BOOKING):
            self.agent = packet.receiver.name
            self.reach("received")
        elif hop == ("fabric", "caller"):
            self._answer_arrives(packet)

    def _answer_arrives(self, packet: virtual_network.Packet) -> None:
        if packet.receiver.name != self.cell.watched_caller:
            return
        if packets.carries_pin(packet):
            self.reach("pinned")
        if self._has(packet, BOOKING):
            self.reach("closing")

    def on_endpoint_event(self, event: str, run: journal_module.Run) -> None:
        """Look at what an endpoint does with the watched request."""
        if run.call_id.startswith(BOOKING):
            if event == "handed":
                self.reach("handed")
            elif event == "running":
                self.reach("running")
                self.reach("draining")
            elif event == "finished":
                self.reach("finished")
        elif run.call_id.startswith(PLAN) and event == "finished":
            self.agent = run.endpoint
            self._blocks_seen += 1
            if self._blocks_seen == endpoint_module.BLOCKS // 2:
                self.reach("blocks-half-sent")

    def _has(self, packet: virtual_network.Packet, *ids: str) -> bool:
        return any(item.encode() in packet.data for item in ids)


def _step(name: str, doc: str) -> None:
    async def arm(cell: typing.Any) -> None:
        await cell.watch.wait(name)

    arm.__doc__ = doc
    registries.step(name)(arm)


_step("before-first", "Before any caller sends.")
_step("opening", "The first datagram goes from a balancer to an agent.")
_step("pinned", "An answer with a pin reaches the caller.")
_step("received", "The booking reaches the agent.")
_step("admitted", "The agent sends the booking to the endpoint.")
_step("handed", "The booking reaches the endpoint.")
_step("running", "The booking has run for half of its time.")
_step("finished", "The endpoint has run the booking, and answers next.")
_step("answered", "The agent sends the booking's answer.")
_step("blocks-half-sent", "Half of a download's blocks are served.")
_step("closing", "The caller has the booking's answer.")
_step("configuration-half-spread", "Half of the daemons read a revision.")


@registries.step("draining")
async def arm_draining(cell: typing.Any) -> None:
    """The agent and the balancer of the running booking shut down."""
    await cell.watch.wait("draining")
    cell.drain(cell.watch.agent)
    cell.drain(cell.watch.balancer)
    await anyio.sleep(0.01)
