"""A CoAP client for the callers of a service, such as tablets.

``Client`` sends requests from one UDP port to one service address. It
retransmits messages, transfers large bodies in blocks, and retries a request
only if it has certainly not run or is idempotent.

The pin is an opaque value that identifies the agent that owns the flow. The
load balancer sends it in an Echo option (RFC 9175) for later requests. A 4.01
(Unauthorized) answer with a pin is a challenge to repeat the request with it.
"""

import dataclasses
import random as random_module
import typing

import anyio

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal import caller_exchange
from bramleypin.internal import caller_part as parts
from bramleypin.internal.net import environment
from bramleypin.internal import retry_budget
from bramleypin.internal.wire import coap

DEFAULT_DEADLINE_S = 30.0

# A repeatable request without an answer for this long is sent again without
# the pin, because the agent that the pin names has probably failed or left.
ATTEMPT_TIMEOUT_S = 8.0

# Only the agent that owns a download can serve its later blocks. The timeout
# covers the third retransmission, 14 to 21 s after the first transmission, in
# case the earlier ones reached a balancer that does not answer.
BLOCK_TIMEOUT_S = 25.0

# After this many challenges to one message, the last one is its answer.
MAX_ECHO_ROUNDS = 4

# Retries of one request outside the retry budget. After an endpoint starts to
# leave, each balancer may map the flow to it until that balancer forwards a
# "not run" answer, so several in turn may send the request to the endpoint.
MAX_FREE_RETRIES = 4

BACKOFF_BASE_S = 0.1
BACKOFF_LIMIT_S = 5.0

_TAG_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint's answer; ``code`` is its CoAP code.

    In all results, ``round_trips`` is the number of message exchanges without
    retransmissions. It is always 1 in a ``NotRun`` for a partly sent body.
    """

    code: int
    payload: bytes
    etag: bytes = b""
    round_trips: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request was certainly not run, so it is safe to send it again.

    With ``endpoint_leaving``, another endpoint has capacity for the request.
    """

    reason: str
    retry_after_s: float = 0.0
    round_trips: int = 1
    endpoint_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; only idempotent requests may be retried."""

    reason: str
    round_trips: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The request was refused as invalid; a retry would be refused too."""

    code: int
    reason: str
    round_trips: int = 1


Result = Answered | NotRun | Unknown | Invalid


@dataclasses.dataclass
class _Call:
    """State of a call across retries; ``deadline_s`` is on anyio's clock."""

    method: str
    path: tuple[str, ...]
    deadline_s: float
    cancel: anyio.Event | None
    idempotent: bool
    round_trips: int = 0
    retries: int = 0
    free_retries: int = 0
    may_have_run: bool = False


@dataclasses.dataclass(frozen=True)
class _NoAnswer:
    """No answer; if ``not_run`` is set, the request has certainly not run."""

    reason: str
    not_run: bool = False


