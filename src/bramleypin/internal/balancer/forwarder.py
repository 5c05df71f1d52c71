"""Forwards callers' datagrams to the owners of their flows.

A datagram of a cached flow costs a dictionary lookup, a comparison and a
MAC. All other datagrams are validated first.
"""

import dataclasses

import anyio

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.balancer import agents as agents_module
from bramleypin.internal.balancer import answers
from bramleypin.internal.balancer import drops
from bramleypin.internal.balancer import fast_path
from bramleypin.internal.balancer import flow_cache
from bramleypin.internal.balancer import flow_key
from bramleypin.internal.balancer import inspection
from bramleypin.internal.balancer import refusals
from bramleypin.internal.balancer import routes as routes_module
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.model import view as view_module
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics as metrics_module
from bramleypin.internal.wire import coap
from bramleypin.internal.wire import frames
from bramleypin.internal.wire import mac
from bramleypin.internal.wire import proxy_header

DRAIN_TIMEOUT_S = 120.0
DRAIN_QUIET_PERIOD_S = 1.0
TICK_S = 30.0
# Requests expire after 120 to 150 s; a caller waits for at most 120 s.
REQUEST_EXPIRY_TICKS = 5
# The home agent keeps its decision for 30 s. Datagrams are sent to it for 2 s;
# later ones cause a new probe, which finds the owner once it holds the flow.
HOME_ENTRY_TTL_S = 2.0

