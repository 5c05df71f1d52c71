"""Queue of requests waiting for a slot, fair between callers."""

import collections
import dataclasses

import anyio

from bramleypin.internal import address
from bramleypin.internal.agent import request_execution


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A queued request.

    ``decided`` is set when the request is admitted, evicted or removed, or has
    expired when its turn comes. From ``expires_s`` on, too little time
    is left before the deadline to start it.
    """

    caller: address.Address
    execution: request_execution.Execution
    expires_s: float
    decided: anyio.Event


class FairQueue:
    """Round-robin queue over callers, FIFO within each caller."""

    def __init__(self) -> None:
        self._waiters_by_caller: collections.OrderedDict[
            address.Address, collections.deque[Waiter]
        ] = collections.OrderedDict()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def append(self, waiter: Waiter) -> None:
        """Append a waiter to the queue of its caller."""
        waiters = self._waiters_by_caller.setdefault(
            waiter.caller, collections.deque()
        )
        waiters.append(waiter)
        self._count += 1

    def pop_next(self) -> Waiter | None:
        """Remove and return the next waiter, or ``None`` when empty."""
        if not self._waiters_by_caller:
            return None
        caller, waiters = self._waiters_by_caller.popitem(last=False)
        waiter = waiters.popleft()
        if waiters:
            self._waiters_by_caller[caller] = waiters
        self._count -= 1
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter if it is still queued."""
        waiters = self._waiters_by_caller.get(waiter.caller)
        if waiters is None or waiter not in waiters:
            return
        waiters.remove(waiter)
        self._count -= 1
        if not waiters:
            del self._waiters_by_caller[waiter.caller]

    def find(self, execution: request_execution.Execution) -> Waiter | None:
        """Return the waiter of an execution, or ``None``."""
        for waiters in self._waiters_by_caller.values():
            for waiter in waiters:
                if waiter.execution is execution:
                    return waiter
        return None

    def evict_from_longest(self, caller: address.Address) -> Waiter | None:
        """Evict the last waiter of the caller that has the most waiters.

        Returns the evicted waiter. Returns ``None`` if no caller has more
        waiters than ``caller`` would have after adding its new request; the
        new request must then be shed instead.
        """
        own_count = len(self._waiters_by_caller.get(caller, ()))
        longest = max(self._waiters_by_caller.values(), key=len, default=None)
        if longest is None or len(longest) <= own_count + 1:
            return None
        waiter = longest[-1]
        self.remove(waiter)
        return waiter
