"""Passes answers on to callers and learns from them who owns a flow."""

import typing

from bramleypin.internal.balancer import flow_cache
from bramleypin.internal.balancer import flow_key
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import metrics as metrics_module
from bramleypin.internal.wire import frames

if typing.TYPE_CHECKING:
    from bramleypin.internal.balancer import forwarder as forwarder_module

FIRST_RESPONSE_CODE = 64

ANSWERED = metrics_module.declare(
    "balancer.answered", "counter", "datagrams", "sent back to callers"
)


class Answers:
    """Works on the flow cache of a forwarder; counts what it passed on."""

    def __init__(
        self,
        kernel: kernel_module.Kernel,
        forwarder: "forwarder_module.Forwarder",
    ):
        self._metrics = kernel.get("metrics")
        self._ingress = kernel.get("ingress")
        self._forwarder = forwarder
        self._routes = forwarder.routes
        self._cache = forwarder.cache
        self.passed = 0

    def relay(self, answer: frames.Answer, datagram: bytes) -> None:
        """Pass an agent's answer on to the caller and learn the owner."""
        self._routes.take_view()
        name = self._routes.view.service_at(answer.service_address)
        if name is not None and name != answer.service:
            self._forwarder.drop("wrong_service")
            return
        key = flow_key.encode(answer.caller, answer.service_address)
        before = self._cache.get(key)
        via = None if before is None else before.via
        entry = self._learn(key, before, answer)
        if entry is not None:
            final = len(datagram) > 1 and datagram[1] >= FIRST_RESPONSE_CODE
            if final:
                entry.asked = 0
        self.passed += 1
        self._ingress.send(
            datagram, answer.caller, answer.service_address, via
        )
        self._metrics.count(ANSWERED)

    def _learn(
        self,
        key: bytes,
        before: flow_cache.Entry | None,
        answer: frames.Answer,
    ) -> flow_cache.Entry | None:
        """Return the flow's entry after an answer, if there is one."""
        if before is not None and self._is_known(before, answer):
            return before
        self._routes.heard(answer.owner, answer.incarnation)
        service = self._routes.view.service(answer.service)
        if service is None:
            return before
        if service.protocol == "coap" and not answer.pin:
            # The agent turned the request away and does not hold the flow.
            if before is not None and before.route.owner == answer.owner:
                del self._cache[key]
                return None
            return before
        route = self._routes.get(
            service, answer.service_address, answer.owner, answer.incarnation
        )
        entry = flow_cache.Entry(
            route, answer.pin if route.is_coap else b"", 0
        )
        if before is not None:
            entry.via = before.via
            entry.asked = before.asked
        self._cache.store(key, entry)
        return entry

    def _is_known(
        self, entry: flow_cache.Entry, answer: frames.Answer
    ) -> bool:
        route = entry.route
        return (
            not entry.home
            and not route.dead
            and route.owner == answer.owner
            and route.incarnation == answer.incarnation
            and (entry.pin == answer.pin or not route.is_coap)
        )
