"""Handlers of requests on control links, registered by message class."""

import typing

from bramleypin import errors
from bramleypin.internal.wire import control

Handler = typing.Callable[
    [typing.Any, typing.Any], typing.Awaitable[typing.Any]
]

# Message class -> async handler(kernel, message) -> answer.
HANDLERS: dict[type, Handler] = {}


def handler(kind: type) -> typing.Callable[[Handler], Handler]:
    """Register the handler of a message class."""

    def store(function: Handler) -> Handler:
        HANDLERS[kind] = function
        return function

    return store


async def answer(kernel: typing.Any, message: typing.Any) -> typing.Any:
    """Return the answer to a request; a failing handler ends no link."""
    function = HANDLERS.get(type(message))
    if function is None:
        raise errors.InvalidFrame("control_unexpected", type(message).__name__)
    try:
        return await function(kernel, message)
    except errors.BramleypinError as error:
        return control.RequestFailed(str(error))


@handler(control.LeaseRequest)
async def _lease(
    kernel: typing.Any, request: control.LeaseRequest
) -> control.LeaseAnswer:
    return control.LeaseAnswer(request.id, kernel.get("view").view.revision)