FORWARDED = metrics_module.declare(
    "balancer.forwarded",
    "counter",
    "datagrams",
    "sent to the owner of their flow",
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


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A caller's datagram with the service that it is addressed to."""

    key: bytes
    service_address: address.Address
    datagram: bytes
    via: address.Address | None
    service: view_module.ServiceView


@kernel_module.service(
    "forwarder",
    roles=("balancer",),
    needs=(
        "port",
        "view",
        "lease",
        "metrics",
        "trace",
        "outcomes",
        "status",
        "ingress",
        "openings",
    ),
)
class Forwarder(kernel_module.Service):
    """Routes each datagram to an agent; holds the flow cache."""

    async def start(self) -> None:
        """Set up the routes, the flow cache and the relay of answers."""
        kernel = self.kernel
        self._keys = kernel.settings.key_bytes
        self._port = kernel.get("port")
        self._lease = kernel.get("lease")
        self._metrics = kernel.get("metrics")
        self._trace = kernel.get("trace")
        self._outcomes = kernel.get("outcomes")
        self._ingress = kernel.get("ingress")
        self._openings = kernel.get("openings")
        self.sequence = 0
        self.agents = agents_module.AgentTable()
        self.routes = routes_module.Routes(kernel, self.agents)
        self.cache = flow_cache.FlowCache(kernel.settings.limits.flow_cache)
        # Starts so high that a ``request_tick`` of 0 counts as expired.
        self.tick = REQUEST_EXPIRY_TICKS
        self.draining = False
        self._fast_path = fast_path.FastPath(self, self._keys[0])
        self.answers = answers.AnswerRelay(kernel, self)
        kernel.get("status").register("balancer", self._status)

    async def run(self) -> None:
        """Advance the tick counter that expires unanswered requests."""
        while True:
            await anyio.sleep(TICK_S)
            self.tick += 1

    async def drain(self) -> None:
        """Stop opening flows and wait until no answer is outstanding.

        Further answers may follow a flow's first one, as a flow may have
        several requests at once (one by default in RFC 7252). Draining thus
        lasts until a second passes without an answer, and at most 120 s.
        """
        self.draining = True
        with anyio.move_on_after(DRAIN_TIMEOUT_S):
            previous = -1
            while previous != self.answers.count or self.outstanding_flows():
                previous = self.answers.count
                await anyio.sleep(DRAIN_QUIET_PERIOD_S)

    def outstanding_flows(self) -> int:
        """Return the number of flows that await an answer or are opening."""
        expiry = self.tick - REQUEST_EXPIRY_TICKS
        waiting = sum(
            entry.request_tick > expiry for entry in self.cache.values()
        )
        return waiting + len(self._openings)

    def _status(self) -> dict[str, object]:
        return {
            "flows_cached": len(self.cache),
            "flows_outstanding": self.outstanding_flows(),
            "suspects": self.agents.suspect_addresses(),
            "draining": self.draining,
        }

    def drop(self, reason: str, n: int = 1) -> None:
        """Count dropped datagrams and log the reason at a limited rate."""
        drops.count(self._metrics, reason, n)
        _log.warn_throttled(reason, "dropped a datagram", reason=reason)

    def handle(
        self,
        datagram: bytes,
        caller: address.Address,
        service_address: address.Address,
        via: address.Address | None = None,
    ) -> None:
        """Forward a caller's datagram, open its flow, or drop it."""
        key = flow_key.encode(caller, service_address)
        self.handle_burst([(key + datagram, via)])

    def handle_burst(self, datagrams: fast_path.ProxiedDatagrams) -> None:
        """Handle up to ``fast_path.MAX_BURST`` datagrams with their sources.

        Each datagram starts with its flow key, which is a PROXY v2 header.
        """
        self._fast_path.forward(datagrams)

    def send_burst(self, burst: list[tuple[bytes, address.Address]]) -> None:
        """Send frames, or drop them if the lease is not valid."""
        if not self._lease.is_valid():
            self.drop("no_lease", len(burst))
            return
        failures = self._port.send_burst(burst)
        self._metrics.count(FORWARDED, len(burst) - failures)
        if failures:
            self.drop("not_sent", failures)

    def handle_proxied(self, data: bytes, via: address.Address | None) -> None:
        """Handle a datagram that the fast path cannot forward."""
        try:
            key = data[: flow_key.KEY_BYTES]
            service_address = flow_key.decode(key)[1]
            datagram = data[flow_key.KEY_BYTES :]
            if len(datagram) > frames.MAX_DATAGRAM_BYTES:
                self.drop("oversized")
            elif not self._lease.is_valid():
                self.drop("no_lease")
            else:
                self._handle_slow_path(key, service_address, datagram, via)
        except errors.InvalidFrame as error:
            self.drop(error.reason)

    def _handle_slow_path(
        self,
        key: bytes,
        service_address: address.Address,
        datagram: bytes,
        via: address.Address | None,
    ) -> None:
        view = self.routes.view
        service_name = view.service_at(service_address)
        service = None if service_name is None else view.service(service_name)
        if service is None:
            self.drop("unknown_address")
            return
        arrival = Arrival(key, service_address, datagram, via, service)
        if service.protocol != "coap":
            self._forward_without_pin(arrival, True)
            return
        inspected = inspection.inspect(datagram, service.name, self._keys)
        if inspected.has_invalid_pin:
            self._metrics.count(INVALID_PIN)
            self._trace.record(flow_key.to_text(key), "ignore pin", "invalid")
        pin = inspected.pin
        if pin is None:
            self._forward_without_pin(arrival, coap.is_request(inspected.code))
        elif self.routes.is_owner_out(
            service, pin.owner, pin.failure_domain_code
        ):
            self._handle_pin_to_out_domain(arrival, inspected.code)
        else:
            self._forward_with_pin(arrival, inspected)

    def _forward_with_pin(
        self, arrival: Arrival, inspected: inspection.Inspection
    ) -> None:
        """Send a datagram to the owner that its pin names."""
        pin = inspected.pin
        route = self.routes.get(
            arrival.service,
            arrival.service_address,
            pin.owner,
            pin.incarnation,
        )
        self.routes.refresh(route)
        entry = self.cache.get(arrival.key)
        if (
            entry is None
            or entry.route is not route
            or entry.pin != inspected.pin_bytes
        ):
            entry = flow_cache.Entry(route, inspected.pin_bytes, 0)
            self.cache.store(arrival.key, entry)
            self._trace.record(
                flow_key.to_text(arrival.key), f"forward to {pin.owner}", "pin"
            )
        self._send_with_prefix(arrival, entry, route.frame_prefix)

    def _forward_without_pin(self, arrival: Arrival, may_open: bool) -> None:
        """Send a datagram to the cached owner, or open its flow."""
        entry = self.cache.get(arrival.key)
        if entry is not None and not self._is_usable(entry):
            del self.cache[arrival.key]
            entry = None
        if entry is not None and entry.is_home:
            forward = self.routes.build_forward(
                entry.route, flow_key.decode(arrival.key)[0], opening=True
            )
            self._record_use(arrival, entry)
            self._send(entry.route.owner, forward, arrival.datagram)
        elif entry is not None:
            self._send_with_prefix(arrival, entry, entry.route.unpinned_prefix)
        elif self.draining:
            self.drop("draining")
        else:
            self._start_opening(arrival, may_open)

    def _start_opening(self, arrival: Arrival, may_open: bool) -> None:
        if arrival.service.protocol == "coap":
            # Invalid messages cause no probes; decoding costs far less.
            coap.decode(arrival.datagram)
        self._openings.enqueue(
            arrival.key,
            arrival.datagram,
            arrival.via,
            arrival.service.name,
            may_open,
        )

    def _is_usable(self, entry: flow_cache.Entry) -> bool:
        """Return whether a cached entry may be used without a pin."""
        if entry.is_home and anyio.current_time() >= entry.expires_s:
            return False
        return self.routes.validate(entry.route)

    def _record_use(self, arrival: Arrival, entry: flow_cache.Entry) -> None:
        entry.referenced = True
        entry.via = arrival.via
        if entry.route.is_coap and coap.is_request(arrival.datagram[1]):
            entry.request_tick = self.tick

    def _send_with_prefix(
        self, arrival: Arrival, entry: flow_cache.Entry, frame_prefix: bytes
    ) -> None:
        """Send a datagram as a FORWARD that starts with an encoded prefix."""
        self._record_use(arrival, entry)
        self.sequence += 1
        body = b"%b%b%b%b" % (
            frames.SEQUENCE.pack(self.sequence),
            frame_prefix,
            arrival.key[-proxy_header.ADDRESS_BYTES :],
            arrival.datagram,
        )
        frame = mac.sign(self._keys[0], body) + body
        self.send_burst([(frame, entry.route.owner)])

    def _handle_pin_to_out_domain(self, arrival: Arrival, code: int) -> None:
        """Handle a pin whose owner is in a failure domain that is out.

        The owner may have run an earlier copy, so a request that must not run
        twice is answered "unknown" and not sent to another agent. A later
        block continues a transfer to the owner; the caller must restart it.
        """
        flow = flow_key.to_text(arrival.key)
        if not coap.is_request(code):
            self.drop("not_a_request")
        elif inspection.must_run_at_most_once(code, arrival.service):
            self._trace.record(flow, "answer unknown", "domain out")
            self.refuse(
                arrival.key, arrival.datagram, arrival.via, refusals.DOMAIN_OUT
            )
        elif inspection.block_number(arrival.datagram) > 0:
            self._trace.record(flow, "answer incomplete", "domain out")
            self.refuse(
                arrival.key, arrival.datagram, arrival.via, refusals.INCOMPLETE
            )
        else:
            self._trace.record(flow, "open anew", "domain out")
            self._forward_without_pin(arrival, True)

    def refuse(
        self,
        key: bytes,
        datagram: bytes,
        via: address.Address | None,
        refusal: refusals.Refusal,
    ) -> None:
        """Answer a request with an error response and count its outcome."""
        try:
            answer = refusal.build_answer(datagram)
        except errors.InvalidFrame as error:
            self.drop(error.reason)
            return
        self._metrics.count(REFUSED)
        caller, service_address = flow_key.decode(key)
        service_name = self.routes.view.service_at(service_address)
        if service_name is not None:
            outcome = refusal.outcome.name.lower()
            self._outcomes.record(service_name, outcome, 0.0)
        self._ingress.send(answer, caller, service_address, via)

    def finish_opening(
        self,
        key: bytes,
        service: view_module.ServiceView,
        owner: frames.Candidate,
        candidates: tuple[frames.Candidate, ...],
        waiting: list[tuple[bytes, float]],
        via: address.Address | None,
    ) -> None:
        """Send an opening's waiting datagrams to the owner or the home agent.

        Without ``candidates``, ``owner`` holds the flow; otherwise it is the
        home agent. ``waiting`` pairs datagrams with arrival times in seconds.
        """
        self.routes.refresh_view()
        caller, service_address = flow_key.decode(key)
        route = self.routes.get(
            service, service_address, owner.data, owner.incarnation
        )
        self.routes.refresh(route)
        now = anyio.current_time()
        entry = flow_cache.Entry(
            route, is_home=bool(candidates), expires_s=now + HOME_ENTRY_TTL_S
        )
        if not (route.is_coap or entry.is_home):
            entry.pin_offset = 0
        self.cache.store(key, entry)
        for datagram, arrived_s in waiting:
            forward = self.routes.build_forward(
                route,
                caller,
                opening=entry.is_home,
                elapsed_us=int((now - arrived_s) * 1e6),
                candidates=candidates,
            )
            arrival = Arrival(key, service_address, datagram, via, service)
            self._record_use(arrival, entry)
            self._send(route.owner, forward, datagram)

    def _send(
        self, owner: address.Address, forward: frames.Forward, datagram: bytes
    ) -> None:
        self.sequence += 1
        frame = frames.encode(forward, self._keys[0], self.sequence, datagram)
        self.send_burst([(frame, owner)])
