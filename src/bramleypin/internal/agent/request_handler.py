"""Request handling: pin checks, duplicates and cancellations."""

import typing

import anyio

from bramleypin.internal.agent import flow as flow_module
from bramleypin.internal.agent import identity as identity_module
from bramleypin.internal.agent import replies as replies_module
from bramleypin.internal.agent import request_execution
from bramleypin.internal.agent import request_runner as request_runner_module
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import metrics
from bramleypin.internal.wire import coap

_Status = identity_module.PinStatus

TABLE_FULL = metrics.declare(
    "agent.records.full",
    "counter",
    "requests",
    "Requests shed because the request table was full.",
)
DUPLICATES = metrics.declare(
    "agent.requests.duplicates",
    "counter",
    "datagrams",
    "Copies of requests that were seen before.",
)
WITHOUT_PIN = metrics.declare(
    "agent.requests.without_pin",
    "counter",
    "requests",
    "Non-idempotent requests answered 4.01 with a pin.",
)

StartTask = typing.Callable[..., None]


class RequestHandler:
    """Starts, answers or refuses each received request.

    ``start_task`` starts a task from a coroutine function and its arguments.
    """

    def __init__(
        self,
        kernel: kernel_module.Kernel,
        replies: replies_module.ReplySender,
        records: request_execution.RecordTable,
        runner: request_runner_module.RequestRunner,
        start_task: StartTask,
    ):
        self._admission = kernel.get("admission")
        self._identity: identity_module.Identity = kernel.get("identity")
        self._metrics = kernel.get("metrics")
        self._trace = kernel.get("trace")
        self._replies = replies
        self._records = records
        self._runner = runner
        self._start_task = start_task

    def handle(
        self, flow: flow_module.Flow, datagram: flow_module.InboundDatagram
    ) -> None:
        """Process a request, a duplicate or a cancellation."""
        message = datagram.message
        record = self._records.get((flow.flow_id, message.token))
        if coap.option(message, coap.CANCEL) is not None:
            self._handle_cancel(flow, datagram, record)
        elif record is not None:
            self._handle_duplicate(flow, datagram, record)
        else:
            self._start_request(flow, datagram)

    def refuse(
        self,
        flow_id: int,
        datagram: flow_module.InboundDatagram,
        reason: str,
        max_age_s: int = request_runner_module.RETRY_AFTER_S,
    ) -> None:
        """Answer "not run" to a request that has no flow, and close it."""
        message = datagram.message
        key = (flow_id, message.token)
        answer = request_runner_module.not_run(reason, max_age_s)
        is_fresh = datagram.pin.status is _Status.FRESH
        if is_fresh and self._records.get(key) is None:
            self._close_unrecorded(flow_id, datagram, answer)
        if max_age_s != request_runner_module.RETRY_ELSEWHERE_AFTER_S:
            self._runner.count_refusal()
        self._answer_unrecorded(datagram, answer)

    def is_idempotent(self, message: coap.Message) -> bool:
        """Return whether a request can safely run more than once."""
        method = coap.method_name(int(message.code))
        if self._admission.own_endpoint.is_run_once(method):
            return False
        return method in coap.IDEMPOTENT_METHODS

    def _new_record(
        self, flow_id: int, datagram: flow_module.InboundDatagram
    ) -> request_execution.Record:
        message = datagram.message
        requested_ms = coap.uint_option(message, coap.DEADLINE)
        time_limit_s = coap.MAX_DEADLINE_S
        if requested_ms is not None:
            time_limit_s = min(time_limit_s, requested_ms / 1000)
        now = anyio.current_time()
        return request_execution.Record(
            key=(flow_id, message.token),
            digest=request_execution.content_digest(message),
            method=coap.method_name(int(message.code)),
            idempotent=self.is_idempotent(message),
            first_seen_s=now,
            deadline_s=now + time_limit_s - datagram.elapsed_s(),
            reply_route=replies_module.reply_route_for(datagram),
            renew_pin=self._needs_pin(datagram),
        )

    def _needs_pin(self, datagram: flow_module.InboundDatagram) -> bool:
        check = datagram.pin
        if check.status is not _Status.FRESH:
            return True
        age_s = self._identity.uptime_s() - check.issued_s
        return age_s > identity_module.PIN_LIFETIME_S / 2

    def _start_request(
        self, flow: flow_module.Flow, datagram: flow_module.InboundDatagram
    ) -> None:
        record = self._new_record(flow.flow_id, datagram)
        refusal = self._check_pin(flow, datagram, record)
        if refusal is not None:
            self._answer_unrecorded(datagram, refusal, flow)
            return
        continues = _continues_transfer(datagram.message)
        if continues and not datagram.flow_held:
            self._answer_unrecorded(
                datagram, self._incomplete_transfer(), flow
            )
            return
        if self._admission.draining and not continues:
            self._refuse_while_draining(
                flow, datagram, record, "the endpoint is leaving"
            )
            return
        if not self._records.add(record):
            self._metrics.count(TABLE_FULL)
            self._identity.revoke_pins()
            self._answer_unrecorded(
                datagram, request_runner_module.not_run("too many requests")
            )
            return
        if record.reply_route.confirmable:
            self._replies.schedule_empty_ack(flow, record)
        self._start_task(self._runner.run, flow, record, datagram.message)

    def _check_pin(
        self,
        flow: flow_module.Flow,
        datagram: flow_module.InboundDatagram,
        record: request_execution.Record,
    ) -> coap.Message | None:
        """Return the refusal if a non-idempotent request has no fresh pin.

        Returns ``None`` if the request may run.
        """
        if record.idempotent or datagram.pin.status is _Status.FRESH:
            return None
        if datagram.pin.status is _Status.FOREIGN:
            answer = request_runner_module.unknown("the agent has restarted")
        elif self._identity.is_revoked(self._identity.uptime_s()):
            # A pin issued now would be revoked as well, because issue times
            # are whole seconds, so a 4.01 answer would not help.
            return request_runner_module.not_run("too many requests")
        else:
            self._metrics.count(WITHOUT_PIN)
            answer = request_runner_module.system_answer(
                coap.UNAUTHORIZED,
                coap.Outcome.NOT_RUN,
                "repeat the request with the Echo option",
            )
        coap.set_option(answer, coap.ECHO, self._replies.current_pin(flow))
        return answer

    def _incomplete_transfer(self) -> coap.Message:
        return request_runner_module.system_answer(
            coap.REQUEST_ENTITY_INCOMPLETE,
            coap.Outcome.INVALID,
            "the transfer is not known here; start it again",
        )

    def _refuse_while_draining(
        self,
        flow: flow_module.Flow,
        datagram: flow_module.InboundDatagram,
        record: request_execution.Record,
        reason: str,
    ) -> None:
        answer = request_runner_module.not_run(
            reason, request_runner_module.RETRY_ELSEWHERE_AFTER_S
        )
        self._close_unrecorded(flow.flow_id, datagram, answer)
        self._runner.release_if_idle(flow)
        self._answer_unrecorded(datagram, answer)

    def _close_unrecorded(
        self,
        flow_id: int,
        datagram: flow_module.InboundDatagram,
        answer: coap.Message,
    ) -> None:
        """Record a refused request as closed, so that no later copy runs.

        If the table is full, all pins issued so far are revoked instead.
        """
        record = self._new_record(flow_id, datagram)
        if coap.option(datagram.message, coap.CANCEL) is not None:
            record.digest = request_execution.ANY_DIGEST
        record.execution.close()
        record.answer = answer
        if not self._records.add(record):
            self._metrics.count(TABLE_FULL)
            self._identity.revoke_pins()
        elif record.idempotent:
            self._records.mark_evictable(record)

    def _handle_duplicate(
        self,
        flow: flow_module.Flow,
        datagram: flow_module.InboundDatagram,
        record: request_execution.Record,
    ) -> None:
        digest = request_execution.content_digest(datagram.message)
        if record.digest not in (request_execution.ANY_DIGEST, digest):
            self._trace.record(datagram.flow_label, "invalid", "token_reused")
            answer = request_runner_module.system_answer(
                coap.BAD_OPTION,
                coap.Outcome.INVALID,
                "this token was used for another request",
            )
            self._answer_unrecorded(datagram, answer, flow)
            return
        self._metrics.count(DUPLICATES)
        record.reply_route = replies_module.reply_route_for(datagram)
        if record.execution.is_done and record.answer is not None:
            self._runner.send_stored_answer(flow, record)
        elif record.empty_ack_sent:
            self._send_empty_ack(flow, record)

    def _handle_cancel(
        self,
        flow: flow_module.Flow,
        datagram: flow_module.InboundDatagram,
        record: request_execution.Record | None,
    ) -> None:
        if record is None:
            self._cancel_unrecorded(flow, datagram)
            return
        record.reply_route = replies_module.reply_route_for(datagram)
        record.cancel_requested = True
        if record.execution.close():
            # The answer is piggybacked on the cancellation's ACK.
            record.empty_ack_sent = False
            answer = request_runner_module.not_run("cancelled before it ran")
            self._runner.complete(flow, record, answer)
            self._admission.remove_waiting(record.execution)
        elif record.answer is not None:
            self._runner.send_stored_answer(flow, record)
        else:
            self._cancel_running(flow, record)

    def _cancel_running(
        self, flow: flow_module.Flow, record: request_execution.Record
    ) -> None:
        if record.exchange is not None:
            record.exchange.cancel()
        if record.empty_ack_sent:
            self._send_empty_ack(flow, record)
        else:
            self._replies.schedule_empty_ack(flow, record)

    def _send_empty_ack(
        self, flow: flow_module.Flow, record: request_execution.Record
    ) -> None:
        pin = self._replies.current_pin(flow)
        self._replies.send_empty_ack(record.reply_route, pin)

    def _cancel_unrecorded(
        self, flow: flow_module.Flow, datagram: flow_module.InboundDatagram
    ) -> None:
        """Cancel a request that has no record.

        A non-idempotent request without a record is known not to have run,
        unless its pin is stale or foreign: its record may then have expired,
        or belong to another incarnation or agent. Nothing is known about an
        idempotent request, whose record is removed once it is answered.
        """
        idempotent = self.is_idempotent(datagram.message)
        status = datagram.pin.status
        if idempotent or status in (_Status.FOREIGN, _Status.STALE):
            answer = request_runner_module.unknown(
                "the request is not known here"
            )
        else:
            answer = request_runner_module.not_run("cancelled before it ran")
        if idempotent or status is _Status.FRESH:
            self._close_unrecorded(flow.flow_id, datagram, answer)
        self._answer_unrecorded(datagram, answer, flow)

    def _answer_unrecorded(
        self,
        datagram: flow_module.InboundDatagram,
        answer: coap.Message,
        flow: flow_module.Flow | None = None,
    ) -> None:
        """Send an answer that is not stored in a record.

        Without a flow, the answer carries no pin, which tells the balancer
        that this agent does not hold the flow.
        """
        pin = b"" if flow is None else self._replies.current_pin(flow)
        route = replies_module.reply_route_for(datagram)
        self._replies.send_answer(route, answer, datagram.message.token, pin)


def _continues_transfer(message: coap.Message) -> bool:
    """Return whether a request continues a block-wise transfer."""
    return any(
        block is not None and block.block_number > 0
        for block in (message.opt.block1, message.opt.block2)
    )
