"""Reads the data port of an agent: checks frames and dispatches them."""

import dataclasses

import anyio

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.agent import admission as admission_module
from bramleypin.internal.agent import flow as flow_module
from bramleypin.internal.agent import flows as flows_module
from bramleypin.internal.agent import identity as identity_module
from bramleypin.internal.agent import opening
from bramleypin.internal.agent import own_endpoint as own_endpoint_module
from bramleypin.internal.agent import pauses
from bramleypin.internal.agent import request_runner as request_runner_module
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.wire import coap
from bramleypin.internal.wire import frames
from bramleypin.internal.wire import replay

_log = logs.get("agent")
_Status = identity_module.PinStatus

NOTICE_INTERVAL_S = 0.1
NOTICES_KEPT = 4_096

# Datagrams read in one go before other tasks get a turn.
BATCH = 64

_DROP_MEANING_BY_REASON = {
    "frame_truncated": "The frame was cut short.",
    "frame_mac": "No valid key gives the frame's MAC.",
    "frame_fields": "The header has a wrong number of fields.",
    "frame_header": "The header cannot be decoded.",
    "frame_kind": "An agent does not take frames of this kind.",
    "no_view": "No configuration has been accepted yet.",
    "domain_out": "The agent's failure domain is out of service.",
    "wrong_service": "The datagram is for another service or address.",
    "stale_incarnation": "The frame is for another incarnation.",
    "replayed": "The frame was seen before or is too old.",
    "coap_format": "The caller's datagram is no CoAP message.",
    "no_request": "The message is no request and confirms no answer.",
    "paused": "It waited in a buffer while the process was paused.",
    "unexpected": "A field of a signed frame had a wrong type.",
    "not_admitting": "A new flow came while none is taken.",
}
DROPPED_BY_REASON = {
    reason: metrics.declare(
        f"agent.dropped.{reason}", "counter", "datagrams", meaning
    )
    for reason, meaning in _DROP_MEANING_BY_REASON.items()
}
NOTICES = metrics.declare(
    "agent.notices", "counter", "frames", "NOTICE frames sent."
)


