"""Receives, validates and dispatches frames on the agent's data port."""

import dataclasses

import anyio

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.agent import admission as admission_module
from bramleypin.internal.agent import flow as flow_module
from bramleypin.internal.agent import flow_placement
from bramleypin.internal.agent import flows as flows_module
from bramleypin.internal.agent import identity as identity_module
from bramleypin.internal.agent import own_endpoint as own_endpoint_module
from bramleypin.internal.agent import pause_detector
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
MAX_NOTICE_SENDERS = 4_096

# Datagrams processed before control returns to the event loop.
READ_BATCH_SIZE = 64

_DROP_DESCRIPTION_BY_REASON = {
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
        f"agent.dropped.{reason}", "counter", "datagrams", description
    )
    for reason, description in _DROP_DESCRIPTION_BY_REASON.items()
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
    """Validates frames on the data port and passes them to the flows."""

    async def start(self) -> None:
        """Look up the services that process the frames."""
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
        self._placements = flow_placement.Placements(kernel.environment.random)
        self._pause_detector = pause_detector.PauseDetector()
        self._keys = kernel.settings.key_bytes
        self._data_address = kernel.settings.addresses.data_address
        self._control_address = kernel.settings.addresses.control_address
        self._next_notice_s_by_sender: dict[address.Address, float] = {}

    async def run(self) -> None:
        """Receive frames until cancelled or the port is closed."""
        await self.kernel.started.wait()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._pause_detector.run)
            await self._read()
            tasks.cancel_scope.cancel()

    async def _read(self) -> None:
        try:
            while True:
                item = await self._port.receive()
                for _ in range(READ_BATCH_SIZE):
                    self._receive(*item)
                    item = self._port.receive_nowait()
                    if item is None:
                        self._pause_detector.on_buffer_empty()
                        break
                else:
                    self._receive(*item)
        except errors.PortClosed:
            return

    def _receive(self, data: bytes, sender: address.Address) -> None:
        if self._pause_detector.may_have_waited():
            # The datagram's waiting time in the buffer is unknown, so its
            # deadline cannot be computed.
            self._drop("paused", str(sender))
            return
        try:
            frame, sequence, payload = frames.decode(data, self._keys)
            if isinstance(frame, frames.Forward):
                self._handle_forward(frame, sequence, payload, sender)
            elif isinstance(frame, frames.Probe):
                self._handle_probe(frame, sender)
            elif isinstance(frame, frames.Notice):
                self._handle_notice(frame, sender)
            else:
                raise errors.InvalidFrame("frame_kind")
        except errors.InvalidFrame as error:
            self._drop(error.reason, str(sender))
        except (OSError, ValueError, TypeError, AttributeError) as error:
            # A peer of another version may send a signed frame with fields
            # of a wrong type, which must not end the task.
            _log.warn_throttled(
                "frame",
                "dropped a frame with a field of a wrong type or value",
                error=error,
            )
            self._drop("unexpected", str(sender))

    def _drop(self, reason: str, sender: str) -> None:
        self._metrics.count(DROPPED_BY_REASON[reason])
        self._trace.record(sender, "dropped", reason)
        _log.warn_throttled(
            f"drop {reason}", "dropped a datagram", reason=reason
        )

    def _send_notice(
        self, reason: frames.NoticeReason, sender: address.Address
    ) -> None:
        """Send a NOTICE, at most one per sender every 100 ms."""
        now = anyio.current_time()
        if now < self._next_notice_s_by_sender.get(sender, 0.0):
            return
        if len(self._next_notice_s_by_sender) >= MAX_NOTICE_SENDERS:
            self._next_notice_s_by_sender.clear()
        self._next_notice_s_by_sender[sender] = now + NOTICE_INTERVAL_S
        notice = frames.Notice(
            reason,
            self._views.view.revision,
            self._control_address,
            self._identity.incarnation,
        )
        self._metrics.count(NOTICES)
        self._port.send(self._identity.encode_frame(notice), sender)

    def _check_revision(self, revision: int, sender: address.Address) -> None:
        own_revision = self._views.view.revision
        if revision < own_revision:
            self._send_notice(frames.NoticeReason.NEWER_REVISION, sender)
        elif revision > own_revision:
            self._report_newer(revision, sender)

    def _report_newer(self, revision: int, sender: address.Address) -> None:
        """Tell the sync service to fetch a newer revision from a peer.

        The peer is the sender of the frame. The frame gives only its data
        address; its control address is looked up among the members. If the
        sender is unknown, the first known peer is used.
        """
        peers = self.kernel.get("members").peers()
        matching_peers = [item for item in peers if item.data == str(sender)]
        for peer in matching_peers or peers[:1]:
            self.kernel.get("sync").report_newer(
                revision, address.parse(peer.control)
            )

    def _check_service(
        self, frame: frames.Forward | frames.Probe, sender: address.Address
    ) -> None:
        if not self._views.view.revision:
            raise errors.InvalidFrame("no_view")
        if not self._own_endpoint.may_deliver(
            frame.service, frame.service_address
        ):
            self._send_notice(frames.NoticeReason.WRONG_SERVICE, sender)
            raise errors.InvalidFrame("wrong_service")

    def _handle_probe(
        self, frame: frames.Probe, sender: address.Address
    ) -> None:
        self._check_service(frame, sender)
        self._check_revision(frame.revision, sender)
        answer = frames.ProbeAnswer(
            probe_id=frame.probe_id,
            holds=self._flows.accepts_unpinned(
                (frame.service_address, frame.caller)
            ),
            state=self._flows.state(),
            load=self._admission.load(),
            revision=self._views.view.revision,
            incarnation=self._identity.incarnation,
        )
        self._port.send(self._identity.encode_frame(answer), sender)

    def _handle_notice(
        self, frame: frames.Notice, sender: address.Address
    ) -> None:
        if frame.revision > self._views.view.revision:
            self.kernel.get("sync").report_newer(frame.revision, frame.control)
        if frame.reason is not frames.NoticeReason.NEWER_REVISION:
            self._placements.remove_agent(sender)

    def _handle_forward(
        self,
        frame: frames.Forward,
        sequence: int,
        payload: bytes,
        sender: address.Address,
    ) -> None:
        self._check_service(frame, sender)
        if self._own_endpoint.is_out():
            self._send_notice(frames.NoticeReason.FAILURE_DOMAIN_OUT, sender)
            raise errors.InvalidFrame("domain_out")
        if frame.incarnation != self._identity.incarnation:
            self._send_notice(frames.NoticeReason.STALE_INCARNATION, sender)
            raise errors.InvalidFrame("stale_incarnation")
        if not self._replay.accept(frame.nonce, sequence):
            raise errors.InvalidFrame("replayed")
        self._check_revision(frame.revision, sender)
        datagram = flow_module.InboundDatagram(
            frame, payload, anyio.current_time()
        )
        if self._own_endpoint.is_datagram_service():
            self._deliver_datagram(datagram, sender)
        else:
            self._deliver_coap(datagram, sender)

    def _deliver_datagram(
        self, datagram: flow_module.InboundDatagram, sender: address.Address
    ) -> None:
        if self._flows.holds(datagram.key):
            self._flows.deliver(datagram)
        else:
            self._open_flow(datagram, sender)

    def _deliver_coap(
        self, datagram: flow_module.InboundDatagram, sender: address.Address
    ) -> None:
        message = coap.decode(datagram.data)
        pin = self._identity.check_pin(coap.option(message, coap.ECHO))
        datagram = dataclasses.replace(datagram, message=message, pin=pin)
        if not coap.is_request(int(message.code)):
            self._handle_acknowledgement(datagram)
            return
        flow_held = self._flows.holds(datagram.key)
        if pin.status in (_Status.FRESH, _Status.STALE):
            flow_held = self._flows.holds_pinned(pin)
            self._flows.deliver(
                dataclasses.replace(datagram, flow_held=flow_held)
            )
        elif flow_held:
            self._flows.deliver(dataclasses.replace(datagram, flow_held=True))
        elif pin.status is _Status.FOREIGN and self._handles_foreign_pin(
            datagram
        ):
            self._flows.deliver(datagram)
        else:
            self._open_flow(datagram, sender)

    def _handle_acknowledgement(
        self, datagram: flow_module.InboundDatagram
    ) -> None:
        """Match an ACK or RST here, or forward it to the flow's agent."""
        if self._flows.match_acknowledgement(datagram):
            return
        chosen = self._placements.get(datagram.key)
        if not datagram.forward.open or chosen is None:
            raise errors.InvalidFrame("no_request")
        if chosen.data != self._data_address:
            self._forward_to(datagram, chosen)

    def _handles_foreign_pin(
        self, datagram: flow_module.InboundDatagram
    ) -> bool:
        """Return whether to handle a request whose pin was not issued here.

        Any agent answers a non-idempotent request with "unknown". An
        idempotent request is adopted by the next incarnation of the agent
        that issued the pin; ``pinned`` marks frames that were routed by their
        pin.
        """
        if datagram.forward.pinned:
            return True
        return not self._flows.request_handler.is_idempotent(datagram.message)

    def _open_flow(
        self, datagram: flow_module.InboundDatagram, sender: address.Address
    ) -> None:
        if datagram.forward.open:
            self._place_flow(datagram)
        elif self._flows.state() in (frames.State.DRAINING, frames.State.OUT):
            # The sender's flow cache is stale. The notice makes the sender
            # drop the entry, so that the flow is opened at another agent.
            self._send_notice(frames.NoticeReason.STALE_INCARNATION, sender)
            self._refuse_new_flow(
                datagram,
                "the endpoint is leaving",
                request_runner_module.RETRY_ELSEWHERE_AFTER_S,
            )
        else:
            self._flows.deliver(datagram)

    def _refuse_new_flow(
        self,
        datagram: flow_module.InboundDatagram,
        reason: str = "no endpoint is free; try later",
        max_age_s: int = request_runner_module.RETRY_AFTER_S,
    ) -> None:
        if datagram.message is None:
            raise errors.InvalidFrame("not_admitting")
        self._trace.record(datagram.flow_label, "refused", "not_admitting")
        self._flows.request_handler.refuse(0, datagram, reason, max_age_s)

    def _place_flow(self, datagram: flow_module.InboundDatagram) -> None:
        """Place a new flow as its home agent.

        Only a frame with ``open`` is forwarded, and ``open`` is cleared, so
        that a frame passes through at most two agents.
        """
        frame_candidates = datagram.forward.candidates
        candidates = tuple(
            self._refresh_if_own(item)
            for item in frame_candidates
            if self._own_endpoint.may_receive_new_flows(item.data)
        )
        chosen = self._placements.get(datagram.key, candidates)
        reason = "decided_before"
        if chosen is None:
            if not frame_candidates:
                candidates = (self._own_candidate(),)
            chosen = self._placements.place(datagram.key, candidates)
            reason = "least_loaded"
        if chosen is None:
            self._refuse_new_flow(datagram)
            return
        self._trace.record(
            datagram.flow_label, "home", f"{reason} {chosen.data}"
        )
        if chosen.data == self._data_address:
            self._flows.deliver(datagram)
        else:
            self._forward_to(datagram, chosen)

    def _refresh_if_own(self, candidate: frames.Candidate) -> frames.Candidate:
        """Return the candidate, with current values if it is this agent."""
        if candidate.data != self._data_address:
            return candidate
        return self._own_candidate()

    def _own_candidate(self) -> frames.Candidate:
        return frames.Candidate(
            self._data_address,
            self._flows.state(),
            self._admission.load(),
            self._identity.incarnation,
        )

    def _forward_to(
        self, datagram: flow_module.InboundDatagram, chosen: frames.Candidate
    ) -> None:
        forward = dataclasses.replace(
            datagram.forward,
            nonce=self._identity.nonce,
            incarnation=chosen.incarnation,
            revision=self._views.view.revision,
            open=False,
            elapsed_us=int(datagram.elapsed_s() * 1e6),
            candidates=(),
        )
        self._port.send(
            self._identity.encode_frame(forward, datagram.data), chosen.data
        )
