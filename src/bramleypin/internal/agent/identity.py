"""The agent's incarnation, its clock, and the pins that it issues."""

import dataclasses
import enum
import math

import anyio

from bramleypin import errors
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.wire import frames
from bramleypin.internal.wire import pin

PIN_LIFETIME_S = 300

# A flow's pin is renewed when it is older than this, so that an active caller
# always holds a pin with most of its lifetime left.
PIN_RENEWAL_S = 60

_ID_BITS = 48
_NONCE_BITS = 63


class PinStatus(enum.Enum):
    """Result of checking a pin.

    Only ``FRESH`` pins may start a non-idempotent request. ``STALE`` pins
    have expired or been revoked, ``FOREIGN`` pins were issued by another
    incarnation or agent, and ``INVALID`` pins have a wrong format or
    signature. ``NONE`` means that the datagram has no pin.
    """

    NONE = "none"
    FRESH = "fresh"
    STALE = "stale"
    FOREIGN = "foreign"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class PinCheck:
    """Status of a pin; flow and issue time if this agent issued it.

    ``issued_s`` is in seconds of this agent's uptime.
    """

    status: PinStatus
    flow_id: int | None = None
    issued_s: int = 0


@kernel_module.service("identity", roles=("agent",))
class Identity(kernel_module.Service):
    """Holds the incarnation, signs frames and pins, and checks pins.

    Pins issued at or before ``revoked_until_s`` (-1: none) can no longer
    start a non-idempotent request. This time advances when the request table
    is full. ``nonce`` identifies this process to the replay filters of
    receivers.
    """

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        random = kernel.environment.random
        self.incarnation = random.getrandbits(_ID_BITS) or 1
        self.nonce = random.getrandbits(_NONCE_BITS)
        self.revoked_until_s = -1
        self._random = random
        self._sequence = 0
        self._started_s = 0.0
        self._key = kernel.settings.key_bytes[0]
        self._failure_domain_code = pin.failure_domain_code(
            kernel.settings.failure_domain
        )
        self._service = kernel.settings.endpoint.service

    async def start(self) -> None:
        """Start the clock that measures the age of pins."""
        self._started_s = anyio.current_time()

    def new_flow_id(self) -> int:
        """Return a random 48-bit flow id."""
        return self._random.getrandbits(_ID_BITS)

    def uptime_s(self) -> int:
        """Return the whole seconds since this agent was started."""
        return math.floor(anyio.current_time() - self._started_s)

    def issue_pin(self, flow_id: int) -> bytes:
        """Return a new pin for a flow."""
        fields = pin.Pin(
            owner=self.kernel.settings.addresses.data_address,
            failure_domain_code=self._failure_domain_code,
            incarnation=self.incarnation,
            flow_id=flow_id,
            issued_s=self.uptime_s(),
        )
        return pin.encode(fields, self._service, self._key)

    def check_pin(self, data: bytes | None) -> PinCheck:
        """Check the signature, incarnation and age of a pin.

        Issue times are rounded down, so a pin appears older than it is. It
        therefore expires no later than the record of a request that it
        started.
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
        is_fresh = 0 <= age_s <= PIN_LIFETIME_S and not self.is_revoked(
            fields.issued_s
        )
        status = PinStatus.FRESH if is_fresh else PinStatus.STALE
        return PinCheck(status, fields.flow_id, fields.issued_s)

    def is_revoked(self, issued_s: int) -> bool:
        """Return whether pins issued at ``issued_s`` are revoked."""
        return issued_s <= self.revoked_until_s

    def revoke_pins(self) -> None:
        """Revoke all pins issued so far.

        A request that could not be recorded then cannot run when a later copy
        of it arrives.
        """
        self.revoked_until_s = self.uptime_s()

    def encode_frame(self, frame: frames.Frame, payload: bytes = b"") -> bytes:
        """Sign and encode a frame with the next sequence number."""
        self._sequence += 1
        return frames.encode(frame, self._key, self._sequence, payload)
