"""A budget for retries: a token bucket filled by requests."""

import collections

import anyio

RETRY_SHARE = 0.1
RECENT_S = 10.0
INITIAL_TOKENS = 1.0


class RetryBudget:
    """Allows retries of at most 10% of the requests of the last 10 s.

    One token is there from the start, so that a caller that makes a request
    now and then can retry once. The bucket never holds more than that token
    or a tenth of the recent requests.
    """

    def __init__(
        self, share: float = RETRY_SHARE, initial: float = INITIAL_TOKENS
    ):
        self._share = share
        self._initial = initial
        self._tokens = initial
        self._recent: collections.deque[float] = collections.deque()

    def note_request(self) -> None:
        """Count a first attempt."""
        self._recent.append(anyio.current_time())
        self._tokens += self._share
        self._limit()

    def take(self) -> bool:
        """Take the token for one retry, or tell that there is none."""
        self._limit()
        # Ten deposits of a tenth add up to a little less than one.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True

    def _limit(self) -> None:
        oldest = anyio.current_time() - RECENT_S
        while self._recent and self._recent[0] < oldest:
            self._recent.popleft()
        allowed = max(self._initial, self._share * len(self._recent))
        self._tokens = min(self._tokens, allowed)
