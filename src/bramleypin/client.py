"""A CoAP caller: what tablets and mill desks use to reach a service.

``Client`` sends requests over one UDP port to one service address. It
retransmits, repeats a request with the pin when asked to, transfers bodies in
blocks, and retries only what certainly has not run or may run again.
"""

import dataclasses
import random as random_module
import typing

import anyio

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal import caller_exchange
from bramleypin.internal import caller_part
from bramleypin.internal.net import environment
from bramleypin.internal import retry_budget
from bramleypin.internal.wire import coap

DEFAULT_DEADLINE_S = 30.0

# A request that may be repeated is sent anew, without the pin, when nothing
# has answered for this long: the pin's owner has probably gone.
ATTEMPT_TIMEOUT_S = 8.0

# Only the owner of a download can serve its later blocks, so these wait for
# the transmission at 14 to 21 s too, should the earlier ones have met a
# balancer that does not answer.
BLOCK_TIMEOUT_S = 25.0
MAX_ECHO_ROUNDS = 4

# Every balancer may still know the old owner of a flow that is moved, and
# forgets it when the answer "not run" passes through.
FREE_MOVES = 4

BACKOFF_BASE_S = 0.1
BACKOFF_LIMIT_S = 5.0

_TAG_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint's own answer; ``code`` is its CoAP code."""

    code: int
    payload: bytes
    etag: bytes = b""
    round_trips: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request was certainly not run; it may be sent again.

    ``moved`` says that its endpoint is leaving and another one has room.
    """

    reason: str
    retry_after_s: float = 0.0
    round_trips: int = 1
    moved: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run, so a booking must not be sent again."""

    reason: str
    round_trips: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The request was refused as it is; sending it again does not help."""

    code: int
    reason: str
    round_trips: int = 1


Result = Answered | NotRun | Unknown | Invalid


@dataclasses.dataclass
class _Call:
    """What one call of the user has become so far."""

    method: str
    path: tuple[str, ...]
    deadline_s: float
    cancel: anyio.Event | None
    idempotent: bool
    round_trips: int = 0
    retries: int = 0
    moves: int = 0
    may_have_run: bool = False


@dataclasses.dataclass(frozen=True)
class _Failure:
    """Why a message has no answer, and whether it certainly was not run."""

    reason: str
    not_run: bool = False


class Client:
    """A caller of one service; ``run`` must run while requests are made.

    ``budget`` limits retries and is shared by the clients of one service in
    a process. ``random`` gives tokens and jitter.
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
        self._exchanges = caller_exchange.Exchanges(
            port, service_address, random
        )

    async def run(self) -> None:
        """Read answers until the port is closed or this is cancelled."""
        await self._exchanges.run()

    async def request(
        self,
        method: str,
        path: str,
        payload: bytes = b"",
        deadline_s: float = DEFAULT_DEADLINE_S,
        cancel: anyio.Event | None = None,
        retry: bool = True,
    ) -> Result:
        """Make a request and return its typed result.

        ``deadline_s`` is the time in seconds that the caller waits at most.
        Setting ``cancel`` asks for the request not to be run. ``retry`` off
        leaves it to the caller to repeat what was not run.
        """
        idempotent = (
            method in coap.IDEMPOTENT_METHODS and method not in self._run_once
        )
        allowed_s = min(deadline_s, coap.MAX_DEADLINE_S)
        call = _Call(
            method,
            tuple(part for part in path.split("/") if part),
            anyio.current_time() + allowed_s,
            cancel,
            idempotent,
        )
        self.budget.note_request()
        while True:
            result = await self._transfer(call, payload)
            if isinstance(result, Unknown):
                call.may_have_run = True
            if not retry or not await self._may_retry(call, result):
                return _over_all_attempts(call, result)

    async def _may_retry(self, call: _Call, result: Result) -> bool:
        """Wait before a retry, or tell that there is none."""
        if call.cancel is not None and call.cancel.is_set():
            return False
        if not _is_repeatable(call, result):
            return False
        after_s = result.retry_after_s if isinstance(result, NotRun) else 0.0
        limit_s = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2**call.retries)
        wait_s = after_s + self._random.uniform(0.0, limit_s)
        if anyio.current_time() + wait_s >= call.deadline_s:
            return False
        if not self._is_free(call, result) and not self.budget.take():
            return False
        call.retries += 1
        await anyio.sleep(wait_s)
        return True

    def _is_free(self, call: _Call, result: Result) -> bool:
        """Tell whether a retry costs no budget, as moves of a call do.

        The budget guards an overloaded service. A burst of callers that a
        planned drain moves at once spent it, and some were refused.
        """
        moved = isinstance(result, NotRun) and result.moved
        if not moved or call.moves >= FREE_MOVES:
            return False
        call.moves += 1
        return True

    async def _transfer(self, call: _Call, payload: bytes) -> Result:
        if len(payload) > caller_part.BLOCK_BYTES:
            return await self._send_blocks(call, payload)
        first = await self._exchange(call, caller_part.Part(payload))
        if isinstance(first, coap.Message) and coap.has_more(first):
            return await self._receive_blocks(call, first)
        return self._result(call, first)

    async def _send_blocks(self, call: _Call, payload: bytes) -> Result:
        """Send a body in blocks (RFC 7959) under a Request-Tag (RFC 9175).

        Only the last block makes the endpoint run the request.
        """
        tag = self._random.getrandbits(8 * _TAG_BYTES).to_bytes(_TAG_BYTES)
        last = (len(payload) - 1) // caller_part.BLOCK_BYTES
        for number in range(last):
            part = caller_part.of_body(payload, number, True, tag)
            answer = await self._exchange(call, part)
            if not isinstance(answer, coap.Message):
                return NotRun("the body was not sent whole")
            if answer.code != coap.CONTINUE:
                return _before_last_block(self._result(call, answer))
        part = caller_part.of_body(payload, last, False, tag)
        return self._result(call, await self._exchange(call, part))

    async def _receive_blocks(
        self, call: _Call, first: coap.Message
    ) -> Result:
        """Get the rest of an answer; all blocks must have the same ETag."""
        call.may_have_run = True
        payload = first.payload
        etag = first.opt.etag or b""
        answer = first
        while coap.has_more(answer):
            # The size that the endpoint has chosen holds for the whole
            # transfer (RFC 7959, section 2.4).
            number = answer.opt.block2.block_number + 1
            exponent = answer.opt.block2.size_exponent
            part = caller_part.Part(block2=(number, False, exponent))
            answer = await self._exchange(call, part)
            if not isinstance(answer, coap.Message):
                return self._result(call, answer)
            if coap.outcome(answer) or answer.code != coap.CONTENT:
                return self._result(call, answer)
            block = answer.opt.block2
            if (answer.opt.etag or b"") != etag:
                return Unknown("the content changed", call.round_trips)
            if block is None or block.start != len(payload):
                return Unknown("a block is missing", call.round_trips)
            payload += answer.payload
        return Answered(int(answer.code), payload, etag, call.round_trips)

    def _result(self, call: _Call, answer: coap.Message | _Failure) -> Result:
        """Return the typed result of an answer or of a failure's reason."""
        trips = call.round_trips
        if isinstance(answer, _Failure):
            kind = NotRun if answer.not_run else Unknown
            return kind(answer.reason, round_trips=trips)
        reason = answer.payload.decode("utf-8", "replace")
        outcome = coap.outcome(answer)
        if outcome is coap.Outcome.NOT_RUN:
            wait_s = answer.opt.max_age
            return NotRun(reason, wait_s or 0, trips, moved=wait_s == 0)
        if outcome is coap.Outcome.UNKNOWN:
            return Unknown(reason, trips)
        if outcome is coap.Outcome.INVALID:
            return Invalid(int(answer.code), reason, trips)
        etag = answer.opt.etag or b""
        return Answered(int(answer.code), answer.payload, etag, trips)

    async def _exchange(
        self, call: _Call, part: caller_part.Part
    ) -> coap.Message | _Failure:
        """Send one message until it is answered under a pin if need be."""
        for _ in range(MAX_ECHO_ROUNDS):
            answer = await self._attempt(call, part)
            if not isinstance(answer, coap.Message):
                return answer
            self._learn_pin(answer)
            echo = coap.option(answer, coap.ECHO)
            if answer.code != coap.UNAUTHORIZED or echo is None:
                return answer
        return answer

    def _learn_pin(self, answer: coap.Message) -> None:
        echo = coap.option(answer, coap.ECHO)
        if echo:
            self.pin = echo
        elif coap.outcome(answer) is coap.Outcome.NOT_RUN:
            # Without the pin the flow is opened anew, where there is room.
            self.pin = b""

    async def _attempt(
        self, call: _Call, part: caller_part.Part
    ) -> coap.Message | _Failure:
        while True:
            pinned = bool(self.pin)
            message = caller_part.message(
                part, call.method, call.path, self.pin
            )
            repeatable = call.idempotent or not pinned
            until_s = call.deadline_s
            if repeatable:
                patience_s = ATTEMPT_TIMEOUT_S
                if part.block2 is not None:
                    patience_s = BLOCK_TIMEOUT_S
                until_s = min(until_s, anyio.current_time() + patience_s)
            call.round_trips += 1
            answer = await self._exchanges.exchange(
                message, call.deadline_s, until_s, call.cancel
            )
            if answer is not None:
                return answer
            # No agent runs such a request without a pin.
            not_run = not call.idempotent and not pinned
            if not repeatable or anyio.current_time() >= call.deadline_s:
                return _Failure("no answer before the deadline", not_run)
            if not self.budget.take():
                return _Failure("no answer and no retry left", not_run)
            self.pin = b""
            if part.block1 is not None or part.block2 is not None:
                return _Failure("the transfer was interrupted", not_run)