class Client:
    """A client of one service.

    ``run`` must be running in a task while requests are made. A process's
    clients of one service share a ``budget`` for retries. ``random`` generates
    tokens and retry jitter. Methods in ``run_once`` count as not idempotent.
    """

    def __init__(
        self,
        port: environment.DatagramPort,
        service_address: address.Address,
        random: random_module.Random,
        budget: retry_budget.RetryBudget | None = None,
        run_once: frozenset[str] = frozenset(),
    ):
        self.budget = budget or retry_budget.RetryBudget()
        self.pin = b""
        self._random = random
        self._run_once = run_once
        self._message_layer = caller_exchange.MessageLayer(
            port, service_address, random
        )

    async def run(self) -> None:
        """Receive answers until cancelled or until the port is closed."""
        await self._message_layer.run()

    async def request(
        self,
        method: str,
        path: str,
        payload: bytes = b"",
        deadline_s: float = DEFAULT_DEADLINE_S,
        cancel: anyio.Event | None = None,
        retry: bool = True,
    ) -> Result:
        """Send a request and return its typed result.

        ``deadline_s`` is the limit in seconds, up to ``coap.MAX_DEADLINE_S``.
        Setting ``cancel`` asks the service not to run the request. If
        ``retry`` is false, the caller has to retry a request that did not run.
        """
        idempotent = (
            method in coap.IDEMPOTENT_METHODS and method not in self._run_once
        )
        timeout_s = min(deadline_s, coap.MAX_DEADLINE_S)
        call = _Call(
            method,
            tuple(part for part in path.split("/") if part),
            anyio.current_time() + timeout_s,
            cancel,
            idempotent,
        )
        self.budget.record_request()
        while True:
            result = await self._transfer(call, payload)
            if isinstance(result, Unknown):
                call.may_have_run = True
            if not retry or not await self._wait_before_retry(call, result):
                return _combined_result(call, result)

    async def _wait_before_retry(self, call: _Call, result: Result) -> bool:
        """Wait before a retry; return ``False`` at once if none is allowed."""
        if call.cancel is not None and call.cancel.is_set():
            return False
        if not _is_repeatable(call, result):
            return False
        delay_s = result.retry_after_s if isinstance(result, NotRun) else 0.0
        max_backoff_s = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2**call.retries)
        wait_s = delay_s + self._random.uniform(0.0, max_backoff_s)
        if anyio.current_time() + wait_s >= call.deadline_s:
            return False
        if (
            not self._take_free_retry(call, result)
            and not self.budget.take_token()
        ):
            return False
        call.retries += 1
        await anyio.sleep(wait_s)
        return True

    def _take_free_retry(self, call: _Call, result: Result) -> bool:
        """Take a retry that is not charged to the budget, if there is one.

        Only a leaving endpoint permits such free retries. The budget protects
        an overloaded service, but a planned drain that moved many callers at
        once used it up, and some callers were refused.
        """
        is_leaving = isinstance(result, NotRun) and result.endpoint_leaving
        if not is_leaving or call.free_retries >= MAX_FREE_RETRIES:
            return False
        call.free_retries += 1
        return True

    async def _transfer(self, call: _Call, payload: bytes) -> Result:
        if len(payload) > parts.BLOCK_BYTES:
            return await self._send_blocks(call, payload)
        first = await self._exchange(call, parts.Part(payload))
        if isinstance(first, coap.Message) and coap.has_more(first):
            return await self._fetch_blocks(call, first)
        return self._result(call, first)

    async def _send_blocks(self, call: _Call, payload: bytes) -> Result:
        """Send a body in blocks (RFC 7959) under a Request-Tag (RFC 9175).

        The endpoint runs the request only when it receives the last block.
        """
        tag = self._random.getrandbits(8 * _TAG_BYTES).to_bytes(_TAG_BYTES)
        last_number = (len(payload) - 1) // parts.BLOCK_BYTES
        for number in range(last_number):
            part = parts.block_part(payload, number, True, tag)
            answer = await self._exchange(call, part)
            if not isinstance(answer, coap.Message):
                return NotRun("the body was not sent completely")
            if answer.code != coap.CONTINUE:
                return _partial_body_result(self._result(call, answer))
        part = parts.block_part(payload, last_number, False, tag)
        return self._result(call, await self._exchange(call, part))

    async def _fetch_blocks(self, call: _Call, first: coap.Message) -> Result:
        """Receive the remaining blocks, which must have the same ETag."""
        # The endpoint has run the request to produce the first block.
        call.may_have_run = True
        payload = first.payload
        etag = first.opt.etag or b""
        answer = first
        while coap.has_more(answer):
            # The endpoint's block size applies to all blocks (RFC 7959, 2.4).
            number = answer.opt.block2.block_number + 1
            exponent = answer.opt.block2.size_exponent
            part = parts.Part(block2=(number, False, exponent))
            answer = await self._exchange(call, part)
            if not isinstance(answer, coap.Message):
                return self._result(call, answer)
            if coap.outcome(answer) or answer.code != coap.CONTENT:
                return self._result(call, answer)
            block = answer.opt.block2
            if (answer.opt.etag or b"") != etag:
                return Unknown("the ETag has changed", call.round_trips)
            if block is None or block.start != len(payload):
                return Unknown("a block is missing", call.round_trips)
            payload += answer.payload
        return Answered(int(answer.code), payload, etag, call.round_trips)

    def _result(self, call: _Call, answer: coap.Message | _NoAnswer) -> Result:
        """Convert an answer or a failure to a typed result."""
        trips = call.round_trips
        if isinstance(answer, _NoAnswer):
            result_type = NotRun if answer.not_run else Unknown
            return result_type(answer.reason, round_trips=trips)
        reason = answer.payload.decode("utf-8", "replace")
        outcome = coap.outcome(answer)
        if outcome is coap.Outcome.NOT_RUN:
            # Agents send a Max-Age of 0 when the endpoint is leaving and the
            # next one has capacity, so that there is no reason to wait.
            wait_s = answer.opt.max_age
            return NotRun(
                reason, wait_s or 0, trips, endpoint_leaving=wait_s == 0
            )
        if outcome is coap.Outcome.UNKNOWN:
            return Unknown(reason, trips)
        if outcome is coap.Outcome.INVALID:
            return Invalid(int(answer.code), reason, trips)
        etag = answer.opt.etag or b""
        return Answered(int(answer.code), answer.payload, etag, trips)

    async def _exchange(
        self, call: _Call, part: parts.Part
    ) -> coap.Message | _NoAnswer:
        """Exchange one message; repeat it with the pin when challenged."""
        for _ in range(MAX_ECHO_ROUNDS):
            answer = await self._send_part(call, part)
            if not isinstance(answer, coap.Message):
                return answer
            self._update_pin(answer)
            echo = coap.option(answer, coap.ECHO)
            if answer.code != coap.UNAUTHORIZED or echo is None:
                return answer
        return answer

    def _update_pin(self, answer: coap.Message) -> None:
        echo = coap.option(answer, coap.ECHO)
        if echo:
            self.pin = echo
        elif coap.outcome(answer) is coap.Outcome.NOT_RUN:
            # A request without a pin opens a flow where there is capacity.
            self.pin = b""

    async def _send_part(
        self, call: _Call, part: parts.Part
    ) -> coap.Message | _NoAnswer:
        """Send one message; retry it without the pin if it is repeatable."""
        while True:
            pinned = bool(self.pin)
            message = parts.message(part, call.method, call.path, self.pin)
            repeatable = call.idempotent or not pinned
            end_s = call.deadline_s
            if repeatable:
                timeout_s = ATTEMPT_TIMEOUT_S
                if part.block2 is not None:
                    timeout_s = BLOCK_TIMEOUT_S
                end_s = min(end_s, anyio.current_time() + timeout_s)
            call.round_trips += 1
            answer = await self._message_layer.exchange(
                message, call.deadline_s, end_s, call.cancel
            )
            if answer is not None:
                return answer
            # Agents never run a non-idempotent request without a pin.
            not_run = not call.idempotent and not pinned
            if not repeatable or anyio.current_time() >= call.deadline_s:
                return _NoAnswer("no answer before the deadline", not_run)
            if not self.budget.take_token():
                return _NoAnswer(
                    "no answer, and the retry budget is used up", not_run
                )
            self.pin = b""
            # Without the pin, a block may reach an agent that does not have
            # the earlier blocks, so the whole transfer has to start again.
            if part.block1 is not None or part.block2 is not None:
                return _NoAnswer("the transfer was interrupted", not_run)


