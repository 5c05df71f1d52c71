"""The steps: points in the course of the watched caller's requests.

They are detected from packets and from events of the endpoint. The watched
caller reads a sheet, which opens a flow, makes a booking on it, which must
run at most once, and then downloads a plan.
"""

import typing

import anyio

from bramleypin.matrix import endpoint as endpoint_module
from bramleypin.matrix import journal as journal_module
from bramleypin.matrix import packets
from bramleypin.matrix import registries
from bramleypin.standins import virtual_network

# Some cells prevent their own step; after this time, a step that was not
# reached is treated as reached.
STEP_TIMEOUT_S = 15.0
SHEET = "watched-sheet"
BOOKING = "watched-booking"
PLAN = "watched-plan"
# A cell starts with nine daemons: three balancers and six agents.
HALF_OF_DAEMONS = 5


class StepTracker:
    """Sets an event when the watched request reaches a step.

    ``balancer`` and ``agent`` name the daemons that the request passed
    through last. Before it has passed any, they name those of the failure
    domain ``austin``.
    """

    def __init__(self, cell: typing.Any):
        self.cell = cell
        self.balancer = "balancer-austin"
        self.agent = "scheduler-austin"
        self.event_by_step: dict[str, anyio.Event] = {
            name: anyio.Event() for name in registries.STEPS.entry_by_name
        }
        self._blocks_served = 0

    def mark_reached(self, step: str) -> None:
        """Set the event of a step."""
        self.event_by_step[step].set()

    async def wait(self, step: str) -> None:
        """Wait for a step, for at most ``STEP_TIMEOUT_S``."""
        with anyio.move_on_after(STEP_TIMEOUT_S):
            await self.event_by_step[step].wait()

    def on_send(self, packet: virtual_network.Packet) -> None:
        """Detect steps in a packet when it is sent."""
        hop = packets.hop(packet)
        if hop == ("balancer", "agent") and self._contains_call(
            packet, SHEET, BOOKING
        ):
            self.balancer = packet.sender.name
            if self._contains_call(packet, SHEET):
                self.mark_reached("opening")
        elif hop == ("agent", "endpoint") and self._contains_call(
            packet, BOOKING
        ):
            self.agent = packet.sender.name
            self.mark_reached("admitted")
        elif hop == ("agent", "balancer") and self._contains_call(
            packet, BOOKING
        ):
            self.mark_reached("answered")

    def on_delivery(self, packet: virtual_network.Packet) -> None:
        """Detect steps in a packet when it is delivered."""
        hop = packets.hop(packet)
        if hop == ("balancer", "agent") and self._contains_call(
            packet, BOOKING
        ):
            self.agent = packet.receiver.name
            self.mark_reached("received")
        elif hop == ("fabric", "caller"):
            self._on_answer_delivery(packet)

    def _on_answer_delivery(self, packet: virtual_network.Packet) -> None:
        if packet.receiver.name != self.cell.watched_caller_name:
            return
        if packets.carries_pin(packet):
            self.mark_reached("pinned")
        if self._contains_call(packet, BOOKING):
            self.mark_reached("closing")

    def on_endpoint_event(self, event: str, run: journal_module.Run) -> None:
        """Detect steps in an event of an endpoint."""
        if run.call_id.startswith(BOOKING):
            if event == "handed":
                self.mark_reached("handed")
            elif event == "running":
                self.mark_reached("running")
                self.mark_reached("draining")
            elif event == "finished":
                self.mark_reached("finished")
        elif run.call_id.startswith(PLAN) and event == "finished":
            self.agent = run.endpoint
            self._blocks_served += 1
            if self._blocks_served == endpoint_module.BLOCK_COUNT // 2:
                self.mark_reached("blocks-half-sent")

    def _contains_call(
        self, packet: virtual_network.Packet, *ids: str
    ) -> bool:
        return any(item.encode() in packet.data for item in ids)


def _register_step(name: str, description: str) -> None:
    async def wait_until_reached(cell: typing.Any) -> None:
        await cell.step_tracker.wait(name)

    wait_until_reached.__doc__ = description
    registries.step(name)(wait_until_reached)


_register_step("before-first", "Before any caller sends.")
_register_step("opening", "A balancer sends the first datagram to an agent.")
_register_step("pinned", "An answer with a pin reaches the caller.")
_register_step("received", "The booking reaches the agent.")
_register_step("admitted", "The agent sends the booking to the endpoint.")
_register_step("handed", "The booking reaches the endpoint.")
_register_step("running", "The booking has run for half of its run time.")
_register_step(
    "finished", "The endpoint has run the booking but not answered it yet."
)
_register_step("answered", "The agent sends the booking's answer.")
_register_step(
    "blocks-half-sent", "Half of a download's blocks have been served."
)
_register_step("closing", "The booking's answer reaches the caller.")
_register_step(
    "configuration-half-spread", "Half of the daemons have read a revision."
)


@registries.step("draining")
async def wait_and_drain(cell: typing.Any) -> None:
    """The agent and the balancer that handle the running booking shut down."""
    await cell.step_tracker.wait("draining")
    cell.drain_daemon(cell.step_tracker.agent)
    cell.drain_daemon(cell.step_tracker.balancer)
    await anyio.sleep(0.01)