def _over_all_attempts(call: _Call, result: Result) -> Result:
    """Return the result of all attempts of a call together.

    "Not run" is said only when no attempt and no block has run.
    """
    if isinstance(result, NotRun) and call.may_have_run:
        return Unknown(result.reason, result.round_trips)
    return result


def _before_last_block(result: Result) -> Result:
    """Return the result of a body that was broken off early: not run."""
    if isinstance(result, (Unknown, NotRun)):
        return NotRun(f"the body was not sent whole: {result.reason}")
    if isinstance(result, Answered):
        reason = result.payload.decode("utf-8", "replace")
        if result.code == coap.REQUEST_ENTITY_INCOMPLETE:
            return NotRun(f"the body was not sent whole: {reason}")
    return result


def _is_repeatable(call: _Call, result: Result) -> bool:
    """Tell whether a retry can do no harm and may help."""
    if isinstance(result, NotRun):
        return True
    if not call.idempotent:
        return False
    if isinstance(result, Invalid):
        return result.code == coap.REQUEST_ENTITY_INCOMPLETE
    return isinstance(result, Unknown)


async def open_client(
    env: environment.Environment,
    local: address.Address,
    service_address: address.Address,
    **options: typing.Any,
) -> Client:
    """Open a port and return a client on it.

    :raises errors.PortClosed: when the port cannot be used.
    """
    try:
        port = await env.open_datagram_port(local)
    except OSError as error:
        raise errors.PortClosed(f"cannot bind {local}: {error}") from error
    return Client(port, service_address, env.random, **options)
