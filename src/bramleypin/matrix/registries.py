"""The faults, steps, checks and broken variants of the matrix, by name."""

import dataclasses
import typing

from bramleypin.internal import registry


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault: a coroutine function that injects it into a running cell.

    ``inject(cell)`` returns when the fault is in effect; faults that end
    start a task for that with ``cell.later``.
    """

    name: str
    inject: typing.Callable[[typing.Any], typing.Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class Step:
    """A point in the life of a request; ``arm(cell)`` waits for it.

    What ``arm`` returns is the target: the processes that the request has
    reached by then.
    """

    name: str
    arm: typing.Callable[[typing.Any], typing.Awaitable[typing.Any]]


Check = typing.Callable[[typing.Any], typing.Iterable[str]]


@dataclasses.dataclass(frozen=True)
class Variant:
    """A deliberately broken decision, which some cell must catch.

    ``apply()`` patches the product and returns what undoes it. ``cells``
    names cells that are expected to catch it.
    """

    name: str
    breaks: str
    cells: tuple[str, ...]
    apply: typing.Callable[[], typing.Callable[[], None]]


FAULTS: registry.Registry[Fault] = registry.Registry("fault")
STEPS: registry.Registry[Step] = registry.Registry("step")
CHECKS: registry.Registry[Check] = registry.Registry("check")
VARIANTS: registry.Registry[Variant] = registry.Registry("variant")

T = typing.TypeVar("T")


def fault(name: str) -> typing.Callable[[T], T]:
    """Register a coroutine function as a fault."""

    def store(inject: typing.Any) -> typing.Any:
        FAULTS.register(name)(Fault(name, inject))
        return inject

    return store


def step(name: str) -> typing.Callable[[T], T]:
    """Register a coroutine function that waits for a step."""

    def store(arm: typing.Any) -> typing.Any:
        STEPS.register(name)(Step(name, arm))
        return arm

    return store


def check(promise: str) -> typing.Callable[[T], T]:
    """Register a function from a cell's record to violations."""

    def store(function: typing.Any) -> typing.Any:
        CHECKS.register(promise)(function)
        return function

    return store


def variant(name: str, breaks: str, *cells: str) -> typing.Callable[[T], T]:
    """Register a function that applies a broken variant."""

    def store(apply: typing.Any) -> typing.Any:
        VARIANTS.register(name)(Variant(name, breaks, cells, apply))
        return apply

    return store
