"""Converts values that others have written, each on its own."""

import typing

from bramleypin.internal.observe import logs

T = typing.TypeVar("T")
Converted = typing.TypeVar("Converted")


def convert_each(
    values: typing.Iterable[T],
    convert: typing.Callable[[T], Converted],
    log: logs.PartLog,
    event: str,
) -> list[Converted]:
    """Return the results of converting values that others have written.

    A value whose conversion fails is logged as ``event`` and left out. Which
    error it raises depends on the value, so that no list of them is complete.
    """
    results = []
    for value in values:
        try:
            results.append(convert(value))
        except Exception as error:
            text = f"{type(error).__name__}: {error}"[:200]
            log.warn_throttled(event, event, error=text)
    return results
