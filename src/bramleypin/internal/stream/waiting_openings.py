"""Combines the order of waiting openings with the rate of their service."""

from bramleypin.internal.stream import frames
from bramleypin.internal.stream import opening as opening_module
from bramleypin.internal.stream import refusal
from bramleypin.internal.stream import slot_queue
from bramleypin.internal.stream import view as view_module
from bramleypin.internal.stream import waiting_order


class WaitingOpenings:
    """The openings of a balancer that wait for a slot."""

    def __init__(self, started_s: float):
        self.order = waiting_order.WaitingOrder()
        self._ranks = waiting_order.PriorityRanks()
        self._rates = refusal.ServiceRate(started_s)

    def update_rank(
        self,
        opening: opening_module.Opening,
        configuration: view_module.Configuration,
    ) -> None:
        """Set an opening's rank according to a configuration."""
        opening.rank = self._ranks.rank(
            configuration, opening.service, opening.route.priority
        )

    def add(self, opening: opening_module.Opening, now_s: float) -> None:
        """Add an opening, or move it to the place that it has now."""
        self.order.add(opening, now_s)
        self.record_backlog(opening.service, now_s)

    def record_backlog(self, service: str, now_s: float) -> None:
        """Record whether openings of a service wait."""
        waiting_count = self.order.waiting_count(service)
        self._rates.record_waiting(service, waiting_count, now_s)

    def record_taken(
        self, opening: opening_module.Opening, now_s: float
    ) -> None:
        """Record that an agent took an opening."""
        self._rates.record_taken(opening.service, now_s)
        self.order.record_slot(opening, now_s)

    def record_no_endpoint(self, service: str, now_s: float) -> None:
        """Record that no endpoint of a service may receive new flows."""
        self._rates.record_no_endpoint(service, now_s)

    def cannot_be_served(
        self, opening: opening_module.Opening, now_s: float
    ) -> bool:
        """Return whether an opening's caller surely gives up before its turn.

        An agent that has not answered an offer may still take the opening, so
        the result is false then.
        """
        age_s = now_s - opening.started_s
        return not opening.is_unanswered and self._rates.cannot_serve(
            opening.service,
            self.order.count_ahead(opening),
            opening_module.MAX_OPENING_AGE_S - age_s,
            now_s,
        )

    def slot_request(
        self, service: str, now_s: float
    ) -> frames.SlotRequest | None:
        """Return the request for a slot for a service's first opening."""
        first = self.order.first(service, now_s)
        if first is None:
            return None
        rank = slot_queue.LATE_RANK if first.is_late else first.rank or 0
        left_s = waiting_order.deadline_s(first) - now_s
        return frames.SlotRequest(service, rank, round(left_s * 1000))
