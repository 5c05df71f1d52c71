"""The micro-kernel: starts services by name and stops them in reverse."""

import dataclasses
import typing

import anyio
import anyio.abc

from bramleypin import errors
from bramleypin.internal.net import environment
from bramleypin.internal import registry
from bramleypin import settings as settings_module


class Service:
    """A part of a daemon that other parts find by its name.

    Subclasses are built from the kernel alone, and look up the services that
    they need in ``start``.
    """

    def __init__(self, kernel: "Kernel"):
        self.kernel = kernel

    async def start(self) -> None:
        """Prepare; the services named in ``needs`` have started already."""

    async def run(self) -> None:
        """Do the service's work until cancelled; may return at once."""

    async def drain(self) -> None:
        """Finish work in flight before a graceful stop; takes no new work."""

    async def stop(self) -> None:
        """Release what ``start`` took."""


@dataclasses.dataclass(frozen=True)
class Registration:
    """A service class with its name, roles and dependencies."""

    name: str
    roles: tuple[str, ...]
    needs: tuple[str, ...]
    factory: typing.Callable[["Kernel"], Service]


SERVICES: registry.Registry[Registration] = registry.Registry("service")


def service(
    name: str, roles: tuple[str, ...], needs: tuple[str, ...] = ()
) -> typing.Callable[[type], type]:
    """Register a service class under a name for the given roles.

    A name may stand for different classes in different roles, for example
    ``frames``, which reads the data port in its own way in each role.
    """

    def store(factory: type) -> type:
        entry = Registration(name, roles, needs, factory)
        for role in roles:
            SERVICES.register(f"{role}/{name}")(entry)
        return factory

    return store


def start_order(
    role: str, wanted: tuple[str, ...] | None = None
) -> list[Registration]:
    """Return a role's services, dependencies before their dependants.

    ``wanted`` limits them to some names and what these need.

    :raises errors.UnknownName: when a service needs one that the role lacks.
    """
    entry_by_name = {
        entry.name: entry
        for key, entry in SERVICES.entry_by_name.items()
        if key.startswith(f"{role}/")
    }
    ordered: dict[str, Registration] = {}

    def visit(name: str) -> None:
        if name in ordered:
            return
        if name not in entry_by_name:
            known = sorted(entry_by_name)
            raise errors.UnknownName(f"service of role {role}", name, known)
        for needed in entry_by_name[name].needs:
            visit(needed)
        ordered[name] = entry_by_name[name]

    for name in sorted(entry_by_name if wanted is None else wanted):
        visit(name)
    return list(ordered.values())


class Kernel:
    """Runs the services of one daemon.

    ``run`` returns after ``shutdown`` (graceful) or raises the failure of a
    service; cancelling it stops everything at once, like a crash. ``wanted``
    limits the services to some names and what these need.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        env: environment.Environment,
        wanted: tuple[str, ...] | None = None,
    ):
        self.settings = settings
        self.wanted = wanted
        self.environment = env
        self.service_by_name: dict[str, Service] = {}
        self.started = anyio.Event()
        self._shutdown = anyio.Event()

    def get(self, name: str) -> typing.Any:
        """Return the running service under a name.

        :raises errors.UnknownName: when this role has no such service.
        """
        try:
            return self.service_by_name[name]
        except KeyError:
            known = sorted(self.service_by_name)
            raise errors.UnknownName("service", name, known) from None

    def shutdown(self) -> None:
        """Ask for a graceful stop; may be called more than once."""
        self._shutdown.set()

    async def run(self) -> None:
        """Start all services, run them, and stop them in reverse order.

        :raises errors.ServiceFailed: naming the service and the cause.
        """
        order = start_order(self.settings.role, self.wanted)
        try:
            async with anyio.create_task_group() as tasks:
                for entry in order:
                    await self._start(entry, tasks)
                self.started.set()
                await self._shutdown.wait()
                for entry in reversed(order):
                    await self.service_by_name[entry.name].drain()
                tasks.cancel_scope.cancel()
        except BaseExceptionGroup as group:
            failure = _first_failure(group)
            if failure is None:
                raise
            raise failure from failure.cause
        finally:
            with anyio.CancelScope(shield=True):
                for entry in reversed(order):
                    if entry.name in self.service_by_name:
                        await self.service_by_name[entry.name].stop()

    async def _start(
        self, entry: Registration, tasks: anyio.abc.TaskGroup
    ) -> None:
        instance = entry.factory(self)
        try:
            await instance.start()
        except Exception as error:
            raise errors.ServiceFailed(entry.name, error) from error
        self.service_by_name[entry.name] = instance
        tasks.start_soon(self._run, entry.name, instance, name=entry.name)

    async def _run(self, name: str, instance: Service) -> None:
        try:
            await instance.run()
        except Exception as error:
            raise errors.ServiceFailed(name, error) from error


def _first_failure(
    group: BaseExceptionGroup,
) -> errors.ServiceFailed | None:
    for error in group.exceptions:
        if isinstance(error, errors.ServiceFailed):
            return error
        if isinstance(error, BaseExceptionGroup):
            found = _first_failure(error)
            if found is not None:
                return found
    return None
