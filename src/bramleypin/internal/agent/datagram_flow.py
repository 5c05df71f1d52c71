"""Flows of services with an arbitrary UDP protocol; one port per flow."""

import typing

import anyio

from bramleypin import errors
from bramleypin.internal.agent import flow as flow_module
from bramleypin.internal.agent import replies as replies_module
from bramleypin.internal.agent import request_execution
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import environment
from bramleypin.internal.observe import metrics

FLOW_IDLE_S = 300.0

# A drain waits for flows that carried a datagram in either direction within
# this time.
DRAIN_QUIET_S = 5.0

REFUSED = metrics.declare(
    "agent.datagrams.refused",
    "counter",
    "events",
    "Refusals by the endpoint of a datagram service.",
)


class DatagramFlows:
    """Relays datagrams between callers and the endpoint without parsing."""

    def __init__(
        self,
        kernel: kernel_module.Kernel,
        replies: replies_module.ReplySender,
        start_task: typing.Callable[..., None],
    ):
        self._endpoint = kernel.get("endpoint")
        self._metrics = kernel.get("metrics")
        self._replies = replies
        self._start_task = start_task

    async def serve(self, flow: flow_module.Flow) -> None:
        """Relay datagrams until the flow is closed or idle.

        A flow is idle after ``FLOW_IDLE_S`` without a datagram.
        """
        port = await self._endpoint.open_port()
        flow.port = port
        try:
            self._start_task(self._forward_responses, flow, port)
            while await self._forward_requests(flow, port):
                pass
        finally:
            flow.port = None
            flow.has_task = False
            await port.aclose()

    async def _forward_requests(
        self, flow: flow_module.Flow, port: environment.EndpointPort
    ) -> bool:
        while flow.inbox:
            datagram = flow.inbox.popleft()
            flow.latest_datagram = datagram
            self._record_activity(flow)
            port.send(datagram.data)
        flow.inbox_changed = anyio.Event()
        with anyio.move_on_after(FLOW_IDLE_S):
            await flow.inbox_changed.wait()
        idle_s = anyio.current_time() - flow.last_used_s
        return bool(flow.inbox) or (idle_s < FLOW_IDLE_S and bool(flow.keys))

    def _record_activity(self, flow: flow_module.Flow) -> None:
        flow.last_used_s = anyio.current_time()
        flow.transfer_until_s = flow.last_used_s + DRAIN_QUIET_S

    async def _forward_responses(
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
            if flow.latest_datagram is not None:
                self._record_activity(flow)
                self._replies.transmit(
                    _reply_route_for(flow.latest_datagram), data
                )


def _reply_route_for(
    datagram: flow_module.InboundDatagram,
) -> request_execution.ReplyRoute:
    return request_execution.ReplyRoute(
        return_address=datagram.forward.return_address,
        caller=datagram.forward.caller,
        service_address=datagram.forward.service_address,
        mid=0,
        confirmable=False,
    )
