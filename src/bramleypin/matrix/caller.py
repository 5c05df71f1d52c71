"""Callers of a cell: the product's client, with a record of its calls."""

import itertools
import typing

import anyio

from bramleypin import client as client_module
from bramleypin.internal import address
from bramleypin.internal import retry_budget
from bramleypin.matrix import deployment as deployment_module
from bramleypin.matrix import journal as journal_module

DEADLINE_S = 40.0
# No call may outlive its deadline by more than this.
OVERTIME_S = 1.0

OUTCOME_BY_CLASS = {
    client_module.Answered: "answered",
    client_module.NotRun: "not_run",
    client_module.Unknown: "unknown",
    client_module.Invalid: "invalid",
}


class Caller:
    """A tablet or desk: a process outside with a port for each flow."""

    def __init__(self, cell: typing.Any, name: str, host: str):
        self.cell = cell
        self.name = name
        self.process = cell.network.process(name, host)
        self.budget_by_service = {
            service: retry_budget.RetryBudget()
            for service in deployment_module.SERVICES
        }
        self._numbers = itertools.count()

    async def open_flow(
        self, service: str, at: address.Address | None = None
    ) -> "Flow":
        """Return a new flow to a service."""
        if at is None:
            at = deployment_module.ADDRESS_BY_SERVICE[service]
        port = await self.process.open_datagram_port(
            address.Address(self.process.host, 0)
        )
        client = client_module.Client(
            port,
            at,
            self.process.random,
            budget=self.budget_by_service[service],
        )
        self.cell.tasks.start_soon(client.run)
        return Flow(self, next(self._numbers), service, client, port)


class Flow:
    """A flow of a caller; its calls may run side by side."""

    def __init__(
        self,
        owner: Caller,
        number: int,
        service: str,
        client: client_module.Client,
        port: typing.Any,
    ):
        self.owner = owner
        self.number = number
        self.service = service
        self._client = client
        self._port = port
        self._answered_since_s: float | None = None
        self._calls = itertools.count()

    async def call(
        self,
        method: str,
        kind: str,
        run_ms: int,
        call_id: str = "",
        deadline_s: float = DEADLINE_S,
    ) -> journal_module.Call:
        """Make a request and record its outcome."""
        journal = self.owner.cell.journal
        now_s = anyio.current_time()
        since_s = self._answered_since_s
        number = next(self._calls)
        call = journal_module.Call(
            id=call_id or f"{self.owner.name}-{self.number}-{number}",
            caller=self.owner.name,
            flow=self.number,
            service=self.service,
            method=method,
            kind=kind,
            started_s=now_s,
            established=since_s is not None,
            since_s=now_s if since_s is None else since_s,
            deadline_s=deadline_s,
        )
        journal.calls[call.id] = call
        path = f"/{self.service}/{kind}/{call.id}/{run_ms}"
        result: typing.Any = None
        with anyio.move_on_after(deadline_s + OVERTIME_S):
            result = await self._client.request(
                method, path, deadline_s=deadline_s
            )
        self._record(call, result)
        return call

    def _record(self, call: journal_module.Call, result: typing.Any) -> None:
        journal = self.owner.cell.journal
        call.ended_s = anyio.current_time()
        if result is None:
            call.outcome = "silent"
            call.detail = "the client did not return at its deadline"
            return
        call.outcome = OUTCOME_BY_CLASS[type(result)]
        call.payload = getattr(result, "payload", b"")
        call.detail = getattr(result, "reason", "")
        if call.outcome != "answered":
            return
        owners = journal.owner_by_flow.setdefault(
            (call.caller, call.flow), set()
        )
        owners.update(run.endpoint for run in journal.runs_of(call.id))
        before_s = self._answered_since_s or 0.0
        self._answered_since_s = max(before_s, call.started_s)

    async def close(self) -> None:
        """Close the flow's port."""
        await self._port.aclose()
