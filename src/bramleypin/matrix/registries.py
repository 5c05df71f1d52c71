"""The faults, steps, checks and broken variants of the matrix, by name."""

import dataclasses
import typing

from bramleypin.internal import registry


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault: a coroutine function that injects it into a running cell.

    ``inject(cell)`` returns when the fault is in effect. A fault that ends
    later schedules its end with ``cell.call_later``.
    """

    name: str
    inject: typing.Callable[[typing.Any], typing.Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class Step:
    """A point in the course of the watched caller's requests.

    ``wait_until_reached(cell)`` returns when a running cell reaches the step.
    """

    name: str
    wait_until_reached: typing.Callable[
        [typing.Any], typing.Awaitable[typing.Any]
    ]


Check = typing.Callable[[typing.Any], typing.Iterable[str]]


@dataclasses.dataclass(frozen=True)
class Variant:
    """A deliberately broken behaviour, which some cell must catch.

    ``apply()`` patches the code and returns a function that restores it. The
    variant breaks ``promise``, and the cells named in ``cells`` are expected
    to catch it.
    """

    name: str
    promise: str
    cells: tuple[str, ...]
    apply: typing.Callable[[], typing.Callable[[], None]]


FAULTS: registry.Registry[Fault] = registry.Registry("fault")
STEPS: registry.Registry[Step] = registry.Registry("step")
CHECKS: registry.Registry[Check] = registry.Registry("check")
VARIANTS: registry.Registry[Variant] = registry.Registry("variant")

T = typing.TypeVar("T")


def fault(name: str) -> typing.Callable[[T], T]:
    """Register a coroutine function as a fault."""

    def add_entry(inject: typing.Any) -> typing.Any:
        FAULTS.register(name)(Fault(name, inject))
        return inject

    return add_entry


def step(name: str) -> typing.Callable[[T], T]:
    """Register a coroutine function that waits for a step."""

    def add_entry(wait_until_reached: typing.Any) -> typing.Any:
        STEPS.register(name)(Step(name, wait_until_reached))
        return wait_until_reached

    return add_entry


def check(promise: str) -> typing.Callable[[T], T]:
    """Register a function that yields the violations in a cell's journal."""

    def add_entry(function: typing.Any) -> typing.Any:
        CHECKS.register(promise)(function)
        return function

    return add_entry


def variant(name: str, promise: str, *cells: str) -> typing.Callable[[T], T]:
    """Register a function that applies a broken variant.

    The variant breaks ``promise``, and ``cells`` must catch it.
    """

    def add_entry(apply: typing.Any) -> typing.Any:
        VARIANTS.register(name)(Variant(name, promise, cells, apply))
        return apply

    return add_entry
