"""An endpoint that records the requests that it runs.

It speaks CoAP over UDP (RFC 7252): a request with a repeated message id gets
the same answer and does not run again; long requests get a separate response.
Paths are ``/<service>/<kind>/<call id>/<run time in milliseconds>``.
"""

import dataclasses
import hashlib
import typing

import anyio
import cbor2

from bramleypin.internal import address
from bramleypin.internal.wire import coap
from bramleypin.matrix import journal as journal_module

# Smaller than the client's block size, so that the client must adopt it.
BLOCK_BYTES = 64
# A block has 2 ** (exponent + 4) bytes (RFC 7959).
BLOCK_EXPONENT = 2
BLOCK_COUNT = 6
REPORT_PATH = (".well-known", "bramleypin")
# Requests that run longer get an empty acknowledgement and a separate
# response.
SEPARATE_AFTER_S = 0.5
RETRANSMIT_TIMEOUTS_S = (2.0, 4.0, 8.0, 16.0)


def plan_payload(call_id: str, endpoint: str) -> bytes:
    """Return the content of a download.

    It differs between endpoints, so that the checker detects an answer with
    blocks of several endpoints.
    """
    lines = []
    for block in range(BLOCK_COUNT):
        digest = hashlib.sha256(f"{call_id} {endpoint} {block}".encode())
        text = digest.hexdigest().encode()
        lines.append(text * (BLOCK_BYTES // len(text)))
    return b"".join(lines)


def expected_payload(call_id: str, kind: str) -> bytes:
    """Return the answer to a request other than a download."""
    return f"{kind} {call_id} done".encode()


@dataclasses.dataclass
class Behaviour:
    """How the endpoint deviates from a healthy one.

    If ``sheds``, the endpoint refuses all requests. If ``reports_falsely``,
    it reports readiness and no load. The run time of requests is divided by
    ``speed``.
    """

    sheds: bool = False
    reports_falsely: bool = False
    speed: float = 1.0


class RecordingEndpoint:
    """An endpoint of a service; each ``run`` is a new instance.

    ``on_event`` holds functions that are called with an event and a run:
    "handed" at the start, "running" at half of the run time, and "finished"
    before the answer is sent.
    """

    def __init__(
        self,
        endpoint_id: str,
        service: str,
        listen_address: address.Address,
        slots: int,
        cold_slots: int,
        ramp_s: float,
        journal: journal_module.Journal,
    ):
        self.id = endpoint_id
        self.service = service
        self.address = listen_address
        self.slots = slots
        self.cold_slots = cold_slots
        self.ramp_s = ramp_s
        self.journal = journal
        self.behaviour = Behaviour()
        self.instance = 0
        self.running = 0
        self.cold_since_s = float("-inf")
        self.on_event: list[typing.Callable[[str, typing.Any], None]] = []
        self._port: typing.Any = None
        self._answer_by_mid: dict[typing.Any, bytes | None] = {}
        self._ack_event_by_key: dict[typing.Any, anyio.Event] = {}
        self._last_mid = 0

    def capacity(self) -> int:
        """Return the number of requests that the endpoint can run at once now.

        After a cold start it rises linearly, over ``ramp_s``, from
        ``cold_slots`` to ``slots``.
        """
        age_s = anyio.current_time() - self.cold_since_s
        if age_s >= self.ramp_s:
            return self.slots
        added_slots = (self.slots - self.cold_slots) * age_s / self.ramp_s
        return self.cold_slots + int(added_slots)

    def turn_cold(self) -> None:
        """Become cold again, as a new instance, without announcing it."""
        self.cold_since_s = anyio.current_time()
        self.instance += 1

    async def run(self, process: typing.Any) -> None:
        """Serve until cancelled, as a process of the virtual network."""
        self.instance += 1
        self.running = 0
        self._answer_by_mid = {}
        self._port = await process.open_datagram_port(self.address)
        async with anyio.create_task_group() as tasks:
            while True:
                data, source = await self._port.receive()
                self._receive(tasks, coap.decode(data), source)

    def _receive(
        self, tasks: typing.Any, message: coap.Message, source: address.Address
    ) -> None:
        key = (source, message.mid)
        if not coap.is_request(int(message.code)):
            if key in self._ack_event_by_key:
                self._ack_event_by_key.pop(key).set()
            return
        if key in self._answer_by_mid:
            answer = self._answer_by_mid[key]
            if answer is not None:
                self._port.send(answer, source)
            return
        self._answer_by_mid[key] = None
        path = tuple(message.opt.uri_path)
        if coap.option(message, coap.CANCEL) is not None:
            # Requests run as soon as they arrive, so none can be cancelled.
            self._reply(message, source, coap.CHANGED, b"running")
        elif path == REPORT_PATH:
            self._reply(message, source, coap.CONTENT, self._encode_report())
        elif self.behaviour.sheds:
            self._reply(message, source, coap.SERVICE_UNAVAILABLE, b"shed")
        else:
            tasks.start_soon(self._serve, message, source, path)

    def _encode_report(self) -> bytes:
        is_cold = self.capacity() < self.slots
        report = {
            "instance": str(self.instance),
            "running": self.running,
            "state": "cold" if is_cold else "ready",
        }
        if self.behaviour.reports_falsely:
            report = {"instance": "1", "running": 0, "state": "ready"}
        return cbor2.dumps(report)

    async def _serve(
        self, message: coap.Message, source: address.Address, path: tuple
    ) -> None:
        named_service, kind, call_id, milliseconds = path
        duration_s = int(milliseconds) / 1000 / self.behaviour.speed
        block2 = message.opt.block2
        self.running += 1
        run = journal_module.Run(
            call_id=call_id,
            endpoint=self.id,
            instance=self.instance,
            service=self.service,
            named_service=named_service,
            method=coap.method_name(int(message.code)),
            started_s=anyio.current_time(),
            running=self.running,
            capacity=self.capacity(),
            block=0 if block2 is None else block2.start // BLOCK_BYTES,
        )
        self.journal.runs.append(run)
        is_separate = duration_s > SEPARATE_AFTER_S
        try:
            self._notify("handed", run)
            if is_separate:
                empty_ack = coap.message(coap.ACK, 0, message.mid)
                self._answer_by_mid[(source, message.mid)] = empty_ack.encode()
                self._port.send(empty_ack.encode(), source)
            await anyio.sleep(duration_s / 2)
            self._notify("running", run)
            await anyio.sleep(duration_s / 2)
            run.ended_s = anyio.current_time()
        finally:
            self.running -= 1
        self._notify("finished", run)
        await anyio.sleep(0.001)
        answer = self._answer(message, kind, call_id, run)
        if is_separate:
            await self._answer_separately(answer, source)
        else:
            answer.mtype = coap.ACK
            answer.mid = message.mid
            self._answer_by_mid[(source, message.mid)] = answer.encode()
            self._port.send(answer.encode(), source)

    def _answer(
        self,
        message: coap.Message,
        kind: str,
        call_id: str,
        run: journal_module.Run,
    ) -> coap.Message:
        if kind != "plan":
            code = coap.CONTENT if run.method == "GET" else coap.CHANGED
            body = expected_payload(call_id, kind)
            return coap.message(coap.CON, code, 0, message.token, body)
        payload = plan_payload(call_id, self.id)
        start = run.block * BLOCK_BYTES
        answer = coap.message(
            coap.CON,
            coap.CONTENT,
            0,
            message.token,
            payload[start : start + BLOCK_BYTES],
        )
        has_more = start + BLOCK_BYTES < len(payload)
        answer.opt.etag = hashlib.sha256(payload).digest()[:4]
        answer.opt.block2 = (run.block, has_more, BLOCK_EXPONENT)
        return answer

    async def _answer_separately(
        self, answer: coap.Message, source: address.Address
    ) -> None:
        self._last_mid = (self._last_mid + 1) % 0x10000
        answer.mid = self._last_mid
        key = (source, answer.mid)
        acknowledged = anyio.Event()
        self._ack_event_by_key[key] = acknowledged
        for wait_s in RETRANSMIT_TIMEOUTS_S:
            self._port.send(answer.encode(), source)
            with anyio.move_on_after(wait_s):
                await acknowledged.wait()
                return

    def _reply(
        self,
        message: coap.Message,
        source: address.Address,
        code: int,
        payload: bytes,
    ) -> None:
        answer = coap.message(
            coap.ACK, code, message.mid, message.token, payload
        )
        self._answer_by_mid[(source, message.mid)] = answer.encode()
        self._port.send(answer.encode(), source)

    def _notify(self, event: str, run: journal_module.Run) -> None:
        for listener in list(self.on_event):
            listener(event, run)
