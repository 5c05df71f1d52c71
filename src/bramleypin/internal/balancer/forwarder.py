"""Forwards callers' datagrams to the owners of their flows.

A datagram of a cached flow costs a dictionary lookup, a comparison and a
MAC. All others pass the checks at the border first.
"""

import anyio

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.balancer import agents as agents_module
from bramleypin.internal.balancer import drops
from bramleypin.internal.balancer import fast_path
from bramleypin.internal.balancer import flow_cache
from bramleypin.internal.balancer import flow_key
from bramleypin.internal.balancer import inspection
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.model import view as view_module
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics as metrics_module
from bramleypin.internal.wire import coap
from bramleypin.internal.wire import frames
from bramleypin.internal.wire import pin as pin_module

DRAIN_TIMEOUT_S = 120.0
DRAIN_QUIET_S = 1.0
TICK_S = 30.0
# A caller waits for at most 120 s.
FORGET_AFTER_TICKS = 5
FIRST_RESPONSE_CODE = 64
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
        self._port = kernel.get("port")
        self._store = kernel.get("view")
        self._lease = kernel.get("lease")
        self._metrics = kernel.get("metrics")
        self._trace = kernel.get("trace")
        self._ingress = kernel.get("ingress")
        self._openings = kernel.get("openings")
        self._view = self._store.view
        self._out_codes: frozenset[int] = frozenset()
        self.sequence = 0
        self.nonce = kernel.environment.random.getrandbits(63)
        self.agents = agents_module.Agents()
        self.cache = flow_cache.FlowCache(kernel.settings.limits.flow_cache)
        self.tick = FORGET_AFTER_TICKS
        self.draining = False
        self._fast_path = fast_path.FastPath(self, self._keys[0])
        self._answers = 0
        kernel.get("status").register("balancer", self._status)

    async def run(self) -> None:
        """Advance the coarse clock by which requests are forgotten."""
        while True:
            await anyio.sleep(TICK_S)
            self.tick += 1

    async def drain(self) -> None:
        """Open no more flows; wait until no answer is outstanding.

        A flow with several requests at once, which RFC 7252 does not have by
        default, may have answers under way after its first one. So a second
        without any answer has to pass as well.
        """
        self.draining = True
        with anyio.move_on_after(DRAIN_TIMEOUT_S):
            seen = -1
            while seen != self._answers or self.outstanding():
                seen = self._answers
                await anyio.sleep(DRAIN_QUIET_S)

    def outstanding(self) -> int:
        """Return how many flows wait for an answer or for their opening."""
        oldest = self.tick - FORGET_AFTER_TICKS
        waiting = sum(entry.asked > oldest for entry in self.cache.values())
        return waiting + len(self._openings)

    def _status(self) -> dict[str, object]:
        return {
            "flows_cached": len(self.cache),
            "flows_outstanding": self.outstanding(),
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
        self.handle_burst([(key + datagram, via)])

    def handle_burst(self, items: fast_path.Items) -> None:
        """Handle up to ``fast_path.BURST`` datagrams.

        Each starts with its flow key, which is a PROXY v2 header, and comes
        with where its flow's answers go to.
        """
        self._fast_path.forward(items)

    def take_view(self) -> None:
        """Make every cached flow be checked if the view has changed."""
        if self._store.view is self._view:
            return
        self._view = self._store.view
        self._out_codes = frozenset(
            pin_module.failure_domain_code(name)
            for name in self._view.manifest.failure_domain_by_name
            if self._view.is_out(name)
        )
        self.agents.epoch += 1

    def send_burst(self, ready: list[tuple[bytes, address.Address]]) -> None:
        """Send frames, if the view is confirmed at this moment."""
        if not self._lease.is_valid():
            self.drop("no_lease", len(ready))
            return
        failures = self._port.send_burst(ready)
        self._metrics.count(FORWARDED, len(ready) - failures)
        if failures:
            self.drop("not_sent", failures)

    def _send(
        self, to: address.Address, header: bytes, datagram: bytes
    ) -> None:
        self.sequence += 1
        frame = frames.seal(self._keys[0], self.sequence, header, datagram)
        self.send_burst([(frame, to)])

    def handle_proxied(self, data: bytes, via: address.Address | None) -> None:
        """Handle one datagram whose flow is not ready in the cache."""
        try:
            key = data[: flow_key.KEY_BYTES]
            service_address = flow_key.decode(key)[1]
            datagram = data[flow_key.KEY_BYTES :]
            if len(datagram) > frames.MAX_DATAGRAM_BYTES:
                self.drop("oversized")
            elif not self._lease.is_valid():
                self.drop("no_lease")
            else:
                self._handle_in_full(key, service_address, datagram, via)
        except errors.InvalidFrame as error:
            self.drop(error.reason)

    def _note_request(self, entry: flow_cache.Entry, datagram: bytes) -> None:
        if entry.is_coap and coap.is_request(datagram[1]):
            entry.asked = self.tick

    def _handle_in_full(
        self,
        key: bytes,
        service_address: address.Address,
        datagram: bytes,
        via: address.Address | None,
    ) -> None:
        entry = self.cache.get(key)
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
            is_coap=True,
            via=via,
        )
        header = self._refresh(key, entry)
        self.cache.store(key, entry)
        self._note_request(entry, datagram)
        self._trace.record(
            flow_key.text(key), f"forward to {pin.owner}", "pin"
        )
        self._send(entry.owner, header, datagram)

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
        if entry.epoch != self.agents.epoch or not entry.unpinned_header:
            self._refresh(key, entry)
        entry.used = True
        entry.via = via
        self._note_request(entry, datagram)
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
            and self.agents.may_hold(entry.owner, entry.epoch)
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

    def _refresh(self, key: bytes, entry: flow_cache.Entry) -> bytes:
        """Encode an entry's headers for the current view.

        Returns the header for datagrams that carry the entry's pin.
        """
        entry.incarnation = (
            self.agents.incarnation(entry.owner) or entry.incarnation
        )
        header = entry.unpinned_header = self._header(key, entry, False)
        entry.epoch = self.agents.epoch
        if entry.pin:
            header = self._header(key, entry, True)
        if entry.pin or not (entry.is_coap or entry.home):
            entry.head = frames.head(header)
            entry.fast_epoch = entry.epoch
        return header

    def _header(
        self,
        key: bytes,
        entry: flow_cache.Entry,
        pinned: bool,
        elapsed_us: int = 0,
        candidates: tuple[frames.Candidate, ...] = (),
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
                elapsed_us=elapsed_us,
                candidates=candidates,
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
        self.take_view()
        view_service = self._view.service(service)
        is_coap = view_service is None or view_service.protocol == "coap"
        entry = flow_cache.Entry(
            service=service,
            owner=owner.data,
            incarnation=owner.incarnation,
            pin=b"",
            is_coap=is_coap,
            via=via,
            home=bool(candidates),
            expires_s=anyio.current_time() + HOME_S,
        )
        self._refresh(key, entry)
        self.cache.store(key, entry)
        for datagram, arrived_s in waiting:
            elapsed_s = anyio.current_time() - arrived_s
            header = self._header(
                key, entry, False, int(elapsed_s * 1e6), candidates
            )
            self._note_request(entry, datagram)
            self._send(owner.data, header, datagram)

    def answered(self, answer: frames.Answer, datagram: bytes) -> None:
        """Pass an agent's answer on to the caller and learn the owner."""
        name = self._store.view.service_at(answer.service_address)
        if name is not None and name != answer.service:
            self.drop("wrong_service")
            return
        key = flow_key.encode(answer.caller, answer.service_address)
        entry = self._learn(key, answer)
        if len(datagram) > 1 and datagram[1] >= FIRST_RESPONSE_CODE:
            entry.asked = 0
        self._answers += 1
        self._ingress.send(
            datagram, answer.caller, answer.service_address, entry.via
        )
        self._metrics.count(ANSWERED)

    def _learn(self, key: bytes, answer: frames.Answer) -> flow_cache.Entry:
        before = self.cache.get(key)
        if (
            before is not None
            and not before.home
            and before.owner == answer.owner
            and before.incarnation == answer.incarnation
            and (before.pin == answer.pin or not before.is_coap)
        ):
            return before
        self.agents.learn(answer.owner, answer.incarnation)
        self.take_view()
        service = self._view.service(answer.service)
        is_coap = service is None or service.protocol == "coap"
        entry = flow_cache.Entry(
            service=answer.service,
            owner=answer.owner,
            incarnation=answer.incarnation,
            pin=answer.pin if is_coap else b"",
            is_coap=is_coap,
            via=None if before is None else before.via,
            asked=0 if before is None else before.asked,
            epoch=self.agents.epoch,
        )
        if is_coap and not answer.pin:
            # The agent turned the request away and does not hold the flow.
            if before is not None and before.owner == answer.owner:
                del self.cache[key]
            return entry
        # Its headers are made with the flow's next datagram, after checks.
        self.cache.store(key, entry)
        return entry
