"""The flow cache: who owns a flow, and the pin that its caller carries.

It is soft state. Losing it costs a probe for flows without a pin and nothing
for flows with one.
"""

import collections
import dataclasses

from bramleypin.internal import address
from bramleypin.internal.balancer import flow_key
from bramleypin.internal.balancer import routes

# A place beyond the end of every datagram, where nothing is found.
NO_MATCH_OFFSET = 1 << 30


@dataclasses.dataclass(slots=True)
class Entry:
    """A flow's owner.

    A proxied datagram that has ``pin`` at ``pin_offset``, or elsewhere, goes to
    the route without further checks. For datagram services the pin is empty
    and found anywhere. For a CoAP flow without a pin, and for an entry with
    ``is_home``, it is empty and found ``NO_MATCH_OFFSET``.

    ``previous_hop`` is where the ingress got the flow's last datagram from. ``request_tick``
    is the time of the last request that is not answered yet, in ticks of the
    forwarder, or 0. An entry with ``is_home`` names the agent that decides where
    the flow opens; it expires at ``expires_s``.
    """

    route: routes.Route
    pin: bytes = b""
    pin_offset: int = NO_MATCH_OFFSET
    previous_hop: address.Address | None = None
    request_tick: int = 0
    referenced: bool = False
    is_home: bool = False
    expires_s: float = 0.0

    def locate_pin(self, data: bytes) -> bool:
        """Tell whether a proxied datagram has the pin; remember where."""
        if not self.pin:
            return False
        offset = data.find(self.pin, flow_key.KEY_BYTES)
        if offset >= 0:
            self.pin_offset = offset
        return offset >= 0


class FlowCache(collections.OrderedDict[bytes, Entry]):
    """Entries by flow key; one that was not used lately goes first.

    Moving an entry to the end for each datagram would touch its neighbours'
    memory too. Instead an entry that was used since it was added or last
    spared is spared once (the "second chance" form of least recent use).
    """

    def __init__(self, capacity: int):
        super().__init__()
        self.capacity = capacity

    def store(self, key: bytes, entry: Entry) -> None:
        """Add or replace a flow's entry."""
        self[key] = entry
        while len(self) > self.capacity:
            oldest, candidate = next(iter(self.items()))
            if candidate.referenced and oldest != key:
                candidate.referenced = False
                self.move_to_end(oldest)
            else:
                del self[oldest]
