"""The flow cache: the owner of each flow and the pin that its caller sends.

The cache is soft state. After its loss, the owner of each flow without a pin
has to be found again by probing; a flow with a pin needs no probe.
"""

import collections
import dataclasses

from bramleypin.internal import address
from bramleypin.internal.balancer import flow_key
from bramleypin.internal.balancer import routes

# An offset beyond the end of every datagram, so that no pin matches there.
NO_MATCH_OFFSET = 1 << 30


@dataclasses.dataclass(slots=True)
class Entry:
    """The owner of a flow.

    A proxied datagram that contains ``pin`` is forwarded on the route without
    further checks. ``pin_offset`` is the offset at which the pin was last
    found. For datagram services the pin is empty and ``pin_offset`` 0, which
    matches every datagram. For a CoAP flow without a pin, and for an entry
    with ``is_home``, the pin is empty and ``pin_offset`` is
    ``NO_MATCH_OFFSET``, which matches none.

    ``via`` is the address from which the ingress received the flow's
    last datagram. ``request_tick`` is the time of the last unanswered request
    in ticks of the forwarder, or 0. ``referenced`` is the second-chance bit
    of the cache. With ``is_home`` the route leads to the home agent, which
    decides where the flow opens, and the entry expires at ``expires_s``.
    """

    route: routes.Route
    pin: bytes = b""
    pin_offset: int = NO_MATCH_OFFSET
    via: address.Address | None = None
    request_tick: int = 0
    referenced: bool = False
    is_home: bool = False
    expires_s: float = 0.0

    def locate_pin(self, data: bytes) -> bool:
        """Search a proxied datagram for the pin and record its offset."""
        if not self.pin:
            return False
        offset = data.find(self.pin, flow_key.KEY_BYTES)
        if offset >= 0:
            self.pin_offset = offset
        return offset >= 0


class FlowCache(collections.OrderedDict[bytes, Entry]):
    """Entries by flow key, with second-chance eviction.

    Plain LRU order would move an entry to the end for each datagram, which
    also writes to the memory of the neighbouring entries. Instead, entries
    are only moved on eviction: the oldest entry is moved to the end if it
    was used since it was added or last moved, and is evicted otherwise.
    """

    def __init__(self, capacity: int):
        super().__init__()
        self.capacity = capacity

    def store(self, key: bytes, entry: Entry) -> None:
        """Add or replace a flow's entry; evict entries over the capacity."""
        self[key] = entry
        while len(self) > self.capacity:
            oldest, candidate = next(iter(self.items()))
            if candidate.referenced and oldest != key:
                candidate.referenced = False
                self.move_to_end(oldest)
            else:
                del self[oldest]
