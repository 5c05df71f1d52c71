"""Keeps unexpected errors from ending the daemon.

A daemon that exits loses its flow table, and a message that it cannot handle
may be sent again at once. Each message is handled without waiting, so an error
leaves at most the state of one flow behind, which expires.
"""

import typing

import anyio

from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics

RESTART_DELAY_S = 0.05

HANDLER_ERRORS = metrics.declare(
    "stream.handler_errors",
    "counter",
    "messages",
    "Messages, timers and loops that failed with an unexpected error.",
)

_log = logs.get("guard")


def call(
    metrics_service: typing.Any,
    handler: typing.Callable[..., None],
    *arguments: typing.Any,
) -> None:
    """Call a handler; count and log an unexpected error instead of raising."""
    try:
        handler(*arguments)
    except Exception as error:
        _record_error(metrics_service, handler, error)


async def keep_running(
    metrics_service: typing.Any,
    loop: typing.Callable[[], typing.Awaitable[None]],
) -> None:
    """Run a loop until it returns; restart it after an unexpected error.

    The error is counted and logged. Whatever caused it may still be there, so
    there is a pause before the next start.
    """
    while True:
        try:
            await loop()
            return
        except Exception as error:
            _record_error(metrics_service, loop, error)
        await anyio.sleep(RESTART_DELAY_S)


def _record_error(
    metrics_service: typing.Any,
    handler: typing.Callable[..., object],
    error: Exception,
) -> None:
    metrics_service.count(HANDLER_ERRORS)
    name = getattr(handler, "__qualname__", repr(handler))
    _log.warn_throttled(
        f"error {name} {type(error).__name__}",
        "handler failed",
        handler=name,
        error=f"{type(error).__name__}: {error}"[:200],
    )
