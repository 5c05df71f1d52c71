"""State of a flow at the agent that owns it."""

import collections
import dataclasses
import typing

import anyio

from bramleypin.internal import address
from bramleypin.internal.agent import channel as channel_module
from bramleypin.internal.agent import identity
from bramleypin.internal.wire import coap
from bramleypin.internal.wire import frames

INBOX_LIMIT = 64

# A block-wise transfer counts as abandoned if its next block is not requested
# within this time.
TRANSFER_IDLE_S = 10.0

FlowKey = tuple[address.Address, address.Address]


@dataclasses.dataclass(frozen=True, slots=True)
class InboundDatagram:
    """A datagram from a caller, received by this agent.

    ``message`` is ``None`` for services with a protocol other than CoAP.
    ``flow_held`` is true if the agent already held the flow when the
    datagram was received.
    """

    forward: frames.Forward
    data: bytes
    received_s: float
    message: coap.Message | None = None
    pin: identity.PinCheck = identity.PinCheck(identity.PinStatus.NONE)
    flow_held: bool = False

    @property
    def key(self) -> FlowKey:
        """The flow key: service address and caller address."""
        return self.forward.service_address, self.forward.caller

    @property
    def flow_label(self) -> str:
        """The label of the flow in traces."""
        return f"{self.forward.caller}>{self.forward.service_address}"

    def elapsed_s(self) -> float:
        """Return the seconds that the datagram has spent in processes."""
        local_s = anyio.current_time() - self.received_s
        return self.forward.elapsed_us / 1e6 + local_s


class FlowPort(typing.Protocol):
    """The endpoint port of one flow of a datagram service."""

    def send(self, data: bytes) -> None:
        """Send a datagram to the endpoint."""


@dataclasses.dataclass(slots=True, eq=False)
class Flow:
    """A flow and its queue of received datagrams, the inbox.

    ``keys`` has one entry for each pair of service and caller address under
    which the flow is known. ``active_count`` is the number of requests in
    progress and of separate responses that are not yet acknowledged.
    ``transfer_until_s`` is the time until which the flow counts as busy
    without any of these. The issue time of ``pin`` is kept by the event
    loop's clock (``pin_issued_s``) and in seconds of the agent's uptime
    (``pin_issued_uptime_s``).
    """

    flow_id: int
    keys: set[FlowKey] = dataclasses.field(default_factory=set)
    inbox: collections.deque[InboundDatagram] = dataclasses.field(
        default_factory=collections.deque
    )
    inbox_changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    has_task: bool = False
    active_count: int = 0
    last_used_s: float = 0.0
    transfer_until_s: float = 0.0
    channel: channel_module.Channel | None = None
    port: FlowPort | None = None
    latest_datagram: InboundDatagram | None = None
    pin: bytes = b""
    pin_issued_s: float = float("-inf")
    pin_issued_uptime_s: int = -1
    next_mid: int = 0
    event_by_unacknowledged_mid: dict[int, anyio.Event] = dataclasses.field(
        default_factory=dict
    )

    def enqueue(self, datagram: InboundDatagram) -> bool:
        """Queue a datagram for the flow's task; ``False`` when full."""
        if len(self.inbox) >= INBOX_LIMIT:
            return False
        self.inbox.append(datagram)
        self.inbox_changed.set()
        return True

    def is_busy(self) -> bool:
        """Return whether the flow has work that closing it would lose."""
        return (
            self.active_count > 0
            or bool(self.inbox)
            or anyio.current_time() < self.transfer_until_s
        )

    def update_transfer(self, has_more: bool) -> None:
        """Record whether a block-wise transfer has further blocks."""
        now = anyio.current_time()
        self.transfer_until_s = now + TRANSFER_IDLE_S if has_more else 0.0

    def new_mid(self) -> int:
        """Return the next message id for messages to the caller."""
        self.next_mid = (self.next_mid + 1) % (1 << 16)
        return self.next_mid
