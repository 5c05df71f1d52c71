"""CoAP client side of the agent: exchanges over a port to the endpoint.

A non-idempotent request is transmitted only once. An endpoint that crashes
and restarts loses its message ids, so it would not recognise a
retransmission as a duplicate and could run the request twice.
"""

import dataclasses
import enum
import random as random_module
import typing

import anyio

from bramleypin import errors
from bramleypin.internal.net import environment
from bramleypin.internal.wire import coap

_TOKEN_BYTES = 6
_MESSAGE_ID_COUNT = 1 << 16


class ExchangeResult(enum.Enum):
    """How an exchange ended.

    After ``REFUSED`` and ``CANCELLED`` the request has certainly not run;
    after ``LOST`` and ``REJECTED`` (an RST) it may have.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    CANCELLED = "cancelled"
    LOST = "lost"
    REJECTED = "rejected"


@dataclasses.dataclass(slots=True)
class _RetransmitTimer:
    """Retransmission state of a confirmable message (RFC 7252, 4.2)."""

    encode: typing.Callable[[], bytes]
    due_s: float
    timeout_s: float
    retries_left: int


class Exchange:
    """One request to the endpoint.

    ``result`` is ``None`` while the exchange is in progress and is set once,
    together with ``response``.
    """

    def __init__(
        self, channel: "Channel", request: coap.Message, deadline_s: float
    ):
        self.result: ExchangeResult | None = None
        self.response: coap.Message | None = None
        self.started_s = anyio.current_time()
        self.transmissions = 0
        self.token = channel.new_token()
        self.mid = channel.new_mid()
        self.cancel_mid: int | None = None
        self._channel = channel
        self._deadline_s = deadline_s
        self._request = request
        self._wakeup = anyio.Event()
        self._timer: _RetransmitTimer | None = None

    def transmit(self, retransmit: bool) -> None:
        """Send the request; schedule retransmissions if ``retransmit``."""
        timeout_s = self._channel.initial_timeout_s()
        if retransmit:
            self._timer = _RetransmitTimer(
                self._encode_request,
                self.started_s + timeout_s,
                timeout_s,
                coap.MAX_RETRANSMIT,
            )
        self.transmissions += 1
        self._channel.send(self._encode_request())

    def _encode_request(self) -> bytes:
        message = self._request
        message.mtype = coap.CON
        message.mid = self.mid
        message.token = self.token
        left_s = max(0.0, self._deadline_s - anyio.current_time())
        coap.set_uint_option(message, coap.DEADLINE, int(left_s * 1000))
        return coap.encode(message)

    def cancel(self) -> None:
        """Ask the endpoint to cancel the request, at most once.

        The cancellation is a confirmable message and is retransmitted as one.
        """
        if self.result is not None or self.cancel_mid is not None:
            return
        self.cancel_mid = self._channel.new_mid(self)
        timeout_s = self._channel.initial_timeout_s()
        self._timer = _RetransmitTimer(
            self._encode_cancel,
            anyio.current_time() + timeout_s,
            timeout_s,
            coap.MAX_RETRANSMIT,
        )
        self._channel.send(self._encode_cancel())
        self._notify()

    def _encode_cancel(self) -> bytes:
        message = coap.message(
            coap.CON, int(self._request.code), self.cancel_mid, self.token
        )
        coap.set_option(message, coap.CANCEL, b"")
        return coap.encode(message)

    def finish(
        self, result: ExchangeResult, response: coap.Message | None = None
    ) -> None:
        """Set the result, unless the exchange has already finished."""
        if self.result is None:
            self.result = result
            self.response = response
            self._channel.remove_exchange(self)
            self._notify()

    def on_acknowledged(self) -> None:
        """Stop retransmitting the request after an empty ACK.

        The answer follows as a separate response.
        """
        if self.cancel_mid is None:
            self._timer = None

    def on_cancel_too_late(self) -> None:
        """Stop retransmitting a cancellation that the endpoint declined.

        The request had already started, so its answer still follows.
        """
        self._timer = None

    def _notify(self) -> None:
        self._wakeup.set()

    async def wait(self, deadline_s: float) -> bool:
        """Wait for the result until ``deadline_s``, retransmitting as needed.

        Returns whether the exchange has finished.
        """
        while self.result is None:
            now = anyio.current_time()
            if now >= deadline_s:
                return False
            wakeup_at_s = deadline_s
            if self._timer is not None:
                wakeup_at_s = min(wakeup_at_s, self._timer.due_s)
            self._wakeup = anyio.Event()
            with anyio.move_on_after(wakeup_at_s - now):
                await self._wakeup.wait()
            if self.result is None:
                self._retransmit()
        return True

    def _retransmit(self) -> None:
        timer = self._timer
        if timer is None or anyio.current_time() < timer.due_s:
            return
        if timer.retries_left == 0:
            self._timer = None
            return
        timer.retries_left -= 1
        timer.timeout_s *= 2
        timer.due_s = anyio.current_time() + timer.timeout_s
        if self.cancel_mid is None:
            self.transmissions += 1
        self._channel.send(timer.encode())


class Channel:
    """A port connected to the endpoint, shared by a flow's requests.

    A refusal (ICMP port unreachable) does not name the datagram that caused
    it. ``_unanswered_sends`` is the number of transmissions minus the answers
    to requests that were transmitted once; other answers cannot be matched
    with one transmission. A refusal proves that a request has not run only if
    its transmission is the only one counted; otherwise an earlier transmission
    may have caused the refusal.
    """

    def __init__(
        self, port: environment.EndpointPort, random: random_module.Random
    ):
        self._port = port
        self._random = random
        self._mid = random.randrange(_MESSAGE_ID_COUNT)
        self._exchange_by_token: dict[bytes, Exchange] = {}
        self._exchange_by_mid: dict[int, Exchange] = {}
        self._unanswered_sends = 0
        self.refused = False

    def new_token(self) -> bytes:
        """Return a random token for an exchange."""
        return self._random.getrandbits(_TOKEN_BYTES * 8).to_bytes(
            _TOKEN_BYTES, "big"
        )

    def new_mid(self, exchange: Exchange | None = None) -> int:
        """Return the next message id.

        If ``exchange`` is given, replies with this id are dispatched to it.
        """
        self._mid = (self._mid + 1) % _MESSAGE_ID_COUNT
        if exchange is not None:
            self._exchange_by_mid[self._mid] = exchange
        return self._mid

    def initial_timeout_s(self) -> float:
        """Return the randomised initial retransmission timeout."""
        return coap.first_timeout_s(self._random)

    @property
    def is_idle(self) -> bool:
        """Whether no exchange is in progress."""
        return not self._exchange_by_token

    @property
    def is_refusal_attributable(self) -> bool:
        """Whether only the next transmission can cause the next refusal."""
        return self._unanswered_sends == 0 and not self.refused

    def start_exchange(
        self, request: coap.Message, deadline_s: float, retransmit: bool
    ) -> Exchange:
        """Send a request to the endpoint and return its exchange."""
        exchange = Exchange(self, request, deadline_s)
        self._exchange_by_token[exchange.token] = exchange
        self._exchange_by_mid[exchange.mid] = exchange
        exchange.transmit(retransmit)
        return exchange

    def send(self, data: bytes) -> None:
        """Send a datagram to the endpoint."""
        self._unanswered_sends += 1
        self._port.send(data)

    def remove_exchange(self, exchange: Exchange) -> None:
        """Remove a finished exchange from the lookup tables."""
        self._exchange_by_token.pop(exchange.token, None)
        self._exchange_by_mid.pop(exchange.mid, None)
        if exchange.cancel_mid is not None:
            self._exchange_by_mid.pop(exchange.cancel_mid, None)

    async def read(
        self,
        on_drop: typing.Callable[[str], None],
        on_refusal: typing.Callable[[], None],
    ) -> None:
        """Receive and dispatch datagrams until the port is closed.

        ``on_drop`` is called with a reason for each datagram that matches no
        exchange, ``on_refusal`` for each refusal by the endpoint's port.
        """
        while True:
            try:
                data = await self._port.receive()
            except errors.EndpointRefused:
                self._finish_all_refused()
                on_refusal()
                continue
            except errors.PortClosed:
                self._finish_all_lost()
                return
            try:
                self._dispatch(coap.decode(data), on_drop)
            except errors.InvalidFrame as error:
                on_drop(error.reason)

    def _finish_all_refused(self) -> None:
        is_attributable = self._unanswered_sends == 1
        self.refused = True
        for exchange in list(self._exchange_by_token.values()):
            not_run = exchange.transmissions == 1 and is_attributable
            exchange.finish(
                ExchangeResult.REFUSED if not_run else ExchangeResult.LOST
            )

    def _finish_all_lost(self) -> None:
        for exchange in list(self._exchange_by_token.values()):
            exchange.finish(ExchangeResult.LOST)

    def finish_started_before(self, cutoff_s: float) -> None:
        """Finish exchanges started before ``cutoff_s`` as ``LOST``.

        Used when the endpoint process that received them no longer exists.
        """
        for exchange in list(self._exchange_by_token.values()):
            if exchange.started_s < cutoff_s:
                exchange.finish(ExchangeResult.LOST)

    def _dispatch(
        self, message: coap.Message, on_drop: typing.Callable[[str], None]
    ) -> None:
        if message.mtype in (coap.ACK, coap.RST):
            self._dispatch_reply(message, on_drop)
            return
        if coap.is_request(int(message.code)) or not message.code:
            on_drop("endpoint_unexpected")
            return
        if message.mtype == coap.CON:
            ack = coap.message(coap.ACK, 0, message.mid)
            self.send(coap.encode(ack))
        exchange = self._exchange_by_token.get(message.token)
        if exchange is None:
            on_drop("endpoint_late_answer")
            return
        exchange.finish(ExchangeResult.ANSWERED, message)

    def _dispatch_reply(
        self, message: coap.Message, on_drop: typing.Callable[[str], None]
    ) -> None:
        exchange = self._exchange_by_mid.get(message.mid)
        if exchange is None:
            on_drop("endpoint_late_answer")
            return
        if message.mtype == coap.RST:
            if message.mid != exchange.cancel_mid:
                exchange.finish(ExchangeResult.REJECTED)
        elif message.mid == exchange.cancel_mid:
            if message.code == coap.DELETED:
                exchange.finish(ExchangeResult.CANCELLED)
            else:
                exchange.on_cancel_too_late()
        elif not message.code:
            exchange.on_acknowledged()
        elif message.token == exchange.token:
            self._count_answered(exchange)
            exchange.finish(ExchangeResult.ANSWERED, message)
        else:
            on_drop("endpoint_wrong_token")

    def _count_answered(self, exchange: Exchange) -> None:
        if exchange.transmissions == 1:
            self._unanswered_sends -= 1

    async def aclose(self) -> None:
        """Close the port, which ends ``read``."""
        await self._port.aclose()
