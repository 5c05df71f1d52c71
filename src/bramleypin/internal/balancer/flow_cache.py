"""The flow cache: who owns a flow, with its FORWARD header ready to send.

It is soft state. Losing it costs a probe for flows without a pin and nothing
for flows with one.
"""

import collections
import dataclasses

from bramleypin.internal import address

# An epoch that never equals the current one, so that every datagram of the
# entry is looked at in full.
NEVER = -1


@dataclasses.dataclass(slots=True)
class Entry:
    """A flow's owner.

    ``pin`` is ``None`` for datagram services, which are never parsed, and
    empty while the flow of a CoAP service has none. ``fast_epoch`` is the
    epoch for which ``header`` may be sent without further checks. ``via`` is
    where the ingress got the flow's last datagram from. An entry with
    ``home`` names the agent that decides where the flow opens; it expires at
    ``expires_s``.
    """

    service: str
    owner: address.Address
    incarnation: int
    pin: bytes | None
    header: bytes = b""
    unpinned_header: bytes = b""
    epoch: int = NEVER
    fast_epoch: int = NEVER
    via: address.Address | None = None
    home: bool = False
    expires_s: float = 0.0


class FlowCache(collections.OrderedDict[bytes, Entry]):
    """Entries by flow key, of which the least recently used goes first."""

    def __init__(self, limit: int):
        super().__init__()
        self.limit = limit

    def store(self, key: bytes, entry: Entry) -> None:
        """Add or replace a flow's entry."""
        self[key] = entry
        self.move_to_end(key)
        if len(self) > self.limit:
            self.popitem(last=False)
