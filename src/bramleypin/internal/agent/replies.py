"""Answers to callers: piggybacked, separate, and repeated."""

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

ANNOUNCE_AFTER_S = 1.0

# A caller whose answer was lost repeats the request after 2 to 3 s, and again
# 4 to 6 s later (RFC 7252, section 4.8). This covers two lost answers.
DOUBT_S = 10.0

ANSWERS = metrics.declare(
    "agent.answers", "counter", "datagrams", "Answers sent to callers."
)
UNCONFIRMED = metrics.declare(
    "agent.answers.unconfirmed",
    "counter",
    "answers",
    "Separate responses that no caller acknowledged.",
)


def copy_of(arrival: flow_module.Arrival) -> request_execution.Copy:
    """Return where the answer to an arrival goes."""
    message = arrival.message
    return request_execution.Copy(
        return_address=arrival.forward.return_address,
        caller=arrival.forward.caller,
        service_address=arrival.forward.service_address,
        mid=message.mid,
        confirmable=message.mtype == coap.CON,
    )


class Replies:
    """Sends datagrams to callers through the balancers they came by."""

    def __init__(self, kernel: kernel_module.Kernel):
        self._identity: identity.Identity = kernel.get("identity")
        self._port = kernel.get("port")
        self._views = kernel.get("view")
        self._metrics = kernel.get("metrics")
        self._random = kernel.environment.random
        self._service = kernel.settings.endpoint.service
        self._owner = kernel.settings.addresses.data_address
        self._unanswered: collections.deque[
            tuple[float, flow_module.Flow, request_execution.Record]
        ] = collections.deque()
        self._added = anyio.Event()
        self._concluded_s = -math.inf

    def note_conclusion(self) -> None:
        """Remember that a request has just got its final answer."""
        self._concluded_s = anyio.current_time()

    def is_in_doubt(self) -> bool:
        """Tell whether a caller may still ask for an answer that was lost."""
        return anyio.current_time() - self._concluded_s < DOUBT_S

    def pin_of(self, flow: flow_module.Flow) -> bytes:
        """Return a pin for a flow, issued anew when the last one is old."""
        now = anyio.current_time()
        old = now - flow.pin_issued_s > identity.PIN_RENEWAL_S
        if old or self._identity.is_fenced(flow.pin_issue):
            flow.pin = self._identity.issue_pin(flow.flow_id)
            flow.pin_issued_s = now
            flow.pin_issue = self._identity.now_s()
        return flow.pin

    def transmit(
        self, copy: request_execution.Copy, data: bytes, pin: bytes = b""
    ) -> None:
        """Send a datagram to the caller of a copy."""
        header = frames.Answer(
            revision=self._views.view.revision,
            service=self._service,
            service_address=copy.service_address,
            caller=copy.caller,
            owner=self._owner,
            incarnation=self._identity.incarnation,
            pin=pin,
        )
        self._metrics.count(ANSWERS)
        self._port.send(self._identity.seal(header, data), copy.return_address)

    def send_once(
        self,
        copy: request_execution.Copy,
        answer: coap.Message,
        token: bytes,
        pin: bytes = b"",
    ) -> None:
        """Send an answer in the form that the copy asks for."""
        answer.mtype = coap.ACK if copy.confirmable else coap.NON
        answer.mid = copy.mid
        answer.token = token
        self.transmit(copy, coap.encode(answer), pin)

    def acknowledge(self, copy: request_execution.Copy, pin: bytes) -> None:
        """Send an empty ACK: the answer comes separately."""
        if copy.confirmable:
            empty = coap.message(coap.ACK, 0, copy.mid)
            self.transmit(copy, coap.encode(empty), pin)

    def announce_later(
        self, flow: flow_module.Flow, record: request_execution.Record
    ) -> None:
        """Acknowledge the request if it is not answered within a second."""
        due_s = anyio.current_time() + ANNOUNCE_AFTER_S
        self._unanswered.append((due_s, flow, record))
        self._added.set()

    async def run_announcements(self) -> None:
        """Send the empty ACKs; all wait equally long, so order suffices."""
        while True:
            if not self._unanswered:
                self._added = anyio.Event()
                await self._added.wait()
            due_s, flow, record = self._unanswered.popleft()
            await anyio.sleep(max(0.0, due_s - anyio.current_time()))
            if not record.ticket.is_done and record.newest.confirmable:
                record.announced = True
                self.acknowledge(record.newest, self.pin_of(flow))

    async def send_separately(
        self, flow: flow_module.Flow, record: request_execution.Record
    ) -> None:
        """Send a confirmable response until the caller acknowledges it.

        Each transmission goes to the newest copy's return address, because
        an earlier balancer may have gone.
        """
        mid = flow.new_mid()
        confirmed = anyio.Event()
        flow.confirmed_by_mid[mid] = confirmed
        wait_s = coap.first_timeout_s(self._random)
        for _ in range(coap.MAX_RETRANSMIT + 1):
            self._send_separate(flow, record, mid)
            with anyio.move_on_after(wait_s):
                await confirmed.wait()
                break
            wait_s *= 2
        else:
            self._metrics.count(UNCONFIRMED)
        del flow.confirmed_by_mid[mid]

    def _send_separate(
        self,
        flow: flow_module.Flow,
        record: request_execution.Record,
        mid: int,
    ) -> None:
        answer = record.answer
        answer.mtype = coap.CON
        answer.mid = mid
        answer.token = record.key[1]
        self.transmit(record.newest, coap.encode(answer), self.pin_of(flow))
