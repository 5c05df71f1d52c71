"""Sends answers to callers: piggybacked, separate and repeated ones."""

import collections
import math

import anyio

from bramleypin.internal.agent import flow as flow_module
from bramleypin.internal.agent import identity
from bramleypin.internal.agent import request_execution
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import metrics
from bramleypin.internal.wire import coap
from bramleypin.internal.wire import frames

EMPTY_ACK_DELAY_S = 1.0

# A caller whose answer was lost retransmits after 2 to 3 s and again 4 to 6 s
# later (RFC 7252, section 4.8). The window covers two lost answers.
RETRY_WINDOW_S = 10.0

ANSWERS = metrics.declare(
    "agent.answers", "counter", "datagrams", "Answers sent to callers."
)
UNCONFIRMED = metrics.declare(
    "agent.answers.unconfirmed",
    "counter",
    "answers",
    "Separate responses that no caller acknowledged.",
)


def reply_route_for(
    datagram: flow_module.InboundDatagram,
) -> request_execution.ReplyRoute:
    """Return the route for the answer to a datagram."""
    message = datagram.message
    return request_execution.ReplyRoute(
        return_address=datagram.forward.return_address,
        caller=datagram.forward.caller,
        service_address=datagram.forward.service_address,
        mid=message.mid,
        confirmable=message.mtype == coap.CON,
    )


class ReplySender:
    """Sends answers to callers through the balancers that forwarded them."""

    def __init__(self, kernel: kernel_module.Kernel):
        self._identity: identity.Identity = kernel.get("identity")
        self._port = kernel.get("port")
        self._views = kernel.get("view")
        self._metrics = kernel.get("metrics")
        self._random = kernel.environment.random
        self._service = kernel.settings.endpoint.service
        self._owner = kernel.settings.addresses.data_address
        self._pending_acks: collections.deque[
            tuple[float, flow_module.Flow, request_execution.Record]
        ] = collections.deque()
        self._ack_scheduled = anyio.Event()
        self._last_completion_s = -math.inf

    def record_completion(self) -> None:
        """Record the time at which a request got its final answer."""
        self._last_completion_s = anyio.current_time()

    def expects_retries(self) -> bool:
        """Return whether a caller may still retry after a lost answer."""
        return anyio.current_time() - self._last_completion_s < RETRY_WINDOW_S

    def current_pin(self, flow: flow_module.Flow) -> bytes:
        """Return the flow's pin, renewed if it is old or revoked."""
        now = anyio.current_time()
        is_old = now - flow.pin_issued_s > identity.PIN_RENEWAL_S
        if is_old or self._identity.is_revoked(flow.pin_issued_uptime_s):
            flow.pin = self._identity.issue_pin(flow.flow_id)
            flow.pin_issued_s = now
            flow.pin_issued_uptime_s = self._identity.uptime_s()
        return flow.pin

    def transmit(
        self,
        route: request_execution.ReplyRoute,
        data: bytes,
        pin: bytes = b"",
    ) -> None:
        """Send a datagram to a caller by a reply route."""
        header = frames.Answer(
            revision=self._views.view.revision,
            service=self._service,
            service_address=route.service_address,
            caller=route.caller,
            owner=self._owner,
            incarnation=self._identity.incarnation,
            pin=pin,
        )
        self._metrics.count(ANSWERS)
        self._port.send(
            self._identity.encode_frame(header, data), route.return_address
        )

    def send_answer(
        self,
        route: request_execution.ReplyRoute,
        answer: coap.Message,
        token: bytes,
        pin: bytes = b"",
    ) -> None:
        """Send an answer once: as ACK if confirmable, otherwise as NON."""
        answer.mtype = coap.ACK if route.confirmable else coap.NON
        answer.mid = route.mid
        answer.token = token
        self.transmit(route, coap.encode(answer), pin)

    def send_empty_ack(
        self, route: request_execution.ReplyRoute, pin: bytes
    ) -> None:
        """Send an empty ACK for a confirmable request.

        The answer follows as a separate response.
        """
        if route.confirmable:
            empty_ack = coap.message(coap.ACK, 0, route.mid)
            self.transmit(route, coap.encode(empty_ack), pin)

    def schedule_empty_ack(
        self, flow: flow_module.Flow, record: request_execution.Record
    ) -> None:
        """Schedule an empty ACK, sent if no answer is ready within 1 s."""
        due_s = anyio.current_time() + EMPTY_ACK_DELAY_S
        self._pending_acks.append((due_s, flow, record))
        self._ack_scheduled.set()

    async def run_empty_acks(self) -> None:
        """Send scheduled empty ACKs until cancelled.

        All have the same delay, so they fall due in the order of scheduling.
        """
        while True:
            if not self._pending_acks:
                self._ack_scheduled = anyio.Event()
                await self._ack_scheduled.wait()
            due_s, flow, record = self._pending_acks.popleft()
            await anyio.sleep(max(0.0, due_s - anyio.current_time()))
            if not record.execution.is_done and record.reply_route.confirmable:
                record.empty_ack_sent = True
                self.send_empty_ack(record.reply_route, self.current_pin(flow))

    async def send_separate_response(
        self, flow: flow_module.Flow, record: request_execution.Record
    ) -> None:
        """Retransmit a confirmable response until it is acknowledged.

        Each transmission uses the route of the latest copy of the request,
        because the balancer of an earlier copy may have failed.
        """
        mid = flow.new_mid()
        acknowledged = anyio.Event()
        flow.event_by_unacknowledged_mid[mid] = acknowledged
        timeout_s = coap.first_timeout_s(self._random)
        for _ in range(coap.MAX_RETRANSMIT + 1):
            self._transmit_separate_response(flow, record, mid)
            with anyio.move_on_after(timeout_s):
                await acknowledged.wait()
                break
            timeout_s *= 2
        else:
            self._metrics.count(UNCONFIRMED)
        del flow.event_by_unacknowledged_mid[mid]

    def _transmit_separate_response(
        self,
        flow: flow_module.Flow,
        record: request_execution.Record,
        mid: int,
    ) -> None:
        answer = record.answer
        answer.mtype = coap.CON
        answer.mid = mid
        answer.token = record.key[1]
        self.transmit(
            record.reply_route, coap.encode(answer), self.current_pin(flow)
        )
