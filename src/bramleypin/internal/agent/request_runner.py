"""Runs one request: admission, the endpoint, and the conclusion."""

import typing

import anyio

from bramleypin.internal.agent import admission as admission_module
from bramleypin.internal.agent import channel as channel_module
from bramleypin.internal.agent import flow as flow_module
from bramleypin.internal.agent import replies as replies_module
from bramleypin.internal.agent import request_execution
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.wire import coap

RETRY_AFTER_S = 1
# Max-Age of an answer "not run" that sends the caller elsewhere: the next
# endpoint has room, so there is nothing to wait for.
MOVED_AFTER_S = 0
OBSERVE = 6

_REASON_BY_VERDICT = {
    admission_module.Verdict.SHED: "the endpoint is busy; try later",
    admission_module.Verdict.EXPIRED: "the deadline passed before the start",
    admission_module.Verdict.CLOSED: "the request was cancelled",
}


def not_run(reason: str, max_age_s: int = RETRY_AFTER_S) -> coap.Message:
    """Return an answer "not run, try later"; type and ids come later."""
    answer = coap.message(
        coap.NON, coap.SERVICE_UNAVAILABLE, 0, b"", reason.encode()
    )
    coap.set_uint_option(answer, coap.OUTCOME, coap.Outcome.NOT_RUN)
    answer.opt.max_age = max_age_s
    return answer


def plain(code: int, outcome: coap.Outcome, reason: str) -> coap.Message:
    """Return another answer of the system itself."""
    answer = coap.message(coap.NON, code, 0, b"", reason.encode())
    coap.set_uint_option(answer, coap.OUTCOME, outcome)
    return answer


def unknown(reason: str) -> coap.Message:
    """Return an answer "may have run"."""
    return plain(coap.GATEWAY_TIMEOUT, coap.Outcome.UNKNOWN, reason)


