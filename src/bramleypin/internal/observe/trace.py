"""A trace of the latest routing decisions on flows and requests."""

import collections
import dataclasses
import typing

import anyio

from bramleypin.internal import kernel as kernel_module

# Keeps the answer to a trace request well below the control message limit.
MAX_REPORT_ENTRIES = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A recorded decision; ``time_s`` is read from a monotonic clock."""

    time_s: float
    flow: str
    decision: str
    reason: str
    revision: int


@kernel_module.service("trace", roles=("balancer", "agent"))
class Trace(kernel_module.Service):
    """A ring buffer of the latest decisions."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        size = kernel.settings.limits.trace_entries
        self.entries: collections.deque[Entry] = collections.deque(maxlen=size)

    def record(self, flow: str, decision: str, reason: str) -> None:
        """Record a decision together with the active revision."""
        view_store = self.kernel.service_by_name.get("view")
        revision = 0 if view_store is None else view_store.view.revision
        now = anyio.current_time()
        self.entries.append(Entry(now, flow, decision, reason, revision))

    def find(self, text: str) -> list[Entry]:
        """Return the entries whose flow contains ``text``, oldest first."""
        return [entry for entry in self.entries if text in entry.flow]

    def report(
        self, text: str, limit: int = MAX_REPORT_ENTRIES
    ) -> list[dict[str, typing.Any]]:
        """Return the latest matching entries as CBOR values.

        ``age_s`` is relative to the time of the call, because the clocks of
        two machines cannot be compared.
        """
        now = anyio.current_time()
        return [
            {
                "age_s": now - entry.time_s,
                "flow": entry.flow,
                "decision": entry.decision,
                "reason": entry.reason,
                "revision": entry.revision,
            }
            for entry in self.find(text)[
                -max(1, min(limit, MAX_REPORT_ENTRIES)) :
            ]
        ]
