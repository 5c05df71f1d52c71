"""Limits retries with a token bucket to which each request adds."""

import collections

import anyio

RETRY_SHARE = 0.1
WINDOW_S = 10.0
INITIAL_TOKENS = 1.0


class RetryBudget:
    """Limits retries to 10% of the requests of the last 10 s.

    ``share`` is the number of tokens that a request adds. A new bucket holds
    ``initial_tokens``; the default of one token lets a caller that sends few
    requests retry once. The bucket holds at most ``initial_tokens`` or
    ``share`` times the number of recent requests, whichever is more.
    """

    def __init__(
        self,
        share: float = RETRY_SHARE,
        initial_tokens: float = INITIAL_TOKENS,
    ):
        self._share = share
        self._initial = initial_tokens
        self._tokens = initial_tokens
        self._request_times: collections.deque[float] = collections.deque()

    def record_request(self) -> None:
        """Record the first attempt of a request, adding ``share`` tokens."""
        self._request_times.append(anyio.current_time())
        self._tokens += self._share
        self._cap_tokens()

    def take_token(self) -> bool:
        """Take a token for one retry; return ``False`` if there is none."""
        self._cap_tokens()
        # In floating point, ten additions of 0.1 sum to slightly less than 1.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True

    def _cap_tokens(self) -> None:
        window_start_s = anyio.current_time() - WINDOW_S
        while self._request_times and self._request_times[0] < window_start_s:
            self._request_times.popleft()
        max_tokens = max(self._initial, self._share * len(self._request_times))
        self._tokens = min(self._tokens, max_tokens)
