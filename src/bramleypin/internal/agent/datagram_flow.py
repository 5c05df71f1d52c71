"""Flows of datagram services: any UDP protocol, one port for each flow."""

import typing

import anyio

from bramleypin import errors
from bramleypin.internal.agent import flow as flow_module
from bramleypin.internal.agent import replies as replies_module
from bramleypin.internal.agent import request_execution
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import environment
from bramleypin.internal.observe import metrics

IDLE_S = 300.0

# A flow with a datagram in either direction in this time holds up a drain.
QUIET_S = 5.0

REFUSED = metrics.declare(
    "agent.datagrams.refused",
    "counter",
    "events",
    "Refusals by the endpoint of a datagram service.",
)


class DatagramFlows:
    """Serves flows whose datagrams are not understood."""

    def __init__(
        self,
        kernel: kernel_module.Kernel,
        replies: replies_module.Replies,
        start: typing.Callable[..., None],
    ):
        self._endpoint = kernel.get("endpoint")
        self._metrics = kernel.get("metrics")
        self._replies = replies
        self._start = start

    async def serve(self, flow: flow_module.Flow) -> None:
        """Pass datagrams on until the flow has been idle for a while."""
        port = await self._endpoint.open_port()
        flow.port = port
        try:
            self._start(self._return, flow, port)
            while await self._pass_on(flow, port):
                pass
        finally:
            flow.port = None
            flow.has_task = False
            await port.aclose()

    async def _pass_on(
        self, flow: flow_module.Flow, port: environment.EndpointPort
    ) -> bool:
        while flow.inbox:
            arrival = flow.inbox.popleft()
            flow.newest = arrival
            self._touch(flow)
            port.send(arrival.data)
        flow.arrived = anyio.Event()
        with anyio.move_on_after(IDLE_S):
            await flow.arrived.wait()
        idle_s = anyio.current_time() - flow.used_s
        return bool(flow.inbox) or (idle_s < IDLE_S and bool(flow.keys))

    def _touch(self, flow: flow_module.Flow) -> None:
        flow.used_s = anyio.current_time()
        flow.transfer_until_s = flow.used_s + QUIET_S

    async def _return(
        self, flow: flow_module.Flow, port: environment.EndpointPort
    ) -> None:
        while True:
            try:
                data = await port.receive()
            except errors.EndpointRefused:
                self._metrics.count(REFUSED)
                continue
            except errors.PortClosed:
                return
            if flow.newest is not None:
                self._touch(flow)
                self._replies.transmit(_copy_of(flow.newest), data)


def _copy_of(arrival: flow_module.Arrival) -> request_execution.Copy:
    return request_execution.Copy(
        return_address=arrival.forward.return_address,
        caller=arrival.forward.caller,
        service_address=arrival.forward.service_address,
        mid=0,
        confirmable=False,
    )
