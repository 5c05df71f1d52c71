"""Estimates the load of an endpoint between the reports of its agent.

Handles many balancers that choose among the same endpoints by reports that
are older than the requests at these endpoints.
"""

import dataclasses

# An agent answers an offer within this time, or the offer counts as lost.
OFFER_TIMEOUT_S = 0.06
# Bounds the state of one endpoint when offers are faster than their answers;
# the oldest offers are dropped.
MAX_UNANSWERED_OFFERS = 256


@dataclasses.dataclass(slots=True)
class LoadEstimate:
    """The latest report of an endpoint and the offers that it lacks.

    ``sent_s_by_offer`` holds the offers of this balancer without an answer,
    in the order in which they were sent. A report may have been sent before
    the agent received them; only the answer's own report includes an offer.
    """

    reported_requests: int = 0
    reported_s: float = float("-inf")
    sent_s_by_offer: dict[int, float] = dataclasses.field(default_factory=dict)

    def record_report(self, running_requests: int, now_s: float) -> None:
        """Record the requests at the endpoint, as reported by its agent."""
        self.reported_requests = running_requests
        self.reported_s = now_s

    def record_offer(self, number: int, now_s: float) -> None:
        """Record an offer that was sent to the agent."""
        self._drop_lost_offers(now_s)
        if len(self.sent_s_by_offer) >= MAX_UNANSWERED_OFFERS:
            del self.sent_s_by_offer[next(iter(self.sent_s_by_offer))]
        self.sent_s_by_offer[number] = now_s

    def record_answer(self, number: int) -> None:
        """Record that the agent answered an offer."""
        self.sent_s_by_offer.pop(number, None)

    def unanswered_offers(self, now_s: float) -> int:
        """Return the number of offers that may be on their way."""
        self._drop_lost_offers(now_s)
        return len(self.sent_s_by_offer)

    def running_requests(self, now_s: float) -> float:
        """Return the estimated number of requests at the endpoint."""
        return self.reported_requests + self.unanswered_offers(now_s)

    def _drop_lost_offers(self, now_s: float) -> None:
        while self.sent_s_by_offer:
            number, sent_s = next(iter(self.sent_s_by_offer.items()))
            if now_s - sent_s < OFFER_TIMEOUT_S:
                return
            del self.sent_s_by_offer[number]
