"""Registries that decorators fill, for behaviour that varies."""

import typing

from bramleypin import errors

T = typing.TypeVar("T")


class Registry(typing.Generic[T]):
    """Entries by name, for example admission policies or metrics."""

    def __init__(self, kind: str):
        self.kind = kind
        self.entry_by_name: dict[str, T] = {}

    def register(self, name: str) -> typing.Callable[[T], T]:
        """Return a decorator that stores what it decorates under a name."""

        def store(entry: T) -> T:
            self.entry_by_name[name] = entry
            return entry

        return store

    def get(self, name: str) -> T:
        """Return the entry under a name.

        :raises errors.UnknownName: when there is none; the message lists
            the known names.
        """
        try:
            return self.entry_by_name[name]
        except KeyError:
            known = sorted(self.entry_by_name)
            raise errors.UnknownName(self.kind, name, known) from None
