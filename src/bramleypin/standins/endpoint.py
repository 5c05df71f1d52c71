"""A simulated CoAP endpoint for tests, benchmarks and the demonstration.

The endpoint has a number of slots, a speed and a cold start, during which it
crashes when it gets more requests than its current capacity. It sheds and
cancels requests, honours deadlines and logs every execution, so that tests
can count the executions of a request.
"""

import collections
import hashlib
import random as random_module

import anyio
import anyio.abc
import cbor2

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.net import environment
from bramleypin.internal.wire import coap
from bramleypin.standins import endpoint_profile

BLOCK_BYTES = 1024
_BLOCK_EXPONENT = 6

SEPARATE_ACK_DELAY_S = 0.5
ACK_TIMEOUT_S = 2.0
MAX_TRANSMISSIONS = 4
MAX_CACHED_REPLIES = 4_096

NOT_FOUND = coap.parse_code("4.04")
HEALTH_PATH = (".well-known", "bramleypin")


Profile = endpoint_profile.Profile
Execution = endpoint_profile.Execution


class EndpointStandin:
    """A simulated endpoint; ``run`` also handles crashes and restarts."""

    def __init__(
        self,
        env: environment.Environment,
        listen_address: address.Address,
        profile: Profile | None = None,
    ):
        self.profile = profile or Profile()
        self.log: list[Execution] = []
        self.content_by_path: dict[str, bytes] = {}
        self.crashes = 0
        self.overload_crashes = 0
        self.shed = 0
        self.instance = 0
        self.running = 0
        self.busy_s = 0.0
        self.highest_in_flight = 0
        self._environment = env
        self._random: random_module.Random = env.random
        self._address = listen_address
        self._started_s = 0.0
        self._scope: anyio.CancelScope | None = None
        self._restart = anyio.Event()
        self._port: environment.DatagramPort
        self._tasks: anyio.abc.TaskGroup
        self._reset_state()

    def _reset_state(self) -> None:
        self.running = 0
        self._waiting: collections.deque[endpoint_profile.Job] = (
            collections.deque()
        )
        self._job_by_token: dict[tuple, endpoint_profile.Job] = {}
        self._reply_by_mid: collections.OrderedDict[tuple, bytes] = (
            collections.OrderedDict()
        )
        self._body_by_tag: dict[tuple, bytes] = {}
        self._confirmed_by_mid: dict[int, anyio.Event] = {}
        self._cancelled_tokens: set[tuple] = set()
        self._mid = self._random.randrange(1 << 16)

    async def run(self) -> None:
        """Serve until cancelled."""
        while True:
            self._restart = anyio.Event()
            await self._serve_instance()
            if self.profile.restart_s is None:
                await self._restart.wait()
            else:
                with anyio.move_on_after(self.profile.restart_s):
                    await self._restart.wait()

    async def _serve_instance(self) -> None:
        self.instance = self._random.getrandbits(32)
        self._started_s = anyio.current_time()
        self._history: collections.deque[endpoint_profile.TimedReport] = (
            collections.deque()
        )
        self._reset_state()
        self._port = await self._environment.open_datagram_port(self._address)
        try:
            with anyio.CancelScope() as self._scope:
                async with anyio.create_task_group() as self._tasks:
                    await self._receive_messages()
        finally:
            await self._port.aclose()

    def crash(self) -> None:
        """Simulate a process crash, which loses all state."""
        self.crashes += 1
        if self._scope is not None:
            self._scope.cancel()

    def restart(self) -> None:
        """Restart at once after a crash instead of after ``restart_s``."""
        self._restart.set()

    def turn_cold(self) -> None:
        """Become cold without a restart; the instance number is unchanged."""
        self._started_s = anyio.current_time()

    def capacity(self) -> int:
        """Return the number of concurrent requests that it can handle now."""
        profile = self.profile
        age_s = anyio.current_time() - self._started_s
        if profile.ramp_s <= 0 or age_s >= profile.ramp_s:
            return profile.slots
        extra = (profile.slots - profile.cold_slots) * age_s / profile.ramp_s
        return profile.cold_slots + int(extra)

    def is_cold(self) -> bool:
        """Return whether the cold-start ramp is still in progress."""
        age_s = anyio.current_time() - self._started_s
        return age_s < self.profile.ramp_s

    def in_flight(self) -> int:
        """Return the number of running and queued requests."""
        return self.running + len(self._waiting)

    def executions(self, key: bytes) -> list[Execution]:
        """Return the executions of the request with this body or path."""
        return [item for item in self.log if item.key == key]

    async def _receive_messages(self) -> None:
        while True:
            data, source = await self._port.receive()
            try:
                self._receive(coap.decode(data), source)
            except errors.InvalidFrame:
                continue

    def _receive(self, message: coap.Message, source: address.Address) -> None:
        if message.mtype in (coap.ACK, coap.RST):
            confirmed_event = self._confirmed_by_mid.get(message.mid)
            if confirmed_event is not None:
                confirmed_event.set()
            return
        if not coap.is_request(int(message.code)):
            return
        cached_reply = self._reply_by_mid.get((source, message.mid))
        if cached_reply is not None:
            if cached_reply:
                self._port.send(cached_reply, source)
            return
        self._cache_reply(message, source, b"")
        self._route(message, source)

    def _route(self, message: coap.Message, source: address.Address) -> None:
        if coap.option(message, coap.CANCEL) is not None:
            self._cancel(message, source)
        elif message.opt.uri_path == HEALTH_PATH:
            self._send_health_report(message, source)
        elif (source, message.token) in self._cancelled_tokens:
            self._reply(message, source, coap.SERVICE_UNAVAILABLE)
        else:
            self._accept(message, source)

    def _cache_reply(
        self, message: coap.Message, source: address.Address, data: bytes
    ) -> None:
        self._reply_by_mid[(source, message.mid)] = data
        if len(self._reply_by_mid) > MAX_CACHED_REPLIES:
            self._reply_by_mid.popitem(last=False)

    def _make_answer(
        self, message: coap.Message, code: int, payload: bytes = b""
    ) -> coap.Message:
        kind = coap.ACK if message.mtype == coap.CON else coap.NON
        return coap.message(kind, code, message.mid, message.token, payload)

    def _reply(
        self,
        message: coap.Message,
        source: address.Address,
        code: int,
        payload: bytes = b"",
    ) -> None:
        self._send(message, source, self._make_answer(message, code, payload))

    def _send(
        self,
        message: coap.Message,
        source: address.Address,
        answer: coap.Message,
    ) -> None:
        data = coap.encode(answer)
        self._cache_reply(message, source, data)
        self._port.send(data, source)

    def _send_health_report(
        self, message: coap.Message, source: address.Address
    ) -> None:
        if not self.profile.serves_health_report:
            self._reply(message, source, NOT_FOUND)
            return
        now_s = anyio.current_time()
        snapshot = {
            "instance": self.instance,
            "running": self.running,
            "state": "cold" if self.is_cold() else "ready",
        }
        self._history.append(endpoint_profile.TimedReport(now_s, snapshot))
        while (
            len(self._history) > 1
            and self._history[1].time_s <= now_s - self.profile.report_lag_s
        ):
            self._history.popleft()
        report = self._history[0].report
        if self.profile.falsify_report is not None:
            report = self.profile.falsify_report(dict(report))
        self._reply(message, source, coap.CONTENT, cbor2.dumps(report))

    def _cancel(self, message: coap.Message, source: address.Address) -> None:
        if not self.profile.supports_cancel:
            self._reply(message, source, coap.BAD_OPTION)
            return
        token = (source, message.token)
        job = self._job_by_token.get(token)
        if job is None:
            # An earlier instance may have run the request, so the answer must
            # not claim that it was not run.
            self._cancelled_tokens.add(token)
            self._reply(message, source, NOT_FOUND)
        elif job in self._waiting:
            self._waiting.remove(job)
            job.cancelled = True
            job.started.set()
            self._cancelled_tokens.add(token)
            self._reply(message, source, coap.DELETED, b"cancelled before run")
        else:
            self._reply(message, source, coap.CONFLICT, b"running")

    def _accept(self, message: coap.Message, source: address.Address) -> None:
        body = self._assemble(message, source)
        if body is None:
            return
        in_flight_count = self.in_flight()
        if in_flight_count >= self.capacity() and self.is_cold():
            self.overload_crashes += 1
            self.crash()
            return
        if in_flight_count >= self.profile.slots + self.profile.queue_limit:
            self.shed += 1
            self._reply(message, source, coap.SERVICE_UNAVAILABLE)
            return
        key = body or "/".join(message.opt.uri_path).encode()
        job = endpoint_profile.Job(message, source, key)
        self._job_by_token[(source, message.token)] = job
        if self.running < self.profile.slots:
            self.running += 1
            job.started.set()
        else:
            self._waiting.append(job)
        self.highest_in_flight = max(self.highest_in_flight, self.in_flight())
        self._tasks.start_soon(self._process_job, job)

    def _assemble(
        self, message: coap.Message, source: address.Address
    ) -> bytes | None:
        """Return the complete body, or ``None`` while blocks are missing."""
        block = message.opt.block1
        if block is None:
            return message.payload
        tag = coap.option(message, coap.REQUEST_TAG)
        key = (source, message.opt.uri_path, tag)
        received_body = self._body_by_tag.get(key, b"")
        if len(received_body) != block.start:
            self._reply(message, source, coap.REQUEST_ENTITY_INCOMPLETE)
            return None
        body = received_body + message.payload
        if not block.more:
            self._body_by_tag.pop(key, None)
            return body
        self._body_by_tag[key] = body
        answer = self._make_answer(message, coap.CONTINUE)
        answer.opt.block1 = block
        self._send(message, source, answer)
        return None

    async def _process_job(self, job: endpoint_profile.Job) -> None:
        await job.started.wait()
        if job.cancelled:
            return
        if self._is_past_deadline(job.message):
            self._reply(job.message, job.source, coap.SERVICE_UNAVAILABLE)
        else:
            await self._execute(job)
        self._release_slot(job)

    def _is_past_deadline(self, message: coap.Message) -> bool:
        return coap.uint_option(message, coap.DEADLINE) == 0

    async def _execute(self, job: endpoint_profile.Job) -> None:
        message = job.message
        now_s = anyio.current_time()
        execution = Execution(
            coap.method_name(int(message.code)),
            "/".join(message.opt.uri_path),
            job.key,
            self.instance,
            now_s,
        )
        self.log.append(execution)
        duration_s = self._duration_s(message)
        if duration_s > SEPARATE_ACK_DELAY_S:
            await anyio.sleep(SEPARATE_ACK_DELAY_S)
            self._acknowledge(job)
            await anyio.sleep(duration_s - SEPARATE_ACK_DELAY_S)
        else:
            await anyio.sleep(duration_s)
        execution.finished_s = anyio.current_time()
        self.busy_s += duration_s
        self._send_answer(job)

    def _duration_s(self, message: coap.Message) -> float:
        profile = self.profile
        block = message.opt.block2
        if block is not None and block.block_number > 0:
            return profile.block_time_s
        mean_s = profile.service_time_s / profile.speed
        if self.is_cold():
            mean_s *= profile.cold_factor
        if profile.exponential:
            return self._random.expovariate(1 / mean_s)
        return mean_s

    def _acknowledge(self, job: endpoint_profile.Job) -> None:
        if job.message.mtype == coap.CON:
            job.acknowledged = True
            empty = coap.message(coap.ACK, 0, job.message.mid)
            self._send(job.message, job.source, empty)

    def _send_answer(self, job: endpoint_profile.Job) -> None:
        answer = self._make_content_answer(job)
        if not job.acknowledged:
            self._send(job.message, job.source, answer)
            return
        self._mid = (self._mid + 1) % (1 << 16)
        answer.mtype = coap.CON
        answer.mid = self._mid
        self._tasks.start_soon(self._send_until_confirmed, answer, job.source)

    async def _send_until_confirmed(
        self, answer: coap.Message, source: address.Address
    ) -> None:
        confirmed_event = anyio.Event()
        self._confirmed_by_mid[answer.mid] = confirmed_event
        wait_s = ACK_TIMEOUT_S
        for _ in range(MAX_TRANSMISSIONS):
            self._port.send(coap.encode(answer), source)
            with anyio.move_on_after(wait_s):
                await confirmed_event.wait()
                break
            wait_s *= 2
        self._confirmed_by_mid.pop(answer.mid, None)

    def _make_content_answer(self, job: endpoint_profile.Job) -> coap.Message:
        message = job.message
        if message.code != coap.parse_code("0.01"):
            return self._make_answer(message, coap.CHANGED, job.key[:64])
        path = "/".join(message.opt.uri_path)
        content = self.content_by_path.get(path, path.encode())
        block = message.opt.block2
        number = 0 if block is None else block.block_number
        start = number * BLOCK_BYTES
        block_content = content[start : start + BLOCK_BYTES]
        answer = self._make_answer(message, coap.CONTENT, block_content)
        answer.opt.etag = hashlib.blake2s(content, digest_size=8).digest()
        if block is not None or len(content) > BLOCK_BYTES:
            more = start + BLOCK_BYTES < len(content)
            answer.opt.block2 = (number, more, _BLOCK_EXPONENT)
        return answer

    def _release_slot(self, job: endpoint_profile.Job) -> None:
        self._job_by_token.pop((job.source, job.message.token), None)
        self.running -= 1
        while self._waiting and self.running < self.profile.slots:
            next_job = self._waiting.popleft()
            self.running += 1
            next_job.started.set()
