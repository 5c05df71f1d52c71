"""A registry of named entries; decorators add the entries."""

import typing

from bramleypin import errors

T = typing.TypeVar("T")


class Registry(typing.Generic[T]):
    """Maps names to entries such as admission policies or metrics.

    ``kind`` describes an entry in error messages.
    """

    def __init__(self, kind: str):
        self.kind = kind
        self.entry_by_name: dict[str, T] = {}

    def register(self, name: str) -> typing.Callable[[T], T]:
        """Return a decorator that registers its argument under a name."""

        def add_entry(entry: T) -> T:
            self.entry_by_name[name] = entry
            return entry

        return add_entry

    def get(self, name: str) -> T:
        """Return the entry of the given name.

        :raises errors.UnknownName: if there is none; the message lists the
            known names.
        """
        try:
            return self.entry_by_name[name]
        except KeyError:
            known_names = sorted(self.entry_by_name)
            raise errors.UnknownName(self.kind, name, known_names) from None
