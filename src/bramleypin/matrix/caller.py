"""Callers of a cell: the real client, with a record of its calls."""

import itertools
import typing

import anyio

from bramleypin import client as client_module
from bramleypin.internal import address
from bramleypin.internal import retry_budget
from bramleypin.matrix import deployment as deployment_module
from bramleypin.matrix import journal as journal_module

DEADLINE_S = 40.0
# Longest time by which a call may exceed its deadline.
MAX_OVERRUN_S = 1.0

OUTCOME_BY_RESULT_CLASS = {
    client_module.Answered: "answered",
    client_module.NotRun: "not_run",
    client_module.Unknown: "unknown",
    client_module.Invalid: "invalid",
}


class Caller:
    """A process outside the deployment that opens flows to its services.

    Each flow has a port of its own; the flows to one service share a retry
    budget.
    """

    def __init__(self, cell: typing.Any, name: str, host: str):
        self.cell = cell
        self.name = name
        self.process = cell.network.process(name, host)
        self.budget_by_service = {
            service: retry_budget.RetryBudget()
            for service in deployment_module.SERVICES
        }
        self._flow_numbers = itertools.count()

    async def open_flow(
        self, service: str, service_address: address.Address | None = None
    ) -> "Flow":
        """Open a flow to a service.

        ``service_address`` is by default the first address of the service.
        """
        if service_address is None:
            service_address = deployment_module.ADDRESS_BY_SERVICE[service]
        port = await self.process.open_datagram_port(
            address.Address(self.process.host, 0)
        )
        client = client_module.Client(
            port,
            service_address,
            self.process.random,
            budget=self.budget_by_service[service],
        )
        self.cell.tasks.start_soon(client.run)
        return Flow(self, next(self._flow_numbers), service, client, port)


class Flow:
    """A flow of a caller; its calls may run concurrently."""

    def __init__(
        self,
        caller: Caller,
        number: int,
        service: str,
        client: client_module.Client,
        port: typing.Any,
    ):
        self.caller = caller
        self.number = number
        self.service = service
        self._client = client
        self._port = port
        self._last_answered_start_s: float | None = None
        self._call_numbers = itertools.count()

    async def call(
        self,
        method: str,
        kind: str,
        run_ms: int,
        call_id: str = "",
        deadline_s: float = DEADLINE_S,
    ) -> journal_module.Call:
        """Make a request and record its outcome in the journal.

        ``run_ms`` is the run time of the request at the endpoint in
        milliseconds.
        """
        journal = self.caller.cell.journal
        now_s = anyio.current_time()
        window_start_s = self._last_answered_start_s
        number = next(self._call_numbers)
        call = journal_module.Call(
            id=call_id or f"{self.caller.name}-{self.number}-{number}",
            caller=self.caller.name,
            flow=self.number,
            service=self.service,
            method=method,
            kind=kind,
            started_s=now_s,
            established=window_start_s is not None,
            window_start_s=now_s if window_start_s is None else window_start_s,
            deadline_s=deadline_s,
        )
        journal.calls[call.id] = call
        path = f"/{self.service}/{kind}/{call.id}/{run_ms}"
        result: typing.Any = None
        with anyio.move_on_after(deadline_s + MAX_OVERRUN_S):
            result = await self._client.request(
                method, path, deadline_s=deadline_s
            )
        self._record(call, result)
        return call

    def _record(self, call: journal_module.Call, result: typing.Any) -> None:
        journal = self.caller.cell.journal
        call.ended_s = anyio.current_time()
        if result is None:
            call.outcome = "silent"
            call.detail = (
                "the client did not return within 1 s after its deadline"
            )
            return
        call.outcome = OUTCOME_BY_RESULT_CLASS[type(result)]
        call.payload = getattr(result, "payload", b"")
        call.detail = getattr(result, "reason", "")
        if call.outcome != "answered":
            return
        endpoints = journal.endpoints_by_flow.setdefault(
            (call.caller, call.flow), set()
        )
        endpoints.update(run.endpoint for run in journal.runs_of(call.id))
        previous_s = self._last_answered_start_s or 0.0
        self._last_answered_start_s = max(previous_s, call.started_s)

    async def close(self) -> None:
        """Close the flow's port."""
        await self._port.aclose()
