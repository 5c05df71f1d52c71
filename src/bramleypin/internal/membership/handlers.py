"""Registry of request handlers for control links, by message class."""

import typing

from bramleypin import errors
from bramleypin.internal.wire import control

Handler = typing.Callable[
    [typing.Any, typing.Any], typing.Awaitable[typing.Any]
]

# Each handler is called as ``await handler(kernel, message)`` and returns
# the answer message.
HANDLERS: dict[type, Handler] = {}


def register(message_class: type) -> typing.Callable[[Handler], Handler]:
    """Return a decorator that registers the handler of a message class."""

    def decorate(function: Handler) -> Handler:
        HANDLERS[message_class] = function
        return function

    return decorate


async def dispatch(kernel: typing.Any, message: typing.Any) -> typing.Any:
    """Dispatch a request to its handler and return the answer.

    A ``BramleypinError`` that the handler raises is returned as
    ``RequestFailed``, so that the link stays open.

    :raises errors.InvalidFrame: when no handler is registered for the class
        of the message.
    """
    function = HANDLERS.get(type(message))
    if function is None:
        raise errors.InvalidFrame("control_unexpected", type(message).__name__)
    try:
        return await function(kernel, message)
    except errors.BramleypinError as error:
        return control.RequestFailed(str(error))


@register(control.LeaseRequest)
async def _handle_lease_request(
    kernel: typing.Any, request: control.LeaseRequest
) -> control.LeaseAnswer:
    return control.LeaseAnswer(request.id, kernel.get("view").view.revision)
