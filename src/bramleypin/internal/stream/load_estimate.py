"""Estimates the load of an endpoint between the reports of its agent.

Handles many balancers that choose among the same endpoints by reports that
are older than the requests at these endpoints.
"""

import dataclasses
import math

# An agent answers an offer within this time, or the offer counts as lost.
OFFER_TIMEOUT_S = 0.06
# Assumed service time until an agent has reported one.
DEFAULT_SERVICE_TIME_S = 0.05
# Bounds the state of one endpoint when offers are faster than their answers;
# the oldest offers are dropped.
MAX_UNANSWERED_OFFERS = 256
# Spread of a choice by a report that is not old.
MIN_SPREAD = 0.05


@dataclasses.dataclass(slots=True)
class LoadEstimate:
    """The latest report of an endpoint and the offers that it lacks.

    ``sent_s_by_offer`` holds the offers of this balancer without an answer,
    in the order in which they were sent. A report may have been sent before
    the agent received them; only the answer's own report includes an offer.
    """

    slots: int = 1
    service_time_s: float = DEFAULT_SERVICE_TIME_S
    reported_requests: int = 0
    reported_s: float = float("-inf")
    sent_s_by_offer: dict[int, float] = dataclasses.field(default_factory=dict)

    def record_report(
        self,
        running_requests: int,
        slots: int,
        service_time_s: float,
        now_s: float,
    ) -> None:
        """Record a report; ``service_time_s`` is 0 if it is unknown."""
        self.reported_requests = running_requests
        self.slots = max(1, slots)
        self.service_time_s = service_time_s or DEFAULT_SERVICE_TIME_S
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

    def known_requests(self, now_s: float) -> int:
        """Return the reported requests and the unanswered offers."""
        return self.reported_requests + self.unanswered_offers(now_s)

    def running_requests(self, now_s: float) -> float:
        """Return the estimated number of requests at the endpoint now.

        The reported requests are assumed to end at the endpoint's rate:
        queued ones while all slots are busy, then those in the slots.
        Requests of other balancers since the report are unknown.
        """
        age_s = max(0.0, now_s - self.reported_s)
        requests = float(self.reported_requests)
        queued = requests - self.slots
        if queued > 0:
            requests_per_s = self.slots / self.service_time_s
            ended = min(queued, age_s * requests_per_s)
            requests -= ended
            age_s -= ended / requests_per_s
        requests *= math.exp(-age_s / self.service_time_s)
        return requests + self.unanswered_offers(now_s)

    def spread(self, now_s: float) -> float:
        """Return the fraction by which a score may change at random.

        A report says little about the requests that run several service times
        later. Balancers with the same old reports would all choose the same
        endpoint; at a spread of 1, each endpoint has a chance that falls with
        its expected time.
        """
        age_s = max(0.0, now_s - self.reported_s)
        return max(MIN_SPREAD, 1 - math.exp(-age_s / self.service_time_s))

    def _drop_lost_offers(self, now_s: float) -> None:
        while self.sent_s_by_offer:
            number, sent_s = next(iter(self.sent_s_by_offer.items()))
            if now_s - sent_s < OFFER_TIMEOUT_S:
                return
            del self.sent_s_by_offer[number]
