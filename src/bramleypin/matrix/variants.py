"""Deliberately broken decisions; each must be caught by some cell.

They show that the checker sees what it claims to see.
"""

import collections.abc
import contextlib
import functools
import typing

from bramleypin.matrix import registries


def names() -> list[str]:
    """Return the names of all variants."""
    return list(registries.VARIANTS.entry_by_name)


@contextlib.contextmanager
def applied(name: str) -> collections.abc.Iterator[None]:
    """Apply a variant for some time; an empty name applies none."""
    if not name:
        yield
        return
    undo = registries.VARIANTS.get(name).apply()
    try:
        yield
    finally:
        undo()


def replace(
    owner: typing.Any, attribute: str, value: typing.Any
) -> typing.Callable[[], None]:
    """Replace an attribute and return what restores it."""
    before = getattr(owner, attribute)
    setattr(owner, attribute, value)
    return functools.partial(setattr, owner, attribute, before)


def replace_all(
    *changes: tuple[typing.Any, str, typing.Any],
) -> typing.Callable[[], None]:
    """Replace several attributes and return what restores them."""
    undone = [replace(*change) for change in changes]

    def restore() -> None:
        for undo in reversed(undone):
            undo()

    return restore
