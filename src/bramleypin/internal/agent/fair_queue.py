"""The short queue of requests that wait for a slot, fair between callers."""

import collections
import dataclasses

import anyio

from bramleypin.internal import address
from bramleypin.internal.agent import request_execution


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A request in the queue; ``woken`` is set when its fate is decided.

    At ``leave_s`` its deadline is too near for it to be started.
    """

    caller: address.Address
    ticket: request_execution.Ticket
    leave_s: float
    woken: anyio.Event


class FairQueue:
    """Waiters by caller, taken in turn: one of each caller at a time."""

    def __init__(self) -> None:
        self._waiters_by_caller: collections.OrderedDict[
            address.Address, collections.deque[Waiter]
        ] = collections.OrderedDict()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def append(self, waiter: Waiter) -> None:
        """Add a waiter behind its caller's others."""
        line = self._waiters_by_caller.setdefault(
            waiter.caller, collections.deque()
        )
        line.append(waiter)
        self._count += 1

    def take(self) -> Waiter | None:
        """Remove and return the waiter whose turn it is."""
        if not self._waiters_by_caller:
            return None
        caller, line = self._waiters_by_caller.popitem(last=False)
        waiter = line.popleft()
        if line:
            self._waiters_by_caller[caller] = line
        self._count -= 1
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter that gave up, if it is still there."""
        line = self._waiters_by_caller.get(waiter.caller)
        if line is None or waiter not in line:
            return
        line.remove(waiter)
        self._count -= 1
        if not line:
            del self._waiters_by_caller[waiter.caller]

    def find(self, ticket: request_execution.Ticket) -> Waiter | None:
        """Return the waiter that has a ticket, or ``None``."""
        for line in self._waiters_by_caller.values():
            for waiter in line:
                if waiter.ticket is ticket:
                    return waiter
        return None

    def displace(self, caller: address.Address) -> Waiter | None:
        """Make room for a caller at the cost of the one with most waiters.

        Returns the removed waiter, or ``None`` when the newcomer has as many
        waiters as anyone else and must be shed itself.
        """
        own = len(self._waiters_by_caller.get(caller, ()))
        longest = max(self._waiters_by_caller.values(), key=len, default=None)
        if longest is None or len(longest) <= own + 1:
            return None
        waiter = longest[-1]
        self.remove(waiter)
        return waiter
