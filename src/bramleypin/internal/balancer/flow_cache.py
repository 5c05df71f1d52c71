"""The flow cache: who owns a flow, with its FORWARD header ready to send.

It is soft state. Losing it costs a probe for flows without a pin and nothing
for flows with one.
"""

import collections
import dataclasses

from bramleypin.internal import address
from bramleypin.internal.balancer import flow_key

# An epoch that never equals the current one, so that every datagram of the
# entry is looked at in full.
NEVER = -1


# A CoAP message has its code in its second byte.
_CODE_AT = flow_key.KEY_BYTES + 1
# For other protocols, the header byte 0x21, which is no request's code.
_NO_CODE_AT = 12


@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """A flow's owner.

    ``head`` is ready to send for as long as ``fast_epoch`` is the current
    epoch; ``epoch`` is the one that ``unpinned_header`` was made for. ``pin``
    is empty for datagram services, and while a flow of a CoAP service has
    none, which then never gets a ``fast_epoch``. ``pin_at`` and ``code_at``
    are places in a proxied datagram. ``via`` is where the ingress got the
    flow's last datagram from. ``asked`` is the time of the last request that
    is not answered yet, in ticks of the forwarder, or 0. An entry with
    ``home`` names the agent that decides where the flow opens; it expires at
    ``expires_s``.
    """

    # What the fast path reads comes first, because these fields then share
    # cache lines; a flow's memory is rarely in the processor's cache.
    fast_epoch: int = NEVER
    pin: bytes
    pin_at: int = 0
    code_at: int = 0
    head: bytes = b""
    owner: address.Address
    via: address.Address | None = None
    asked: int = 0
    used: bool = False
    service: str
    incarnation: int
    is_coap: bool
    unpinned_header: bytes = b""
    epoch: int = NEVER
    home: bool = False
    expires_s: float = 0.0

    def __post_init__(self) -> None:
        self.code_at = _CODE_AT if self.is_coap else _NO_CODE_AT

    def finds_pin(self, data: bytes) -> bool:
        """Tell whether a proxied datagram has the pin; remember where."""
        place = data.find(self.pin, flow_key.KEY_BYTES)
        if place >= 0:
            self.pin_at = place
        return place >= 0


class FlowCache(collections.OrderedDict[bytes, Entry]):
    """Entries by flow key; one that was not used lately goes first.

    Moving an entry to the end for each datagram would touch its neighbours'
    memory too. Instead an entry that was used since it was added or last
    spared is spared once (the "second chance" form of least recent use).
    """

    def __init__(self, limit: int):
        super().__init__()
        self.limit = limit

    def store(self, key: bytes, entry: Entry) -> None:
        """Add or replace a flow's entry."""
        self[key] = entry
        while len(self) > self.limit:
            oldest, candidate = next(iter(self.items()))
            if candidate.used and oldest != key:
                candidate.used = False
                self.move_to_end(oldest)
            else:
                del self[oldest]
