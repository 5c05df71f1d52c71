"""The message layer of a CoAP client (RFC 7252, sections 4 and 5)."""

import collections
import random as random_module

import anyio

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.net import environment
from bramleypin.internal.wire import coap

# Interval at which an acknowledged request is repeated while its separate
# response is outstanding. If the balancer on the return path has failed, the
# repeated request establishes a working path for the response.
REPEAT_INTERVAL_S = 5.0

TOKEN_BYTES = 8
# Number of acknowledged responses whose message ids (MIDs) are remembered, so
# that their retransmissions are acknowledged too.
MAX_ACKNOWLEDGED_MIDS = 256
_MESSAGE_ID_COUNT = 1 << 16


class _PendingExchange:
    """A request that has been sent and not yet answered."""

    def __init__(self, message: coap.Message):
        self.message = message
        self.answer: coap.Message | None = None
        self.rejected = False
        self.acknowledged = False
        self.state_changed = anyio.Event()

    def notify(self) -> None:
        """Wake the task that waits for a change of state."""
        self.state_changed.set()


class MessageLayer:
    """Sends requests and matches answers by token, not by order.

    ``run`` must be running in a task while ``exchange`` is used.
    """

    def __init__(
        self,
        port: environment.DatagramPort,
        remote: address.Address,
        random: random_module.Random,
    ):
        self._port = port
        self._remote = remote
        self._random = random
        self._mid = random.randrange(_MESSAGE_ID_COUNT)
        self._pending_by_token: dict[bytes, _PendingExchange] = {}
        self._pending_by_mid: dict[int, _PendingExchange] = {}
        self._acknowledged_mids: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    async def run(self) -> None:
        """Receive and dispatch messages until the port is closed.

        Messages from other addresses and malformed messages are dropped.
        """
        while True:
            try:
                data, sender = await self._port.receive()
                if sender == self._remote:
                    self._handle_message(coap.decode(data))
            except errors.InvalidFrame:
                continue
            except errors.PortClosed:
                return

    async def exchange(
        self,
        message: coap.Message,
        deadline_s: float,
        attempt_end_s: float,
        cancel: anyio.Event | None = None,
    ) -> coap.Message | None:
        """Send a request; return its answer, or ``None`` if there is none.

        The request tells the service the time left until ``deadline_s``.
        This attempt ends at ``attempt_end_s``. Both are in seconds on the
        clock of ``anyio.current_time``. Setting ``cancel`` asks the service
        not to run the request.
        """
        token = self._random.getrandbits(8 * TOKEN_BYTES)
        message.token = token.to_bytes(TOKEN_BYTES, "big")
        message.mid = self._new_mid()
        pending = _PendingExchange(message)
        self._pending_by_token[message.token] = pending
        self._pending_by_mid[message.mid] = pending
        try:
            async with anyio.create_task_group() as tasks:
                if cancel is not None:
                    tasks.start_soon(
                        self._send_cancellation, cancel, pending, deadline_s
                    )
                await self._transmit(
                    pending, message, deadline_s, attempt_end_s
                )
                tasks.cancel_scope.cancel()
        finally:
            del self._pending_by_token[message.token]
            self._pending_by_mid.pop(message.mid, None)
        return pending.answer

    def _new_mid(self) -> int:
        self._mid = (self._mid + 1) % _MESSAGE_ID_COUNT
        return self._mid

    async def _transmit(
        self,
        pending: _PendingExchange,
        message: coap.Message,
        deadline_s: float,
        attempt_end_s: float,
    ) -> None:
        """Send a message repeatedly until the exchange or attempt ends.

        The exchange ends when the message is answered or rejected. An
        unacknowledged message is retransmitted at most
        ``coap.MAX_RETRANSMIT`` times. An acknowledged one is repeated until
        the response arrives, because the balancer on the return path may have
        failed.
        """
        wait_s = coap.first_timeout_s(self._random)
        transmission_count = 0
        while pending.answer is None and not pending.rejected:
            now_s = anyio.current_time()
            if now_s >= attempt_end_s:
                return
            if (
                transmission_count <= coap.MAX_RETRANSMIT
                or pending.acknowledged
            ):
                self._send(message, deadline_s - now_s)
                transmission_count += 1
            await self._wait_for_answer(
                pending, min(now_s + wait_s, attempt_end_s)
            )
            wait_s = REPEAT_INTERVAL_S if pending.acknowledged else wait_s * 2

    async def _wait_for_answer(
        self, pending: _PendingExchange, wait_end_s: float
    ) -> None:
        """Wait for an answer or a reset, but not for an acknowledgement."""
        while pending.answer is None and not pending.rejected:
            remaining_s = wait_end_s - anyio.current_time()
            if remaining_s <= 0:
                return
            pending.state_changed = anyio.Event()
            with anyio.move_on_after(remaining_s):
                await pending.state_changed.wait()

    def _send(self, message: coap.Message, remaining_s: float) -> None:
        coap.set_uint_option(
            message, coap.DEADLINE, max(0, int(remaining_s * 1000))
        )
        self._port.send(coap.encode(message), self._remote)

    async def _send_cancellation(
        self, cancel: anyio.Event, pending: _PendingExchange, deadline_s: float
    ) -> None:
        """Ask the service not to run the request once ``cancel`` is set."""
        await cancel.wait()
        request = pending.message
        cancellation = coap.message(
            coap.CON, int(request.code), self._new_mid(), request.token
        )
        cancellation.opt.uri_path = request.opt.uri_path
        coap.set_option(cancellation, coap.CANCEL, b"")
        echo = coap.option(request, coap.ECHO)
        if echo:
            coap.set_option(cancellation, coap.ECHO, echo)
        await self._transmit(pending, cancellation, deadline_s, deadline_s)

    def _handle_message(self, message: coap.Message) -> None:
        if message.mtype in (coap.ACK, coap.RST) and not message.code:
            self._handle_empty_message(message)
            return
        if not message.code or coap.is_request(int(message.code)):
            return
        pending = self._pending_by_token.get(message.token)
        if message.mtype == coap.CON:
            self._acknowledge_response(message.mid, pending is not None)
        if pending is not None and pending.answer is None:
            pending.answer = message
            pending.notify()

    def _handle_empty_message(self, message: coap.Message) -> None:
        pending = self._pending_by_mid.get(message.mid)
        if pending is None:
            return
        if message.mtype == coap.RST:
            pending.rejected = True
        else:
            pending.acknowledged = True
        pending.notify()

    def _acknowledge_response(self, mid: int, is_awaited: bool) -> None:
        """Acknowledge a separate response and its retransmissions.

        A response that matches no request is rejected with a reset, which
        also ends its retransmission.
        """
        should_acknowledge = is_awaited or mid in self._acknowledged_mids
        if is_awaited:
            self._acknowledged_mids[mid] = None
            if len(self._acknowledged_mids) > MAX_ACKNOWLEDGED_MIDS:
                self._acknowledged_mids.popitem(last=False)
        message_type = coap.ACK if should_acknowledge else coap.RST
        self._port.send(
            coap.encode(coap.message(message_type, 0, mid)), self._remote
        )