def _combined_result(call: _Call, result: Result) -> Result:
    """Return the result of a call, given the result of its last attempt.

    It is ``NotRun`` only if no attempt and no block may have run.
    """
    if isinstance(result, NotRun) and call.may_have_run:
        return Unknown(result.reason, result.round_trips)
    return result


def _partial_body_result(result: Result) -> Result:
    """Return the result of a transfer that ended before the last block.

    The endpoint has not run the request, so ``Unknown`` and the answer 4.08
    (Request Entity Incomplete) become ``NotRun``; other results do not change.
    """
    if isinstance(result, (Unknown, NotRun)):
        return NotRun(f"the body was not sent completely: {result.reason}")
    if isinstance(result, Answered):
        reason = result.payload.decode("utf-8", "replace")
        if result.code == coap.REQUEST_ENTITY_INCOMPLETE:
            return NotRun(f"the body was not sent completely: {reason}")
    return result


def _is_repeatable(call: _Call, result: Result) -> bool:
    """Return whether a retry is safe and may succeed.

    Of ``Invalid``, a retry can only change 4.08 (Request Entity Incomplete).
    """
    if isinstance(result, NotRun):
        return True
    if not call.idempotent:
        return False
    if isinstance(result, Invalid):
        return result.code == coap.REQUEST_ENTITY_INCOMPLETE
    return isinstance(result, Unknown)


async def open_client(
    env: environment.Environment,
    local_address: address.Address,
    service_address: address.Address,
    **options: typing.Any,
) -> Client:
    """Bind a UDP port to ``local_address`` and return a client that uses it.

    :raises errors.PortClosed: if the port cannot be bound.
    """
    try:
        port = await env.open_datagram_port(local_address)
    except OSError as error:
        raise errors.PortClosed(
            f"cannot bind UDP port {local_address}: {error}"
        ) from error
    return Client(port, service_address, env.random, **options)
