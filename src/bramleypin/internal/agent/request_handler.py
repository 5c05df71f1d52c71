"""The rules for requests: what may run, once, and for whom."""

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

Start = typing.Callable[..., None]


class RequestHandler:
    """Applies the rules to each request of each flow.

    ``start`` starts a task from a coroutine function and its arguments.
    """

    def __init__(
        self,
        kernel: kernel_module.Kernel,
        replies: replies_module.Replies,
        records: request_execution.RecordTable,
        runner: request_runner_module.Runner,
        start: Start,
    ):
        self._admission = kernel.get("admission")
        self._identity: identity_module.Identity = kernel.get("identity")
        self._metrics = kernel.get("metrics")
        self._trace = kernel.get("trace")
        self._replies = replies
        self._records = records
        self._runner = runner
        self._start = start

    def handle(
        self, flow: flow_module.Flow, arrival: flow_module.Arrival
    ) -> None:
        """Handle one request of a flow."""
        message = arrival.message
        record = self._records.get((flow.flow_id, message.token))
        if coap.option(message, coap.CANCEL) is not None:
            self._cancel(flow, arrival, record)
        elif record is not None:
            self._repeat(flow, arrival, record)
        else:
            self._begin(flow, arrival)

    def refuse(
        self,
        flow_id: int,
        arrival: flow_module.Arrival,
        reason: str,
        max_age_s: int = request_runner_module.RETRY_AFTER_S,
    ) -> None:
        """Answer "not run" without a flow, and close the request."""
        message = arrival.message
        key = (flow_id, message.token)
        answer = request_runner_module.not_run(reason, max_age_s)
        fresh = arrival.pin.status is _Status.FRESH
        if fresh and self._records.get(key) is None:
            self._close_unseen(flow_id, arrival, answer)
        if max_age_s != request_runner_module.MOVED_AFTER_S:
            self._runner.count_refusal()
        self._answer(arrival, answer)

    def is_idempotent(self, message: coap.Message) -> bool:
        """Tell whether running a request again changes nothing more."""
        method = coap.method_name(int(message.code))
        if self._admission.own_endpoint.is_run_once(method):
            return False
        return method in coap.IDEMPOTENT_METHODS

    def _record(
        self, flow_id: int, arrival: flow_module.Arrival
    ) -> request_execution.Record:
        message = arrival.message
        asked_ms = coap.uint_option(message, coap.DEADLINE)
        allowed_s = coap.MAX_DEADLINE_S
        if asked_ms is not None:
            allowed_s = min(allowed_s, asked_ms / 1000)
        now = anyio.current_time()
        return request_execution.Record(
            key=(flow_id, message.token),
            digest=request_execution.content_digest(message),
            method=coap.method_name(int(message.code)),
            idempotent=self.is_idempotent(message),
            first_seen_s=now,
            deadline_s=now + allowed_s - arrival.elapsed_s(),
            newest=replies_module.copy_of(arrival),
            renew_pin=self._needs_pin(arrival),
        )

    def _needs_pin(self, arrival: flow_module.Arrival) -> bool:
        check = arrival.pin
        if check.status is not _Status.FRESH:
            return True
        age_s = self._identity.now_s() - check.issued_s
        return age_s > identity_module.PIN_LIFETIME_S / 2

    def _begin(
        self, flow: flow_module.Flow, arrival: flow_module.Arrival
    ) -> None:
        record = self._record(flow.flow_id, arrival)
        refusal = self._check_pin(flow, arrival, record)
        if refusal is not None:
            self._answer(arrival, refusal, flow)
            return
        block = _later_block(arrival.message)
        if block and not arrival.held:
            self._answer(arrival, self._incomplete(), flow)
            return
        if self._admission.draining and not block:
            self._move(flow, arrival, record, "the endpoint is leaving")
            return
        if not self._records.add(record):
            self._metrics.count(TABLE_FULL)
            self._identity.raise_fence()
            self._answer(
                arrival, request_runner_module.not_run("too many requests")
            )
            return
        if record.newest.confirmable:
            self._replies.announce_later(flow, record)
        self._start(self._runner.run, flow, record, arrival.message)

    def _check_pin(
        self,
        flow: flow_module.Flow,
        arrival: flow_module.Arrival,
        record: request_execution.Record,
    ) -> coap.Message | None:
        """Return the refusal of a non-idempotent request without its pin."""
        if record.idempotent or arrival.pin.status is _Status.FRESH:
            return None
        if arrival.pin.status is _Status.FOREIGN:
            answer = request_runner_module.unknown("the agent has restarted")
        elif self._identity.is_fenced(self._identity.now_s()):
            # A pin issued within this second would not be accepted either.
            return request_runner_module.not_run("too many requests")
        else:
            self._metrics.count(WITHOUT_PIN)
            answer = request_runner_module.plain(
                coap.UNAUTHORIZED,
                coap.Outcome.NOT_RUN,
                "repeat the request with the Echo option",
            )
        coap.set_option(answer, coap.ECHO, self._replies.pin_of(flow))
        return answer

    def _incomplete(self) -> coap.Message:
        return request_runner_module.plain(
            coap.REQUEST_ENTITY_INCOMPLETE,
            coap.Outcome.INVALID,
            "the transfer is not known here; start it again",
        )

    def _move(
        self,
        flow: flow_module.Flow,
        arrival: flow_module.Arrival,
        record: request_execution.Record,
        reason: str,
    ) -> None:
        answer = request_runner_module.not_run(
            reason, request_runner_module.MOVED_AFTER_S
        )
        self._close_unseen(flow.flow_id, arrival, answer)
        self._runner.release_if_idle(flow)
        self._answer(arrival, answer)

    def _close_unseen(
        self,
        flow_id: int,
        arrival: flow_module.Arrival,
        answer: coap.Message,
    ) -> None:
        """Make sure that no later copy of a refused request runs."""
        record = self._record(flow_id, arrival)
        if coap.option(arrival.message, coap.CANCEL) is not None:
            record.digest = request_execution.ANY_CONTENT
        record.ticket.close()
        record.answer = answer
        if not self._records.add(record):
            self._metrics.count(TABLE_FULL)
            self._identity.raise_fence()
        elif record.idempotent:
            self._records.mark_repeatable(record)

    def _repeat(
        self,
        flow: flow_module.Flow,
        arrival: flow_module.Arrival,
        record: request_execution.Record,
    ) -> None:
        digest = request_execution.content_digest(arrival.message)
        if record.digest not in (request_execution.ANY_CONTENT, digest):
            self._trace.record(arrival.flow_text, "invalid", "token_reused")
            answer = request_runner_module.plain(
                coap.BAD_OPTION,
                coap.Outcome.INVALID,
                "this token was used for another request",
            )
            self._answer(arrival, answer, flow)
            return
        self._metrics.count(DUPLICATES)
        record.newest = replies_module.copy_of(arrival)
        if record.ticket.is_done and record.answer is not None:
            self._runner.repeat(flow, record)
        elif record.announced:
            self._acknowledge(flow, record)

    def _cancel(
        self,
        flow: flow_module.Flow,
        arrival: flow_module.Arrival,
        record: request_execution.Record | None,
    ) -> None:
        if record is None:
            self._cancel_unseen(flow, arrival)
            return
        record.newest = replies_module.copy_of(arrival)
        record.cancel_asked = True
        if record.ticket.close():
            # The answer acknowledges the cancellation itself.
            record.announced = False
            answer = request_runner_module.not_run("cancelled before it ran")
            self._runner.conclude(flow, record, answer)
            self._admission.forget(record.ticket)
        elif record.answer is not None:
            self._runner.repeat(flow, record)
        else:
            self._cancel_running(flow, record)

    def _cancel_running(
        self, flow: flow_module.Flow, record: request_execution.Record
    ) -> None:
        if record.running is not None:
            record.running.cancel()
        if record.announced:
            self._acknowledge(flow, record)
        else:
            self._replies.announce_later(flow, record)

    def _acknowledge(
        self, flow: flow_module.Flow, record: request_execution.Record
    ) -> None:
        pin = self._replies.pin_of(flow)
        self._replies.acknowledge(record.newest, pin)

    def _cancel_unseen(
        self, flow: flow_module.Flow, arrival: flow_module.Arrival
    ) -> None:
        """Close a request of which there is no record.

        Only a non-idempotent request without a record is known not to have
        run; the record of an idempotent one ends with its answer.
        """
        idempotent = self.is_idempotent(arrival.message)
        status = arrival.pin.status
        if idempotent or status in (_Status.FOREIGN, _Status.STALE):
            answer = request_runner_module.unknown(
                "the request is not known here"
            )
        else:
            answer = request_runner_module.not_run("cancelled before it ran")
        if idempotent or status is _Status.FRESH:
            self._close_unseen(flow.flow_id, arrival, answer)
        self._answer(arrival, answer, flow)

    def _answer(
        self,
        arrival: flow_module.Arrival,
        answer: coap.Message,
        flow: flow_module.Flow | None = None,
    ) -> None:
        """Answer an arrival that has no record of its own.

        Without a flow, the answer has no pin, and the balancer learns that
        this agent does not hold the flow.
        """
        pin = b"" if flow is None else self._replies.pin_of(flow)
        copy = replies_module.copy_of(arrival)
        self._replies.send_once(copy, answer, arrival.message.token, pin)


def _later_block(message: coap.Message) -> bool:
    """Tell whether a request continues a block-wise transfer."""
    return any(
        block is not None and block.block_number > 0
        for block in (message.opt.block1, message.opt.block2)
    )
