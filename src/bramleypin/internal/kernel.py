"""Starts a daemon's services in dependency order; stops them in reverse."""

import dataclasses
import typing

import anyio
import anyio.abc

from bramleypin import errors
from bramleypin.internal.net import environment
from bramleypin.internal import registry
from bramleypin import settings as settings_module


class Service:
    """A component of a daemon that other components look up by name.

    Subclasses take the kernel as their only argument and look up the services
    that they depend on in ``start``.
    """

    def __init__(self, kernel: "Kernel"):
        self.kernel = kernel

    async def start(self) -> None:
        """Acquire resources; the services in ``needs`` are already started."""

    async def run(self) -> None:
        """Run until cancelled; may return immediately."""

    async def drain(self) -> None:
        """Stop accepting new work and finish what is in progress.

        Called before ``stop``, but only in a graceful shutdown.
        """

    async def stop(self) -> None:
        """Release the resources that ``start`` acquired."""


@dataclasses.dataclass(frozen=True)
class Registration:
    """A registered service class; ``needs`` lists its dependencies."""

    name: str
    roles: tuple[str, ...]
    needs: tuple[str, ...]
    factory: typing.Callable[["Kernel"], Service]


SERVICES: registry.Registry[Registration] = registry.Registry("service")


def service(
    name: str, roles: tuple[str, ...], needs: tuple[str, ...] = ()
) -> typing.Callable[[type], type]:
    """Register a service class under a name for the given roles.

    A name may refer to different classes in different roles: ``frames`` reads
    the data port differently in each role.
    """

    def register_class(factory: type) -> type:
        registration = Registration(name, roles, needs, factory)
        for role in roles:
            SERVICES.register(f"{role}/{name}")(registration)
        return factory

    return register_class


def start_order(
    role: str, service_names: tuple[str, ...] | None = None
) -> list[Registration]:
    """Return a role's services, dependencies before their dependants.

    If ``service_names`` is given, only these services and their dependencies
    are returned.

    :raises errors.UnknownName: if a service depends on one that is not
        registered for the role.
    """
    registration_by_name = {
        registration.name: registration
        for key, registration in SERVICES.entry_by_name.items()
        if key.startswith(f"{role}/")
    }
    ordered: dict[str, Registration] = {}

    def visit(name: str) -> None:
        if name in ordered:
            return
        if name not in registration_by_name:
            known_names = sorted(registration_by_name)
            raise errors.UnknownName(
                f"service of role {role}", name, known_names
            )
        for dependency in registration_by_name[name].needs:
            visit(dependency)
        ordered[name] = registration_by_name[name]

    for name in sorted(
        registration_by_name if service_names is None else service_names
    ):
        visit(name)
    return list(ordered.values())


class Kernel:
    """Runs the services of one daemon.

    ``run`` returns after a graceful ``shutdown`` or raises the failure of a
    service. Cancelling ``run`` stops all services without draining them. If
    ``service_names`` is given, only these services and their dependencies
    run.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        env: environment.Environment,
        service_names: tuple[str, ...] | None = None,
    ):
        self.settings = settings
        self.service_names = service_names
        self.environment = env
        self.service_by_name: dict[str, Service] = {}
        self.started = anyio.Event()
        self._shutdown_requested = anyio.Event()

    def get(self, name: str) -> typing.Any:
        """Return the started service of the given name.

        :raises errors.UnknownName: if no such service has started.
        """
        try:
            return self.service_by_name[name]
        except KeyError:
            known_names = sorted(self.service_by_name)
            raise errors.UnknownName("service", name, known_names) from None

    def shutdown(self) -> None:
        """Request a graceful shutdown; may be called more than once."""
        self._shutdown_requested.set()

    async def run(self) -> None:
        """Start and run all services, then stop them in reverse order.

        :raises errors.ServiceFailed: if a service fails; it contains the
            name of the service and the cause.
        """
        order = start_order(self.settings.role, self.service_names)
        try:
            async with anyio.create_task_group() as tasks:
                for registration in order:
                    await self._start_service(registration, tasks)
                self.started.set()
                await self._shutdown_requested.wait()
                for registration in reversed(order):
                    await self.service_by_name[registration.name].drain()
                tasks.cancel_scope.cancel()
        except BaseExceptionGroup as group:
            failure = _first_failure(group)
            if failure is None:
                raise
            raise failure from failure.cause
        finally:
            with anyio.CancelScope(shield=True):
                for registration in reversed(order):
                    if registration.name in self.service_by_name:
                        await self.service_by_name[registration.name].stop()

    async def _start_service(
        self, registration: Registration, tasks: anyio.abc.TaskGroup
    ) -> None:
        instance = registration.factory(self)
        try:
            await instance.start()
        except Exception as error:
            raise errors.ServiceFailed(registration.name, error) from error
        self.service_by_name[registration.name] = instance
        tasks.start_soon(
            self._run_service,
            registration.name,
            instance,
            name=registration.name,
        )

    async def _run_service(self, name: str, instance: Service) -> None:
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
            nested_failure = _first_failure(error)
            if nested_failure is not None:
                return nested_failure
    return None
