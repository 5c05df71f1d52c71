"""Applies broken variants of the code, as in mutation testing.

Each variant must be caught by some cell, which shows that the checker detects
violations of the promise that the variant breaks.
"""

import collections.abc
import contextlib
import functools
import typing

from bramleypin.matrix import registries


def names() -> list[str]:
    """Return the names of all registered variants."""
    return list(registries.VARIANTS.entry_by_name)


@contextlib.contextmanager
def apply_variant(name: str) -> collections.abc.Iterator[None]:
    """Apply a variant within a ``with`` block; an empty name applies none.

    :raises errors.UnknownName: when there is no variant of that name.
    """
    if not name:
        yield
        return
    undo = registries.VARIANTS.get(name).apply()
    try:
        yield
    finally:
        undo()


def replace_attribute(
    owner: typing.Any, attribute: str, value: typing.Any
) -> typing.Callable[[], None]:
    """Replace an attribute; return a function that restores it."""
    original = getattr(owner, attribute)
    setattr(owner, attribute, value)
    return functools.partial(setattr, owner, attribute, original)


def replace_attributes(
    *changes: tuple[typing.Any, str, typing.Any],
) -> typing.Callable[[], None]:
    """Replace several attributes; return a function that restores them."""
    undo_functions = [replace_attribute(*change) for change in changes]

    def restore() -> None:
        for undo in reversed(undo_functions):
            undo()

    return restore
