"""A flow's connection to the endpoint: a connected port with exchanges.

A non-idempotent request is transmitted once. An endpoint that crashes and
restarts forgets message ids, so a second transmission could run it twice.
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
_MIDS = 1 << 16


class ExchangeResult(enum.Enum):
    """How an exchange ended."""

    ANSWERED = "answered"
    REFUSED = "refused"  # proved not run
    CANCELLED = "cancelled"  # proved not run
    LOST = "lost"  # may have run
    REJECTED = "rejected"  # RST; may have run


@dataclasses.dataclass(slots=True)
class _Timer:
    """Retransmission of one confirmable message (RFC 7252, 4.2)."""

    data: typing.Callable[[], bytes]
    next_s: float
    wait_s: float
    left: int


class Exchange:
    """One request at the endpoint; ``end`` is set once, with ``response``."""

    def __init__(
        self, channel: "Channel", request: coap.Message, deadline_s: float
    ):
        self.end: ExchangeResult | None = None
        self.response: coap.Message | None = None
        self.started_s = anyio.current_time()
        self.transmissions = 0
        self.token = channel.new_token()
        self.mid = channel.new_mid()
        self.cancel_mid: int | None = None
        self._channel = channel
        self._deadline_s = deadline_s
        self._request = request
        self._changed = anyio.Event()
        self._timer: _Timer | None = None

    def transmit(self, repeatable: bool) -> None:
        """Send the request, and again later if it is ``repeatable``."""
        wait_s = self._channel.first_wait_s()
        if repeatable:
            self._timer = _Timer(
                self._encode_request,
                self.started_s + wait_s,
                wait_s,
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
        """Ask the endpoint not to run the request, or to stop it."""
        if self.end is not None or self.cancel_mid is not None:
            return
        self.cancel_mid = self._channel.new_mid(self)
        wait_s = self._channel.first_wait_s()
        self._timer = _Timer(
            self._encode_cancel,
            anyio.current_time() + wait_s,
            wait_s,
            coap.MAX_RETRANSMIT,
        )
        self._channel.send(self._encode_cancel())
        self._wake()

    def _encode_cancel(self) -> bytes:
        message = coap.message(
            coap.CON, int(self._request.code), self.cancel_mid, self.token
        )
        coap.set_option(message, coap.CANCEL, b"")
        return coap.encode(message)

    def finish(
        self, end: ExchangeResult, response: coap.Message | None = None
    ) -> None:
        """Set the end; later ends are ignored."""
        if self.end is None:
            self.end = end
            self.response = response
            self._channel.forget(self)
            self._wake()

    def acknowledged(self) -> None:
        """Stop retransmitting the request; its answer comes separately."""
        if self.cancel_mid is None:
            self._timer = None

    def cancel_received(self) -> None:
        """Stop repeating a cancellation that came too late."""
        self._timer = None

    def _wake(self) -> None:
        self._changed.set()

    async def wait(self, until_s: float) -> bool:
        """Wait for the end, with retransmissions; tell if it came."""
        while self.end is None:
            now = anyio.current_time()
            if now >= until_s:
                return False
            wake_s = until_s
            if self._timer is not None:
                wake_s = min(wake_s, self._timer.next_s)
            self._changed = anyio.Event()
            with anyio.move_on_after(wake_s - now):
                await self._changed.wait()
            if self.end is None:
                self._retransmit()
        return True

    def _retransmit(self) -> None:
        timer = self._timer
        if timer is None or anyio.current_time() < timer.next_s:
            return
        if timer.left == 0:
            self._timer = None
            return
        timer.left -= 1
        timer.wait_s *= 2
        timer.next_s = anyio.current_time() + timer.wait_s
        if self.cancel_mid is None:
            self.transmissions += 1
        self._channel.send(timer.data())


class Channel:
    """A port connected to the endpoint, shared by a flow's requests.

    ``unproved`` counts transmissions that nothing has answered singly. While
    any but the current one exists, a refusal may belong to an earlier one
    and proves nothing about the current one.
    """

    def __init__(
        self, port: environment.EndpointPort, random: random_module.Random
    ):
        self._port = port
        self._random = random
        self._mid = random.randrange(_MIDS)
        self._exchange_by_token: dict[bytes, Exchange] = {}
        self._exchange_by_mid: dict[int, Exchange] = {}
        self._unproved = 0
        self.refused = False

    def new_token(self) -> bytes:
        """Return a token that no other exchange of this channel has."""
        return self._random.getrandbits(_TOKEN_BYTES * 8).to_bytes(
            _TOKEN_BYTES, "big"
        )

    def new_mid(self, exchange: Exchange | None = None) -> int:
        """Return the next message id, for an exchange if one is given."""
        self._mid = (self._mid + 1) % _MIDS
        if exchange is not None:
            self._exchange_by_mid[self._mid] = exchange
        return self._mid

    def first_wait_s(self) -> float:
        """Return the time until the first retransmission, with jitter."""
        return coap.first_timeout_s(self._random)

    @property
    def is_idle(self) -> bool:
        """Tell whether no exchange is in progress."""
        return not self._exchange_by_token

    @property
    def is_clean(self) -> bool:
        """Tell whether a refusal would belong to the next transmission."""
        return self._unproved == 0 and not self.refused

    def begin(
        self, request: coap.Message, deadline_s: float, repeatable: bool
    ) -> Exchange:
        """Hand a request to the endpoint."""
        exchange = Exchange(self, request, deadline_s)
        self._exchange_by_token[exchange.token] = exchange
        self._exchange_by_mid[exchange.mid] = exchange
        exchange.transmit(repeatable)
        return exchange

    def send(self, data: bytes) -> None:
        """Transmit a datagram to the endpoint."""
        self._unproved += 1
        self._port.send(data)

    def forget(self, exchange: Exchange) -> None:
        """Drop an exchange that has ended."""
        self._exchange_by_token.pop(exchange.token, None)
        self._exchange_by_mid.pop(exchange.mid, None)
        if exchange.cancel_mid is not None:
            self._exchange_by_mid.pop(exchange.cancel_mid, None)

    async def read(
        self,
        on_drop: typing.Callable[[str], None],
        on_refusal: typing.Callable[[], None],
    ) -> None:
        """Dispatch what arrives until the port is closed."""
        while True:
            try:
                data = await self._port.receive()
            except errors.EndpointRefused:
                self._refuse_all()
                on_refusal()
                continue
            except errors.PortClosed:
                self._lose_all()
                return
            try:
                self._dispatch(coap.decode(data), on_drop)
            except errors.InvalidFrame as error:
                on_drop(error.reason)

    def _refuse_all(self) -> None:
        proved = self._unproved == 1
        self.refused = True
        for exchange in list(self._exchange_by_token.values()):
            single = exchange.transmissions == 1 and proved
            exchange.finish(
                ExchangeResult.REFUSED if single else ExchangeResult.LOST
            )

    def _lose_all(self) -> None:
        for exchange in list(self._exchange_by_token.values()):
            exchange.finish(ExchangeResult.LOST)

    def lose_older(self, than_s: float) -> None:
        """ExchangeResult the exchanges of an endpoint process that has gone."""
        for exchange in list(self._exchange_by_token.values()):
            if exchange.started_s < than_s:
                exchange.finish(ExchangeResult.LOST)

    def _dispatch(
        self, message: coap.Message, on_drop: typing.Callable[[str], None]
    ) -> None:
        if message.mtype in (coap.ACK, coap.RST):
            self._acknowledge(message, on_drop)
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

    def _acknowledge(
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
                exchange.cancel_received()
        elif not message.code:
            exchange.acknowledged()
        elif message.token == exchange.token:
            self._prove(exchange)
            exchange.finish(ExchangeResult.ANSWERED, message)
        else:
            on_drop("endpoint_wrong_token")

    def _prove(self, exchange: Exchange) -> None:
        if exchange.transmissions == 1:
            self._unproved -= 1

    async def aclose(self) -> None:
        """Close the port; ``read`` then ends."""
        await self._port.aclose()
