"""Relays answers to callers and caches the owners that sent them."""

import typing

from bramleypin.internal.balancer import flow_cache
from bramleypin.internal.balancer import flow_key
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import metrics as metrics_module
from bramleypin.internal.wire import frames

if typing.TYPE_CHECKING:
    from bramleypin.internal.balancer import forwarder as forwarder_module

# CoAP response codes start at 2.00 (RFC 7252, section 12.1).
FIRST_RESPONSE_CODE = 64

ANSWERED = metrics_module.declare(
    "balancer.answered", "counter", "datagrams", "sent back to callers"
)


class AnswerRelay:
    """Relays answers and records their senders in the flow cache.

    ``count`` is the number of answers relayed so far.
    """

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
        self.count = 0

    def relay(self, answer: frames.Answer, datagram: bytes) -> None:
        """Relay an agent's answer to the caller and record the owner."""
        self._routes.refresh_view()
        service_name = self._routes.view.service_at(answer.service_address)
        if service_name is not None and service_name != answer.service:
            self._forwarder.drop("wrong_service")
            return
        key = flow_key.encode(answer.caller, answer.service_address)
        cached_entry = self._cache.get(key)
        via = None if cached_entry is None else cached_entry.via
        entry = self._update_entry(key, cached_entry, answer)
        if entry is not None:
            is_response = (
                len(datagram) > 1 and datagram[1] >= FIRST_RESPONSE_CODE
            )
            if is_response:
                entry.request_tick = 0
        self.count += 1
        self._ingress.send(
            datagram, answer.caller, answer.service_address, via
        )
        self._metrics.count(ANSWERED)

    def _update_entry(
        self,
        key: bytes,
        cached_entry: flow_cache.Entry | None,
        answer: frames.Answer,
    ) -> flow_cache.Entry | None:
        """Update and return the flow's cache entry for an answer.

        Returns ``None`` if the flow has no entry afterwards.
        """
        if cached_entry is not None and self._matches(cached_entry, answer):
            return cached_entry
        self._routes.record_incarnation(answer.owner, answer.incarnation)
        service = self._routes.view.service(answer.service)
        if service is None:
            return cached_entry
        if service.protocol == "coap" and not answer.pin:
            # The agent refused the request and does not hold the flow.
            if (
                cached_entry is not None
                and cached_entry.route.owner == answer.owner
            ):
                del self._cache[key]
                return None
            return cached_entry
        route = self._routes.get(
            service, answer.service_address, answer.owner, answer.incarnation
        )
        entry = flow_cache.Entry(
            route, answer.pin if route.is_coap else b"", 0
        )
        if cached_entry is not None:
            entry.via = cached_entry.via
            entry.request_tick = cached_entry.request_tick
        self._cache.store(key, entry)
        return entry

    def _matches(self, entry: flow_cache.Entry, answer: frames.Answer) -> bool:
        """Return whether an entry has the owner and pin of an answer."""
        route = entry.route
        return (
            not entry.is_home
            and not route.invalid
            and route.owner == answer.owner
            and route.incarnation == answer.incarnation
            and (entry.pin == answer.pin or not route.is_coap)
        )
