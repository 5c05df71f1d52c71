"""Answers the searches of balancers for the owners of flows."""

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import segment


@kernel_module.service(
    "lookups",
    roles=("stream_agent",),
    needs=("view", "peer_port", "stream_admission"),
)
class Lookups(kernel_module.Service):
    """Answers whether this agent's endpoint holds a flow.

    ``answering`` is set to false shortly before the process ends: the packet
    that a balancer sends after an answer would not arrive any more.
    """

    answering = True

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._view_manager = kernel.get("view")
        self._peers = kernel.get("peer_port")
        self._flows = kernel.get("stream_admission").flows
        self._peers.set_handler(frames.Lookup, self._on_lookup)

    def _on_lookup(self, query: frames.Lookup, _: bytes, host: str) -> None:
        if not self.answering:
            return
        answer = self._flows.answer_lookup(
            segment.Flow(*query.flow),
            query.acknowledged,
            query.opening_sequence,
        )
        view = self._view_manager.view
        self._peers.send(
            host,
            frames.LookupAnswer(
                query.lookup,
                self.kernel.settings.host,
                answer,
                view.revision,
                round(self._flows.uptime_s(), 3),
                view.era,
            ),
        )
