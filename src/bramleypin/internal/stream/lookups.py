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
        self._peers.set_handler(frames.LookupBatch, self._on_batch)

    def _answer(self, lookup: frames.Lookup) -> str:
        return self._flows.answer_lookup(
            segment.Flow(*lookup.flow),
            lookup.acknowledged,
            lookup.opening_sequence,
        )

    def _uptime_s(self) -> float:
        return round(self._flows.uptime_s(), 3)

    def _on_lookup(self, message: frames.Lookup, _: bytes, host: str) -> None:
        if not self.answering:
            return
        view = self._view_manager.view
        self._peers.send(
            host,
            frames.LookupAnswer(
                message.lookup,
                self.kernel.settings.host,
                self._answer(message),
                view.revision,
                self._uptime_s(),
                view.era,
            ),
        )

    def _on_batch(
        self, message: frames.LookupBatch, _: bytes, host: str
    ) -> None:
        if not self.answering:
            return
        view = self._view_manager.view
        answers = [
            (lookup.lookup, self._answer(lookup)) for lookup in message.lookups
        ]
        self._peers.send(
            host,
            frames.LookupBatchAnswer(
                self.kernel.settings.host,
                answers,
                view.revision,
                self._uptime_s(),
                view.era,
            ),
        )