class Runner:
    """Takes a request whose record exists through to its answer."""

    def __init__(
        self,
        kernel: kernel_module.Kernel,
        replies: replies_module.Replies,
        records: request_execution.RecordTable,
        release: typing.Callable[[flow_module.Flow], None],
        start: typing.Callable[..., None],
    ):
        self._release = release
        self._start = start
        self._admission: admission_module.Admission = kernel.get("admission")
        self._endpoint = kernel.get("endpoint")
        self._outcomes = kernel.get("outcomes")
        self._trace = kernel.get("trace")
        self._service = kernel.settings.endpoint.service
        self._replies = replies
        self._records = records

    async def run(
        self,
        flow: flow_module.Flow,
        record: request_execution.Record,
        message: coap.Message,
    ) -> None:
        """Run a request once, and answer it."""
        flow.active += 1
        try:
            verdict = await self._admission.admit(
                record.newest.caller, record.ticket, record.deadline_s
            )
            if verdict is admission_module.Verdict.ADMITTED:
                await self._run_admitted(flow, record, message)
            elif record.answer is None:
                reason = _REASON_BY_VERDICT[verdict]
                self._turn_away(flow, record, not_run(reason))
        finally:
            flow.active -= 1
            flow.used_s = anyio.current_time()
            self._forget(record)

    def _forget(self, record: request_execution.Record) -> None:
        if not record.idempotent:
            return
        if record.ticket.state is request_execution.TicketState.CLOSED:
            self._records.mark_repeatable(record)
        else:
            self._records.remove(record)

    async def _run_admitted(
        self,
        flow: flow_module.Flow,
        record: request_execution.Record,
        message: coap.Message,
    ) -> None:
        try:
            await self._hand_over(flow, record, message)
        finally:
            self._admission.release()

    async def _hand_over(
        self,
        flow: flow_module.Flow,
        record: request_execution.Record,
        message: coap.Message,
    ) -> None:
        try:
            channel = await self._channel_of(flow)
        except OSError as error:
            record.ticket.move(request_execution.TicketState.CLOSED)
            self.conclude(flow, record, not_run(f"no channel: {error}"))
            return
        if record.cancel_asked or anyio.current_time() >= record.deadline_s:
            record.ticket.move(request_execution.TicketState.CLOSED)
            self.conclude(flow, record, not_run("cancelled or too late"))
            return
        exchange = channel.begin(
            _for_endpoint(message), record.deadline_s, record.idempotent
        )
        record.running = exchange
        if await exchange.wait(record.deadline_s):
            self._conclude_exchange(flow, record, exchange, message)
        else:
            await self._outwait(flow, record, exchange)

    async def _channel_of(
        self, flow: flow_module.Flow
    ) -> channel_module.Channel:
        channel = flow.channel
        in_transfer = anyio.current_time() < flow.transfer_until_s
        if channel is not None and channel.is_idle:
            if channel.refused or not (channel.is_clean or in_transfer):
                flow.channel = None
                await self._endpoint.close_channel(channel)
        if flow.channel is None:
            opened = await self._endpoint.open_channel()
            if flow.channel is not None:
                await self._endpoint.close_channel(opened)
            else:
                flow.channel = opened
        return flow.channel

    async def _outwait(
        self,
        flow: flow_module.Flow,
        record: request_execution.Record,
        exchange: channel_module.Exchange,
    ) -> None:
        """Keep the slot while the endpoint may still be at work.

        The caller learns at the deadline that the outcome is unknown. The
        endpoint is asked to stop; its late answer is delivered to nobody.
        """
        record.ticket.move(request_execution.TicketState.UNKNOWN)
        self.conclude(flow, record, unknown("no answer before the deadline"))
        exchange.cancel()
        service = self._admission.own_endpoint.service()
        longest_s = 30.0 if service is None else service.max_duration_s
        if await exchange.wait(exchange.started_s + longest_s):
            if exchange.end is channel_module.ExchangeResult.ANSWERED:
                self._endpoint.late_answer(f"{flow.flow_id:012x}")
        else:
            exchange.finish(channel_module.ExchangeResult.LOST)
            self._admission.overloaded("silent")

    def _conclude_exchange(
        self,
        flow: flow_module.Flow,
        record: request_execution.Record,
        exchange: channel_module.Exchange,
        message: coap.Message,
    ) -> None:
        end = exchange.end
        if end is channel_module.ExchangeResult.ANSWERED:
            self._conclude_answered(flow, record, exchange, message)
        elif end in (
            channel_module.ExchangeResult.REFUSED,
            channel_module.ExchangeResult.CANCELLED,
        ):
            record.ticket.move(request_execution.TicketState.CLOSED)
            self._turn_away(flow, record, not_run(f"endpoint: {end.value}"))
        else:
            record.ticket.move(request_execution.TicketState.UNKNOWN)
            self.conclude(flow, record, unknown("the endpoint failed"))

    def _conclude_answered(
        self,
        flow: flow_module.Flow,
        record: request_execution.Record,
        exchange: channel_module.Exchange,
        message: coap.Message,
    ) -> None:
        response = exchange.response
        if response.code == coap.SERVICE_UNAVAILABLE:
            self._admission.overloaded("shed")
            record.ticket.move(request_execution.TicketState.CLOSED)
            wait_s = response.opt.max_age
            answer = not_run(
                "the endpoint shed the request",
                RETRY_AFTER_S if wait_s is None else wait_s,
            )
            self._turn_away(flow, record, answer)
        else:
            now = anyio.current_time()
            took_s = now - exchange.started_s
            self._admission.answered(took_s, _kind_of(record, message))
            record.ticket.move(request_execution.TicketState.ANSWERED)
            flow.note_transfer(_has_more(response))
            self.conclude(flow, record, _for_caller(response))

    def _turn_away(
        self,
        flow: flow_module.Flow,
        record: request_execution.Record,
        answer: coap.Message,
    ) -> None:
        """Answer "not run", and let the flow go if nothing holds it here.

        The caller's next request then opens the flow anew, at an endpoint
        that has room.
        """
        if not record.announced and self.release_if_idle(flow, own=1):
            record.released = True
        self.conclude(flow, record, answer)

    def release_if_idle(self, flow: flow_module.Flow, own: int = 0) -> bool:
        """Release a flow that has no requests but ``own`` and no transfer."""
        in_transfer = anyio.current_time() < flow.transfer_until_s
        if flow.active > own or flow.inbox or in_transfer:
            return False
        self._release(flow)
        return True

    def conclude(
        self,
        flow: flow_module.Flow,
        record: request_execution.Record,
        answer: coap.Message,
    ) -> None:
        """Set and send a record's answer; its ticket is final already."""
        record.answer = answer
        record.running = None
        self._replies.note_conclusion()
        outcome = coap.outcome(answer)
        name = "answered" if outcome is None else outcome.name.lower()
        latency_s = anyio.current_time() - record.first_seen_s
        self._outcomes.record(self._service, name, latency_s)
        self._trace.record(f"{flow.flow_id:012x}", name, record.method)
        if record.renew_pin and outcome is not coap.Outcome.NOT_RUN:
            coap.set_option(answer, coap.ECHO, self._replies.pin_of(flow))
        if record.announced and record.newest.confirmable:
            self._start(self._send_separately, flow, record)
        else:
            self.repeat(flow, record)

    async def _send_separately(
        self, flow: flow_module.Flow, record: request_execution.Record
    ) -> None:
        flow.active += 1
        try:
            await self._replies.send_separately(flow, record)
        finally:
            flow.active -= 1

    def count_refusal(self) -> None:
        """Count a request that was turned away before it had a record."""
        name = coap.Outcome.NOT_RUN.name.lower()
        self._outcomes.record(self._service, name, 0.0)

    def repeat(
        self, flow: flow_module.Flow, record: request_execution.Record
    ) -> None:
        """Send the stored answer to where the newest copy came from."""
        pin = b"" if record.released else self._replies.pin_of(flow)
        self._replies.send_once(
            record.newest, record.answer, record.key[1], pin
        )


def _for_endpoint(message: coap.Message) -> coap.Message:
    """Return the request without what only concerns callers and agents."""
    copied = coap.message(coap.CON, int(message.code), 0, b"", message.payload)
    for entry in message.opt.option_list():
        if int(entry.number) not in (coap.ECHO, coap.DEADLINE, OBSERVE):
            copied.opt.add_option(entry)
    return copied


def _for_caller(response: coap.Message) -> coap.Message:
    """Return the response without options that only the agent may set."""
    copied = coap.message(
        coap.NON, int(response.code), 0, b"", response.payload
    )
    for entry in response.opt.option_list():
        if int(entry.number) not in (coap.ECHO, coap.OUTCOME, OBSERVE):
            copied.opt.add_option(entry)
    return copied


def _kind_of(record: request_execution.Record, message: coap.Message) -> str:
    """Return which requests should take about as long as this one."""
    blocks = (message.opt.block1, message.opt.block2)
    later = any(item is not None and item.block_number for item in blocks)
    first = message.opt.uri_path[:1]
    return "/".join((record.method, *first, "later" if later else "first"))


def _has_more(response: coap.Message) -> bool:
    """Tell whether a transfer goes on, in either direction."""
    return coap.has_more(response) or response.code == coap.CONTINUE
