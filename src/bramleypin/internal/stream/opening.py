"""The state of an opening that no agent has accepted yet."""

import dataclasses

from bramleypin.internal.stream import segment
from bramleypin.internal.stream import view as view_module

# Callers abandon an opening after 1.4 s, so one that waits longer than this
# could be accepted too late.
MAX_OPENING_AGE_S = 1.2


@dataclasses.dataclass(slots=True)
class Opening:
    """An opening that no agent has accepted yet.

    Each offer has a number of its own, so that the answer to an earlier offer
    is not mistaken for one to the latest. ``offer_numbers`` ends with the
    latest. ``host`` is the agent that is expected to answer, or "" while the
    opening is postponed. ``next_offer_s`` is the time of the next offer.
    ``is_late`` is true if the request could no longer meet its latency
    objective when it was last postponed. ``rank`` is that of the route's
    priority, or ``None`` if the service has a single one. ``is_repeated`` is
    true if an opening of the caller was refused shortly before. ``reset_s`` is
    the time at which a refused opening is reset.
    """

    flow: segment.Flow
    packet: segment.Segment
    service: str
    route: view_module.Route
    started_s: float
    next_offer_s: float = 0.0
    host: str = ""
    offer_numbers: list[int] = dataclasses.field(default_factory=list)
    tried_hosts: list[str] = dataclasses.field(default_factory=list)
    waiting_packets: list[segment.Segment] = dataclasses.field(
        default_factory=list
    )
    is_late: bool = False
    rank: int | None = None
    is_repeated: bool = False
    is_unanswered: bool = False
    reset_s: float | None = None

    @property
    def open_at_caller(self) -> bool:
        """Whether the caller has acknowledged an endpoint's answer."""
        return any(
            packet.ack and not packet.rst for packet in self.waiting_packets
        )
