"""The message layer of a CoAP caller (RFC 7252, sections 4 and 5)."""

import collections
import random as random_module

import anyio

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.net import environment
from bramleypin.internal.wire import coap

# While a separate response is awaited, the request is repeated now and then,
# so that its answer takes a way that exists should a balancer have failed.
REMIND_S = 5.0

TOKEN_BYTES = 8
CONFIRMED_KEPT = 256
_MIDS = 1 << 16


class _Pending:
    """An exchange in progress."""

    def __init__(self, message: coap.Message):
        self.message = message
        self.answer: coap.Message | None = None
        self.rejected = False
        self.acknowledged = False
        self.changed = anyio.Event()

    def wake(self) -> None:
        """Let the waiting task look again."""
        self.changed.set()


class Exchanges:
    """Sends requests and matches answers by token, never by order."""

    def __init__(
        self,
        port: environment.DatagramPort,
        remote: address.Address,
        random: random_module.Random,
    ):
        self._port = port
        self._remote = remote
        self._random = random
        self._mid = random.randrange(_MIDS)
        self._pending_by_token: dict[bytes, _Pending] = {}
        self._pending_by_mid: dict[int, _Pending] = {}
        self._confirmed: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    async def run(self) -> None:
        """Dispatch what arrives until the port is closed."""
        while True:
            try:
                data, sender = await self._port.receive()
                if sender == self._remote:
                    self._receive(coap.decode(data))
            except errors.InvalidFrame:
                continue
            except errors.PortClosed:
                return

    async def exchange(
        self,
        message: coap.Message,
        deadline_s: float,
        until_s: float,
        cancel: anyio.Event | None = None,
    ) -> coap.Message | None:
        """Send a request; return its answer, or ``None`` when none came.

        ``deadline_s`` is told to the service; ``until_s`` is how long this
        attempt waits. Both are points in time of ``anyio.current_time``.
        """
        token = self._random.getrandbits(8 * TOKEN_BYTES)
        message.token = token.to_bytes(TOKEN_BYTES, "big")
        message.mid = self._new_mid()
        pending = _Pending(message)
        self._pending_by_token[message.token] = pending
        self._pending_by_mid[message.mid] = pending
        try:
            async with anyio.create_task_group() as tasks:
                if cancel is not None:
                    tasks.start_soon(
                        self._cancel_when, cancel, pending, deadline_s
                    )
                await self._transmit(pending, message, deadline_s, until_s)
                tasks.cancel_scope.cancel()
        finally:
            del self._pending_by_token[message.token]
            self._pending_by_mid.pop(message.mid, None)
        return pending.answer

    def _new_mid(self) -> int:
        self._mid = (self._mid + 1) % _MIDS
        return self._mid

    async def _transmit(
        self,
        pending: _Pending,
        message: coap.Message,
        deadline_s: float,
        until_s: float,
    ) -> None:
        wait_s = coap.first_timeout_s(self._random)
        sent = 0
        while pending.answer is None and not pending.rejected:
            now = anyio.current_time()
            if now >= until_s:
                return
            if sent <= coap.MAX_RETRANSMIT or pending.acknowledged:
                self._send(message, deadline_s - now)
                sent += 1
            await self._wait(pending, min(now + wait_s, until_s))
            wait_s = REMIND_S if pending.acknowledged else wait_s * 2

    async def _wait(self, pending: _Pending, until_s: float) -> None:
        """Wait for the answer; an acknowledgement alone does not end it."""
        while pending.answer is None and not pending.rejected:
            left_s = until_s - anyio.current_time()
            if left_s <= 0:
                return
            pending.changed = anyio.Event()
            with anyio.move_on_after(left_s):
                await pending.changed.wait()

    def _send(self, message: coap.Message, left_s: float) -> None:
        coap.set_uint_option(
            message, coap.DEADLINE, max(0, int(left_s * 1000))
        )
        self._port.send(coap.encode(message), self._remote)

    async def _cancel_when(
        self, cancel: anyio.Event, pending: _Pending, deadline_s: float
    ) -> None:
        """Ask for the request not to be run, when the caller says so."""
        await cancel.wait()
        request = pending.message
        message = coap.message(
            coap.CON, int(request.code), self._new_mid(), request.token
        )
        message.opt.uri_path = request.opt.uri_path
        coap.set_option(message, coap.CANCEL, b"")
        echo = coap.option(request, coap.ECHO)
        if echo:
            coap.set_option(message, coap.ECHO, echo)
        await self._transmit(pending, message, deadline_s, deadline_s)

    def _receive(self, message: coap.Message) -> None:
        if message.mtype in (coap.ACK, coap.RST) and not message.code:
            self._acknowledged(message)
            return
        if not message.code or coap.is_request(int(message.code)):
            return
        pending = self._pending_by_token.get(message.token)
        if message.mtype == coap.CON:
            self._confirm(message.mid, pending is not None)
        if pending is not None and pending.answer is None:
            pending.answer = message
            pending.wake()

    def _acknowledged(self, message: coap.Message) -> None:
        pending = self._pending_by_mid.get(message.mid)
        if pending is None:
            return
        if message.mtype == coap.RST:
            pending.rejected = True
        else:
            pending.acknowledged = True
        pending.wake()

    def _confirm(self, mid: int, expected: bool) -> None:
        """Acknowledge a separate response, and its repetitions.

        One that belongs to no request is rejected, which ends its
        retransmission too.
        """
        known = expected or mid in self._confirmed
        if expected:
            self._confirmed[mid] = None
            if len(self._confirmed) > CONFIRMED_KEPT:
                self._confirmed.popitem(last=False)
        kind = coap.ACK if known else coap.RST
        self._port.send(coap.encode(coap.message(kind, 0, mid)), self._remote)