@kernel_module.service(
    "frames",
    roles=("agent",),
    needs=(
        "port",
        "identity",
        "view",
        "members",
        "sync",
        "metrics",
        "trace",
        "flows",
    ),
)
class Receiver(kernel_module.Service):
    """The receiver of the data port for the role agent."""

    async def start(self) -> None:
        """Look up the services that take the frames."""
        kernel = self.kernel
        self._port = kernel.get("port")
        self._identity: identity_module.Identity = kernel.get("identity")
        self._flows: flows_module.Flows = kernel.get("flows")
        self._admission: admission_module.Admission = kernel.get("admission")
        self._metrics = kernel.get("metrics")
        self._trace = kernel.get("trace")
        self._views = kernel.get("view")
        self._own_endpoint = own_endpoint_module.OwnEndpoint(kernel)
        self._replay = replay.ReplayFilter()
        self._decisions = opening.Decisions(kernel.environment.random)
        self._pauses = pauses.Pauses()
        self._keys = kernel.settings.key_bytes
        self._data = kernel.settings.addresses.data_address
        self._control = kernel.settings.addresses.control_address
        self._next_notice_by_sender: dict[address.Address, float] = {}

    async def run(self) -> None:
        """Read frames until cancelled."""
        await self.kernel.started.wait()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._pauses.run)
            await self._read()
            tasks.cancel_scope.cancel()

    async def _read(self) -> None:
        try:
            while True:
                item = await self._port.receive()
                for _ in range(BATCH):
                    self._receive(*item)
                    item = self._port.receive_nowait()
                    if item is None:
                        self._pauses.buffer_is_empty()
                        break
                else:
                    self._receive(*item)
        except errors.PortClosed:
            return

    def _receive(self, data: bytes, sender: address.Address) -> None:
        if self._pauses.was_paused():
            # Nobody measured how long it waited, so its deadline is unknown.
            self._drop("paused", str(sender))
            return
        try:
            frame, sequence, payload = frames.decode(data, self._keys)
            if isinstance(frame, frames.Forward):
                self._forward(frame, sequence, payload, sender)
            elif isinstance(frame, frames.Probe):
                self._probe(frame, sender)
            elif isinstance(frame, frames.Notice):
                self._notice(frame, sender)
            else:
                raise errors.InvalidFrame("frame_kind")
        except errors.InvalidFrame as error:
            self._drop(error.reason, str(sender))
        except (OSError, ValueError, TypeError, AttributeError) as error:
            # A signed frame with fields of a wrong type, from a peer of
            # another version, must not end the task.
            _log.warn_throttled(
                "frame", "a frame caused an error", error=error
            )
            self._drop("unexpected", str(sender))

    def _drop(self, reason: str, flow: str) -> None:
        self._metrics.count(DROPPED_BY_REASON[reason])
        self._trace.record(flow, "dropped", reason)
        _log.warn_throttled(
            f"drop {reason}", "dropped a datagram", reason=reason
        )

    def _send_notice(
        self, reason: frames.Reason, sender: address.Address
    ) -> None:
        """Send a NOTICE, at most one per sender each 100 ms."""
        now = anyio.current_time()
        if now < self._next_notice_by_sender.get(sender, 0.0):
            return
        if len(self._next_notice_by_sender) >= NOTICES_KEPT:
            self._next_notice_by_sender.clear()
        self._next_notice_by_sender[sender] = now + NOTICE_INTERVAL_S
        notice = frames.Notice(
            reason,
            self._views.view.revision,
            self._control,
            self._identity.incarnation,
        )
        self._metrics.count(NOTICES)
        self._port.send(self._identity.seal(notice), sender)

    def _compare_revision(
        self, revision: int, sender: address.Address
    ) -> None:
        own = self._views.view.revision
        if revision < own:
            self._send_notice(frames.Reason.NEWER_REVISION, sender)
        elif revision > own:
            self._fetch_newer(revision, sender)

    def _fetch_newer(self, revision: int, sender: address.Address) -> None:
        """Fetch a revision from its sender, or from another known process.

        The frame names the sender's data address only.
        """
        peers = self.kernel.get("members").peers()
        same = [item for item in peers if item.data == str(sender)]
        for peer in same or peers[:1]:
            self.kernel.get("sync").report_newer(
                revision, address.parse(peer.control)
            )

    def _check_service(
        self,
        frame: frames.Forward | frames.Probe,
        sender: address.Address,
    ) -> None:
        if not self._views.view.revision:
            raise errors.InvalidFrame("no_view")
        if not self._own_endpoint.may_deliver(
            frame.service, frame.service_address
        ):
            self._send_notice(frames.Reason.WRONG_SERVICE, sender)
            raise errors.InvalidFrame("wrong_service")

    def _probe(self, frame: frames.Probe, sender: address.Address) -> None:
        self._check_service(frame, sender)
        self._compare_revision(frame.revision, sender)
        answer = frames.ProbeAnswer(
            probe_id=frame.probe_id,
            holds=self._flows.keeps((frame.service_address, frame.caller)),
            state=self._flows.state(),
            load=self._admission.load(),
            revision=self._views.view.revision,
            incarnation=self._identity.incarnation,
        )
        self._port.send(self._identity.seal(answer), sender)

    def _notice(self, frame: frames.Notice, sender: address.Address) -> None:
        if frame.revision > self._views.view.revision:
            self.kernel.get("sync").report_newer(frame.revision, frame.control)
        if frame.reason is not frames.Reason.NEWER_REVISION:
            self._decisions.forget_agent(sender)

    def _forward(
        self,
        frame: frames.Forward,
        sequence: int,
        payload: bytes,
        sender: address.Address,
    ) -> None:
        self._check_service(frame, sender)
        if self._own_endpoint.is_out():
            self._send_notice(frames.Reason.FAILURE_DOMAIN_OUT, sender)
            raise errors.InvalidFrame("domain_out")
        if frame.incarnation != self._identity.incarnation:
            self._send_notice(frames.Reason.STALE_INCARNATION, sender)
            raise errors.InvalidFrame("stale_incarnation")
        if not self._replay.accept(frame.nonce, sequence):
            raise errors.InvalidFrame("replayed")
        self._compare_revision(frame.revision, sender)
        arrival = flow_module.Arrival(frame, payload, anyio.current_time())
        if self._own_endpoint.is_datagram_service():
            self._deliver_datagram(arrival, sender)
        else:
            self._deliver_coap(arrival, sender)

    def _deliver_datagram(
        self, arrival: flow_module.Arrival, sender: address.Address
    ) -> None:
        if self._flows.holds(arrival.key):
            self._flows.deliver(arrival)
        else:
            self._open(arrival, sender)

    def _deliver_coap(
        self, arrival: flow_module.Arrival, sender: address.Address
    ) -> None:
        message = coap.decode(arrival.data)
        pin = self._identity.check_pin(coap.option(message, coap.ECHO))
        arrival = dataclasses.replace(arrival, message=message, pin=pin)
        if not coap.is_request(int(message.code)):
            self._confirm(arrival)
            return
        held = self._flows.holds(arrival.key)
        if pin.status in (_Status.FRESH, _Status.STALE):
            held = self._flows.has_pinned(pin)
            self._flows.deliver(dataclasses.replace(arrival, held=held))
        elif held:
            self._flows.deliver(dataclasses.replace(arrival, held=True))
        elif pin.status is _Status.FOREIGN and self._stays_here(arrival):
            self._flows.deliver(arrival)
        else:
            self._open(arrival, sender)

    def _confirm(self, arrival: flow_module.Arrival) -> None:
        """Pass an ACK to the answer that waits for it, here or elsewhere."""
        if self._flows.confirm(arrival):
            return
        chosen = self._decisions.get(arrival.key)
        if not arrival.forward.open or chosen is None:
            raise errors.InvalidFrame("no_request")
        if chosen.data != self._data:
            self._pass_on(arrival, chosen)

    def _stays_here(self, arrival: flow_module.Arrival) -> bool:
        """Tell whether a request under an older pin is handled here.

        A non-idempotent one is answered "unknown" by any agent; an
        idempotent one is adopted by its own endpoint's next incarnation.
        """
        if arrival.forward.pinned:
            return True
        return not self._flows.rules.is_idempotent(arrival.message)

    def _open(
        self, arrival: flow_module.Arrival, sender: address.Address
    ) -> None:
        if arrival.forward.open:
            self._decide(arrival)
        elif self._flows.state() in (frames.State.DRAINING, frames.State.OUT):
            # The sender's cache is old; without it the flow is opened anew.
            self._send_notice(frames.Reason.STALE_INCARNATION, sender)
            self._turn_away(
                arrival,
                "the endpoint is leaving",
                request_runner_module.MOVED_AFTER_S,
            )
        else:
            self._flows.deliver(arrival)

    def _turn_away(
        self,
        arrival: flow_module.Arrival,
        reason: str = "no endpoint is free; try later",
        max_age_s: int = request_runner_module.RETRY_AFTER_S,
    ) -> None:
        if arrival.message is None:
            raise errors.InvalidFrame("not_admitting")
        self._trace.record(arrival.flow_text, "refused", "not_admitting")
        self._flows.rules.refuse(0, arrival, reason, max_age_s)

    def _decide(self, arrival: flow_module.Arrival) -> None:
        """Choose the endpoint of a new flow, as its home.

        Only a frame with ``open`` is passed on, and without ``open``, so that
        it goes through two agents at most.
        """
        offered = arrival.forward.candidates
        current = tuple(
            self._refreshed(item)
            for item in offered
            if self._own_endpoint.takes_new_flows(item.data)
        )
        chosen = self._decisions.get(arrival.key, current)
        reason = "decided_before"
        if chosen is None:
            if not offered:
                current = (self._own_candidate(),)
            chosen = self._decisions.decide(arrival.key, current)
            reason = "least_loaded"
        if chosen is None:
            self._turn_away(arrival)
            return
        self._trace.record(
            arrival.flow_text, "home", f"{reason} {chosen.data}"
        )
        if chosen.data == self._data:
            self._flows.deliver(arrival)
        else:
            self._pass_on(arrival, chosen)

    def _refreshed(self, candidate: frames.Candidate) -> frames.Candidate:
        """Return a candidate with this agent's own load as it is now."""
        if candidate.data != self._data:
            return candidate
        return self._own_candidate()

    def _own_candidate(self) -> frames.Candidate:
        return frames.Candidate(
            self._data,
            self._flows.state(),
            self._admission.load(),
            self._identity.incarnation,
        )

    def _pass_on(
        self, arrival: flow_module.Arrival, chosen: frames.Candidate
    ) -> None:
        forward = dataclasses.replace(
            arrival.forward,
            nonce=self._identity.nonce,
            incarnation=chosen.incarnation,
            revision=self._views.view.revision,
            open=False,
            elapsed_us=int(arrival.elapsed_s() * 1e6),
            candidates=(),
        )
        self._port.send(
            self._identity.seal(forward, arrival.data), chosen.data
        )
