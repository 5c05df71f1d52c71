"""Who this agent is: its incarnation, its clock, and the pins it issues."""

import dataclasses
import enum
import math

import anyio

from bramleypin import errors
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.wire import frames
from bramleypin.internal.wire import pin

PIN_LIFETIME_S = 300

# A flow's pin is issued anew when it is older than this, so that a caller
# that keeps talking always holds a pin with most of its lifetime left.
PIN_RENEWAL_S = 60

_ID_BITS = 48
_NONCE_BITS = 63


class PinStatus(enum.Enum):
    """What a pin permits."""

    NONE = "none"
    FRESH = "fresh"
    STALE = "stale"
    FOREIGN = "foreign"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class PinCheck:
    """A pin's status, and the flow that it names if it is ours."""

    status: PinStatus
    flow_id: int | None = None
    issued_s: int = 0


@kernel_module.service("identity", roles=("agent",))
class Identity(kernel_module.Service):
    """Holds the incarnation, signs frames and pins, and checks pins.

    ``fence_s`` is the latest issue time whose pins start no request any more
    (-1: none); it moves when the request table is full.
    """

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        random = kernel.environment.random
        self.incarnation = random.getrandbits(_ID_BITS) or 1
        self.nonce = random.getrandbits(_NONCE_BITS)
        self.fence_s = -1
        self._random = random
        self._sequence = 0
        self._started_s = 0.0
        self._key = kernel.settings.key_bytes[0]
        self._code = pin.failure_domain_code(kernel.settings.failure_domain)
        self._service = kernel.settings.endpoint.service

    async def start(self) -> None:
        """Start the clock by which pins and records age."""
        self._started_s = anyio.current_time()

    def new_id(self) -> int:
        """Return a random flow id (48 bits)."""
        return self._random.getrandbits(_ID_BITS)

    def now_s(self) -> int:
        """Return the whole seconds since this agent started."""
        return math.floor(anyio.current_time() - self._started_s)

    def issue_pin(self, flow_id: int) -> bytes:
        """Return a new pin for a flow."""
        fields = pin.Pin(
            owner=self.kernel.settings.addresses.data_address,
            failure_domain_code=self._code,
            incarnation=self.incarnation,
            flow_id=flow_id,
            issued_s=self.now_s(),
        )
        return pin.encode(fields, self._service, self._key)

    def check_pin(self, data: bytes | None) -> PinCheck:
        """Tell what a pin permits; the time since its issue is measured.

        Issue times are rounded down, so a pin appears older than it is and
        expires no later than the record of a request that it started.
        """
        if data is None:
            return PinCheck(PinStatus.NONE)
        try:
            keys = self.kernel.settings.key_bytes
            fields = pin.decode(data, self._service, keys)
        except errors.InvalidPin:
            return PinCheck(PinStatus.INVALID)
        if fields.incarnation != self.incarnation:
            return PinCheck(PinStatus.FOREIGN)
        age_s = anyio.current_time() - self._started_s - fields.issued_s
        fresh = 0 <= age_s <= PIN_LIFETIME_S and not self.is_fenced(
            fields.issued_s
        )
        status = PinStatus.FRESH if fresh else PinStatus.STALE
        return PinCheck(status, fields.flow_id, fields.issued_s)

    def is_fenced(self, issued_s: int) -> bool:
        """Tell whether pins issued at that time start no request."""
        return issued_s <= self.fence_s

    def raise_fence(self) -> None:
        """Close every request without a record against its later copies."""
        self.fence_s = self.now_s()

    def seal(self, frame: frames.Frame, payload: bytes = b"") -> bytes:
        """Encode a frame under the next sequence number."""
        self._sequence += 1
        return frames.encode(frame, self._key, self._sequence, payload)
