"""A flow as the agent that owns it knows it."""

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

# A block-wise transfer whose next block has not been asked for in this time
# is taken to be abandoned.
TRANSFER_IDLE_S = 10.0

Key = tuple[address.Address, address.Address]


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A caller's datagram as it reached this agent.

    ``message`` is ``None`` for services with another protocol than CoAP.
    ``held`` tells whether the flow existed before the datagram arrived.
    """

    forward: frames.Forward
    data: bytes
    received_s: float
    message: coap.Message | None = None
    pin: identity.PinCheck = identity.PinCheck(identity.PinStatus.NONE)
    held: bool = False

    @property
    def key(self) -> Key:
        """Return the flow key: service address and caller address."""
        return self.forward.service_address, self.forward.caller

    @property
    def flow_text(self) -> str:
        """Return the flow's name in traces."""
        return f"{self.forward.caller}>{self.forward.service_address}"

    def elapsed_s(self) -> float:
        """Return the time spent in all processes so far, in seconds."""
        here_s = anyio.current_time() - self.received_s
        return self.forward.elapsed_us / 1e6 + here_s


class EndpointPort(typing.Protocol):
    """What a flow of a datagram service keeps open."""

    def send(self, data: bytes) -> None:
        """Send a datagram to the endpoint."""


@dataclasses.dataclass(slots=True, eq=False)
class Flow:
    """A flow; ``active`` counts its requests and unconfirmed answers."""

    flow_id: int
    keys: set[Key] = dataclasses.field(default_factory=set)
    inbox: collections.deque[Arrival] = dataclasses.field(
        default_factory=collections.deque
    )
    arrived: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    has_task: bool = False
    active: int = 0
    used_s: float = 0.0
    transfer_until_s: float = 0.0
    channel: channel_module.Channel | None = None
    port: EndpointPort | None = None
    newest: Arrival | None = None
    pin: bytes = b""
    pin_issued_s: float = float("-inf")
    pin_issue: int = -1
    next_mid: int = 0
    confirmed_by_mid: dict[int, anyio.Event] = dataclasses.field(
        default_factory=dict
    )

    def push(self, arrival: Arrival) -> bool:
        """Queue an arrival for the flow's task; ``False`` when full."""
        if len(self.inbox) >= INBOX_LIMIT:
            return False
        self.inbox.append(arrival)
        self.arrived.set()
        return True

    def is_busy(self) -> bool:
        """Tell whether closing the flow would cut something off."""
        return (
            self.active > 0
            or bool(self.inbox)
            or anyio.current_time() < self.transfer_until_s
        )

    def note_transfer(self, more: bool) -> None:
        """Remember whether a block-wise transfer has further blocks."""
        now = anyio.current_time()
        self.transfer_until_s = now + TRANSFER_IDLE_S if more else 0.0

    def new_mid(self) -> int:
        """Return the next message id towards the caller."""
        self.next_mid = (self.next_mid + 1) % (1 << 16)
        return self.next_mid
