"""Handlers of the command-line tool's status, trace and burn requests."""

import typing

from bramleypin.internal.membership import handlers
from bramleypin.internal.wire import control


@handlers.register(control.StatusRequest)
async def _handle_status(
    kernel: typing.Any, request: control.StatusRequest
) -> control.StatusAnswer:
    return control.StatusAnswer(kernel.get("status").collect())


@handlers.register(control.TraceRequest)
async def _handle_trace(
    kernel: typing.Any, request: control.TraceRequest
) -> control.TraceAnswer:
    entries = kernel.get("trace").report(request.text, request.limit)
    return control.TraceAnswer(entries)


@handlers.register(control.OutcomesRequest)
async def _handle_burn(
    kernel: typing.Any, request: control.OutcomesRequest
) -> control.OutcomesAnswer:
    return control.OutcomesAnswer(
        kernel.get("outcomes").report(request.since_s)
    )
