"""Forwards callers' datagrams to the owners of their flows.

A datagram of a cached flow costs a dictionary lookup, a comparison and a
MAC. All others pass the checks at the border first.
"""

import anyio

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.balancer import agents as agents_module
from bramleypin.internal.balancer import drops
from bramleypin.internal.balancer import flow_cache
from bramleypin.internal.balancer import flow_key
from bramleypin.internal.balancer import inspection
from bramleypin.internal.balancer import outstanding as outstanding_module
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.model import view as view_module
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics as metrics_module
from bramleypin.internal.wire import coap
from bramleypin.internal.wire import frames
from bramleypin.internal.wire import pin as pin_module

# Leaves room for the frame's own header, which names the service.
MAX_DATAGRAM_BYTES = frames.MAX_FRAME_BYTES - 1_024
DRAIN_TIMEOUT_S = 120.0
DRAIN_POLL_S = 0.05
# The home agent keeps its decision for 30 s; asking it for 2 s and probing
# again after that finds the owner as soon as it holds the flow.
HOME_S = 2.0

FORWARDED = metrics_module.declare(
    "balancer.forwarded",
    "counter",
    "datagrams",
    "sent to the owner of their flow",
)
ANSWERED = metrics_module.declare(
    "balancer.answered", "counter", "datagrams", "sent back to callers"
)
REFUSED = metrics_module.declare(
    "balancer.refused",
    "counter",
    "datagrams",
    "answered by the balancer itself with a typed outcome",
)
INVALID_PIN = metrics_module.declare(
    "balancer.invalid_pin",
    "counter",
    "datagrams",
    "carried a pin that is not valid for the service and has no meaning",
)

_log = logs.get("balancer")


