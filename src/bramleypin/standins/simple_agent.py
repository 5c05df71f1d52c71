"""A simulated agent that owns flows and answers without admission control.

Tests and benchmarks of balancers use it instead of the real agent.
"""

import random

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.balancer import flow_key
from bramleypin.internal.net import environment
from bramleypin.internal.wire import coap
from bramleypin.internal.wire import frames
from bramleypin.internal.wire import pin as pin_module


def _is_coap(payload: bytes) -> bool:
    try:
        coap.decode(payload)
    except errors.InvalidFrame:
        return False
    return True


class SimpleAgent:
    """Owns flows and answers requests itself, without an endpoint.

    ``received`` holds the FORWARD frames that the agent handled as owner, with
    their payloads. It does not hold rejected frames or frames that were passed
    to another owner. ``malformed_payloads`` holds payloads that are no CoAP
    message.
    """

    def __init__(
        self,
        env: environment.Environment,
        bind_address: address.Address,
        service: str,
        failure_domain: str,
        keys: tuple[bytes, ...],
        rng: random.Random,
        protocol: str = "coap",
    ):
        self._environment = env
        self._bind_address = bind_address
        self.service = service
        self.failure_domain = failure_domain
        self.protocol = protocol
        self._keys = keys
        self.incarnation = rng.getrandbits(47)
        self.state = frames.State.READY
        self.revision = 1
        self.flow_id_by_key: dict[bytes, int] = {}
        self._chosen_owner_by_key: dict[bytes, address.Address] = {}
        self.received: list[tuple[frames.Forward, bytes]] = []
        self.malformed_payloads: list[bytes] = []
        self.probes = 0

    async def start(self) -> None:
        """Open the data port."""
        self.port = await self._environment.open_datagram_port(
            self._bind_address
        )

    async def run(self) -> None:
        """Answer frames until the port is closed."""
        while True:
            try:
                data, sender = await self.port.receive()
                frame, _, payload = frames.decode(data, self._keys)
            except errors.PortClosed:
                return
            except errors.InvalidFrame:
                continue
            if isinstance(frame, frames.Probe):
                self._answer_probe(frame, sender)
            elif isinstance(frame, frames.Forward):
                self._handle_forward(frame, payload)

    async def stop(self) -> None:
        """Close the data port, which ends ``run``."""
        await self.port.aclose()

    def _send(
        self,
        frame: frames.Frame,
        destination: address.Address,
        payload: bytes = b"",
    ) -> None:
        self.port.send(
            frames.encode(frame, self._keys[0], 0, payload), destination
        )

    def _answer_probe(
        self, probe: frames.Probe, sender: address.Address
    ) -> None:
        self.probes += 1
        key = flow_key.encode(probe.caller, probe.service_address)
        answer = frames.ProbeAnswer(
            probe_id=probe.probe_id,
            holds=key in self.flow_id_by_key,
            state=self.state,
            load=len(self.flow_id_by_key) / 1_000,
            revision=self.revision,
            incarnation=self.incarnation,
        )
        self._send(answer, sender)

    def _handle_forward(self, forward: frames.Forward, payload: bytes) -> None:
        if forward.incarnation not in (0, self.incarnation):
            notice = frames.Notice(
                frames.NoticeReason.STALE_INCARNATION,
                self.revision,
                self.port.address,
                self.incarnation,
            )
            self._send(notice, forward.return_address)
            return
        key = flow_key.encode(forward.caller, forward.service_address)
        if forward.open and key not in self.flow_id_by_key:
            owner = self._choose_owner(key, forward)
            if owner != self.port.address:
                relayed_frame = frames.Forward(
                    nonce=forward.nonce,
                    incarnation=0,
                    revision=forward.revision,
                    service=forward.service,
                    service_address=forward.service_address,
                    caller=forward.caller,
                    return_address=forward.return_address,
                    pinned=False,
                    open=False,
                )
                self._send(relayed_frame, owner, payload)
                return
        if self.protocol == "coap" and not _is_coap(payload):
            self.malformed_payloads.append(payload)
            return
        self.received.append((forward, payload))
        if not forward.pinned:
            self.flow_id_by_key.setdefault(key, len(self.flow_id_by_key) + 1)
        self._send_answer(key, forward, payload)

    def _choose_owner(
        self, key: bytes, forward: frames.Forward
    ) -> address.Address:
        owner = self._chosen_owner_by_key.get(key)
        if owner is None and forward.candidates:
            best = min(forward.candidates, key=lambda item: item.load)
            owner = self._chosen_owner_by_key[key] = best.data
        return owner or self.port.address

    def _send_answer(
        self, key: bytes, forward: frames.Forward, payload: bytes
    ) -> None:
        pin = b""
        if self.protocol == "coap":
            pin = self.pin(self.flow_id_by_key.get(key, 0))
            request = coap.decode(payload)
            kind = coap.ACK if request.mtype == coap.CON else coap.NON
            answer = coap.message(
                kind, coap.CONTENT, request.mid, request.token, b"done"
            )
            coap.set_option(answer, coap.ECHO, pin)
            payload = coap.encode(answer)
        frame = frames.Answer(
            revision=self.revision,
            service=forward.service,
            service_address=forward.service_address,
            caller=forward.caller,
            owner=self.port.address,
            incarnation=self.incarnation,
            pin=pin,
        )
        self._send(frame, forward.return_address, payload)

    def pin(self, flow_id: int) -> bytes:
        """Return an encoded pin that names this agent as the flow's owner."""
        fields = pin_module.Pin(
            owner=self.port.address,
            failure_domain_code=pin_module.failure_domain_code(
                self.failure_domain
            ),
            incarnation=self.incarnation,
            flow_id=flow_id,
            issued_s=0,
        )
        return pin_module.encode(fields, self.service, self._keys[0])