@kernel_module.service(
    "forwarder",
    roles=("balancer",),
    needs=(
        "port",
        "view",
        "lease",
        "metrics",
        "trace",
        "status",
        "ingress",
        "openings",
    ),
)
class Forwarder(kernel_module.Service):
    """Decides for each datagram where it goes; holds the flow cache."""

    async def start(self) -> None:
        """Look up the other services."""
        kernel = self.kernel
        self._keys = kernel.settings.key_bytes
        self._signing_key = self._keys[0]
        self._port = kernel.get("port")
        self._store = kernel.get("view")
        self._lease_is_valid = kernel.get("lease").is_valid
        self._metrics = kernel.get("metrics")
        self._trace = kernel.get("trace")
        self._ingress = kernel.get("ingress")
        self._openings = kernel.get("openings")
        self._view = self._store.view
        self._out_codes: frozenset[int] = frozenset()
        self._sequence = 0
        self.nonce = kernel.environment.random.getrandbits(63)
        self.agents = agents_module.Agents()
        self.cache = flow_cache.FlowCache(kernel.settings.limits.flow_cache)
        self.outstanding = outstanding_module.Outstanding()
        self.draining = False
        kernel.get("status").register("balancer", self._status)

    async def run(self) -> None:
        """Forget unanswered requests after a while."""
        await self.outstanding.run()

    async def drain(self) -> None:
        """Open no more flows; wait until no answer is outstanding."""
        self.draining = True
        with anyio.move_on_after(DRAIN_TIMEOUT_S):
            while self.outstanding:
                await anyio.sleep(DRAIN_POLL_S)

    def _status(self) -> dict[str, object]:
        return {
            "flows_cached": len(self.cache),
            "requests_outstanding": len(self.outstanding),
            "suspects": self.agents.suspects(),
            "draining": self.draining,
        }

    def drop(self, reason: str, n: int = 1) -> None:
        """Count dropped datagrams and log the reason now and then."""
        drops.count(self._metrics, reason, n)
        _log.limited(reason, "dropped a datagram", reason=reason)

    def handle(
        self,
        datagram: bytes,
        caller: address.Address,
        service_address: address.Address,
        via: address.Address | None = None,
    ) -> None:
        """Forward a caller's datagram, or open its flow, or drop it."""
        key = flow_key.encode(caller, service_address)
        self.handle_flow(key, datagram, via)

    def handle_flow(
        self, key: bytes, datagram: bytes, via: address.Address | None
    ) -> None:
        """Like ``handle``, for a flow key; ``via`` is for the answers."""
        if not self._lease_is_valid():
            self.drop("no_lease")
            return
        if self._store.view is not self._view:
            self._take_view()
        entry = self.cache.get(key)
        if entry is not None and entry.fast_epoch == self.agents.epoch:
            pin = entry.pin
            if pin is None or pin in datagram:
                self.cache.move_to_end(key)
                entry.via = via
                if pin is not None:
                    self._note_request(key, datagram)
                self._send(entry.owner, entry.header, datagram)
                return
        try:
            self._handle_in_full(key, datagram, via, entry)
        except errors.InvalidFrame as error:
            self.drop(error.reason)

    def _take_view(self) -> None:
        """Make every cached flow be checked against a changed view."""
        self._view = self._store.view
        self._out_codes = frozenset(
            pin_module.failure_domain_code(name)
            for name in self._view.manifest.failure_domain_by_name
            if self._view.is_out(name)
        )
        self.agents.epoch += 1

    def _note_request(self, key: bytes, datagram: bytes) -> None:
        # An empty message, code 0.00, has no answer.
        if len(datagram) > 1 and 0 < datagram[1] < 32:
            self.outstanding.add(key + inspection.token(datagram))

    def _send(
        self, to: address.Address, header: bytes, datagram: bytes
    ) -> None:
        if len(datagram) > MAX_DATAGRAM_BYTES:
            self.drop("oversized")
            return
        self._sequence += 1
        self._port.send(
            frames.seal(self._signing_key, self._sequence, header, datagram),
            to,
        )
        self._metrics.count(FORWARDED)

    def _handle_in_full(
        self,
        key: bytes,
        datagram: bytes,
        via: address.Address | None,
        entry: flow_cache.Entry | None,
    ) -> None:
        service_address = flow_key.decode(key)[1]
        name = self._view.service_at(service_address)
        service = None if name is None else self._view.service(name)
        if service is None:
            self.drop("unknown_address")
            return
        if service.protocol != "coap":
            self._by_cache(key, datagram, via, entry, service, True)
            return
        found = inspection.inspect(datagram, service.name, self._keys)
        if found.invalid_pin:
            self._metrics.count(INVALID_PIN)
            self._trace.record(flow_key.text(key), "ignore pin", "invalid")
        if found.pin is None:
            may_open = coap.is_request(found.code)
            self._by_cache(key, datagram, via, entry, service, may_open)
        elif self._is_out(
            service, found.pin.owner, found.pin.failure_domain_code
        ):
            self._leave_domain(key, datagram, via, entry, service, found.code)
        else:
            self._by_pin(key, datagram, via, service, found)

    def _by_pin(
        self,
        key: bytes,
        datagram: bytes,
        via: address.Address | None,
        service: view_module.ServiceView,
        found: inspection.Inspection,
    ) -> None:
        """Path 1: send to the owner that the pin names."""
        pin = found.pin
        known = self.agents.incarnation(pin.owner)
        entry = flow_cache.Entry(
            service=service.name,
            owner=pin.owner,
            incarnation=known or pin.incarnation,
            pin=found.pin_bytes,
            via=via,
        )
        self._refresh(key, entry)
        self.cache.store(key, entry)
        self._note_request(key, datagram)
        self._trace.record(
            flow_key.text(key), f"forward to {pin.owner}", "pin"
        )
        self._send(entry.owner, entry.header, datagram)

    def _by_cache(
        self,
        key: bytes,
        datagram: bytes,
        via: address.Address | None,
        entry: flow_cache.Entry | None,
        service: view_module.ServiceView,
        may_open: bool,
    ) -> None:
        """Path 2: send to the cached owner, or open the flow."""
        if entry is not None and not self._still_holds(entry, service):
            del self.cache[key]
            entry = None
        if entry is None:
            self._open(key, datagram, via, service, may_open)
            return
        if entry.epoch != self.agents.epoch:
            self._refresh(key, entry)
        self.cache.move_to_end(key)
        entry.via = via
        if entry.pin is not None:
            self._note_request(key, datagram)
        self._send(entry.owner, entry.unpinned_header, datagram)

    def _still_holds(
        self, entry: flow_cache.Entry, service: view_module.ServiceView
    ) -> bool:
        """Tell whether a cached owner may still be used without a pin."""
        if entry.home and anyio.current_time() >= entry.expires_s:
            return False
        return (
            entry.service == service.name
            and not self._is_out(service, entry.owner, None)
            and not self.agents.is_suspect(entry.owner)
        )

    def _open(
        self,
        key: bytes,
        datagram: bytes,
        via: address.Address | None,
        service: view_module.ServiceView,
        may_open: bool,
    ) -> None:
        if self.draining:
            self.drop("draining")
        elif len(datagram) > MAX_DATAGRAM_BYTES:
            self.drop("oversized")
        else:
            self._openings.add(key, datagram, via, service.name, may_open)

    def _is_out(
        self,
        service: view_module.ServiceView,
        owner: address.Address,
        code: int | None,
    ) -> bool:
        """Tell whether an agent is in a failure domain that is out.

        The view is asked first; a pin's code (16 bits of a hash) decides only
        for an agent that the view no longer has.
        """
        for version in (service, *self._view.earlier(service.name)):
            for endpoint in version.endpoints:
                if endpoint.data == owner:
                    return self._view.is_out(endpoint.failure_domain)
        return code in self._out_codes

    def _leave_domain(
        self,
        key: bytes,
        datagram: bytes,
        via: address.Address | None,
        entry: flow_cache.Entry | None,
        service: view_module.ServiceView,
        code: int,
    ) -> None:
        """Handle a pin into a failure domain that is out.

        An earlier copy of the request may have run there, so a request that
        must not run twice is answered "unknown" and not sent elsewhere.
        """
        name = flow_key.text(key)
        if not coap.is_request(code):
            self.drop("not_a_request")
        elif inspection.runs_once(code, service):
            self._trace.record(name, "answer unknown", "domain out")
            self.refuse(
                key,
                datagram,
                via,
                coap.GATEWAY_TIMEOUT,
                coap.Outcome.UNKNOWN,
                "failure domain out; the request may have run",
            )
        elif inspection.block_number(datagram) > 0:
            self._trace.record(name, "answer incomplete", "domain out")
            self.refuse(
                key,
                datagram,
                via,
                coap.REQUEST_ENTITY_INCOMPLETE,
                coap.Outcome.INVALID,
                "failure domain out; start again from the first block",
            )
        else:
            self._trace.record(name, "open anew", "domain out")
            self._by_cache(key, datagram, via, entry, service, True)

    def refuse(
        self,
        key: bytes,
        datagram: bytes,
        via: address.Address | None,
        code: int,
        outcome: coap.Outcome,
        reason: str,
        max_age_s: int | None = None,
    ) -> None:
        """Answer a request with a typed outcome instead of forwarding it."""
        try:
            request = coap.decode(datagram)
            answer = coap.encode(
                coap.typed_answer(
                    request, code, outcome, reason, max_age_s=max_age_s
                )
            )
        except errors.InvalidFrame as error:
            self.drop(error.reason)
            return
        self._metrics.count(REFUSED)
        self._ingress.send(answer, *flow_key.decode(key), via)

    def _refresh(self, key: bytes, entry: flow_cache.Entry) -> None:
        """Encode an entry's headers for the current view."""
        entry.incarnation = (
            self.agents.incarnation(entry.owner) or entry.incarnation
        )
        entry.unpinned_header = self._header(key, entry, False)
        entry.epoch = self.agents.epoch
        if entry.home:
            return
        if entry.pin is None:
            entry.header = entry.unpinned_header
            entry.fast_epoch = entry.epoch
        elif entry.pin:
            entry.header = self._header(key, entry, True)
            entry.fast_epoch = entry.epoch

    def _header(
        self, key: bytes, entry: flow_cache.Entry, pinned: bool
    ) -> bytes:
        caller, service_address = flow_key.decode(key)
        return frames.encode_header(
            frames.Forward(
                nonce=self.nonce,
                incarnation=entry.incarnation,
                revision=self._view.revision,
                service=entry.service,
                service_address=service_address,
                caller=caller,
                return_address=self._port.address,
                pinned=pinned,
                open=entry.home,
            )
        )

    def opened(
        self,
        key: bytes,
        service: str,
        owner: frames.Candidate,
        candidates: tuple[frames.Candidate, ...],
        waiting: list[tuple[bytes, float]],
        via: address.Address | None,
    ) -> None:
        """Send what waited for an opening to the owner or to the home.

        ``candidates`` is empty when ``owner`` holds the flow already.
        ``waiting`` has datagrams with their times of arrival in seconds.
        """
        if self._store.view is not self._view:
            self._take_view()
        view_service = self._view.service(service)
        is_coap = view_service is None or view_service.protocol == "coap"
        entry = flow_cache.Entry(
            service=service,
            owner=owner.data,
            incarnation=owner.incarnation,
            pin=b"" if is_coap else None,
            via=via,
            home=bool(candidates),
            expires_s=anyio.current_time() + HOME_S,
        )
        self._refresh(key, entry)
        self.cache.store(key, entry)
        caller, service_address = flow_key.decode(key)
        for datagram, arrived_s in waiting:
            elapsed_s = anyio.current_time() - arrived_s
            header = frames.encode_header(
                frames.Forward(
                    nonce=self.nonce,
                    incarnation=entry.incarnation,
                    revision=self._view.revision,
                    service=service,
                    service_address=service_address,
                    caller=caller,
                    return_address=self._port.address,
                    pinned=False,
                    open=bool(candidates),
                    elapsed_us=int(elapsed_s * 1e6),
                    candidates=candidates,
                )
            )
            if is_coap:
                self._note_request(key, datagram)
            self._send(owner.data, header, datagram)

    def answered(self, answer: frames.Answer, datagram: bytes) -> None:
        """Pass an agent's answer on to the caller and learn the owner."""
        name = self._store.view.service_at(answer.service_address)
        if name is not None and name != answer.service:
            self.drop("wrong_service")
            return
        key = flow_key.encode(answer.caller, answer.service_address)
        if len(datagram) > 1 and datagram[1] >= 64:
            self.outstanding.remove(key + inspection.token(datagram))
        via = self._learn(key, answer)
        self._ingress.send(
            datagram, answer.caller, answer.service_address, via
        )
        self._metrics.count(ANSWERED)

    def _learn(
        self, key: bytes, answer: frames.Answer
    ) -> address.Address | None:
        entry = self.cache.get(key)
        via = None if entry is None else entry.via
        if not answer.pin and entry is not None and entry.pin is not None:
            # The agent turned the request away and does not hold the flow.
            del self.cache[key]
            return via
        if (
            entry is not None
            and not entry.home
            and entry.owner == answer.owner
            and entry.incarnation == answer.incarnation
            and (entry.pin is None or entry.pin == answer.pin)
        ):
            return via
        self.agents.learn(answer.owner, answer.incarnation)
        service = self._view.service(answer.service)
        is_coap = service is None or service.protocol == "coap"
        if is_coap and not answer.pin:
            return via
        entry = flow_cache.Entry(
            service=answer.service,
            owner=answer.owner,
            incarnation=answer.incarnation,
            pin=answer.pin if is_coap else None,
            via=via,
        )
        # Encoded with the flow's next datagram, after the checks.
        self.cache.store(key, entry)
        return via
