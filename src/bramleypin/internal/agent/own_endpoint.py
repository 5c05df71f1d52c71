"""Queries on the current view about this agent's endpoint."""

import typing

from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.model import view as view_module


class OwnEndpoint:
    """Looks up this agent's endpoint and service in the current view."""

    def __init__(self, kernel: kernel_module.Kernel):
        self._settings = kernel.settings
        self._service = kernel.settings.endpoint.service
        self._endpoint_id = kernel.settings.endpoint.id
        self._views = kernel.get("view")
        self._kernel = kernel
        self._data_address = kernel.settings.addresses.data_address
        self._cached_view: view_module.View | None = None
        self._current_entry: view_module.EndpointView | None = None
        self._last_entry: view_module.EndpointView | None = None

    @property
    def view(self) -> view_module.View:
        """The current view."""
        return self._views.view

    def service(self) -> view_module.ServiceView | None:
        """Return the agent's service, or ``None`` when it was removed."""
        return self.view.service(self._service)

    def current_entry(self) -> view_module.EndpointView | None:
        """Return the endpoint's entry in the current view, or ``None``."""
        if self._cached_view is not self.view:
            self._cached_view = self.view
            service = self.service()
            self._current_entry = (
                None
                if service is None
                else service.endpoint(self._endpoint_id)
            )
            self._last_entry = self._current_entry or self._last_entry
        return self._current_entry

    def endpoint(self) -> view_module.EndpointView | None:
        """Return the endpoint's current entry, or the last one if removed.

        Established flows continue under the last known limits.
        """
        return self.current_entry() or self._last_entry

    def is_out(self) -> bool:
        """Return whether the agent's failure domain is out of service."""
        return self.view.is_out(self._settings.failure_domain)

    def is_leaving(self) -> bool:
        """Return whether the endpoint must not receive new flows."""
        current_entry = self.current_entry()
        if current_entry is None or current_entry.leaving:
            return True
        members: typing.Any = self._kernel.service_by_name.get("members")
        return members is not None and members.is_leaving(self._data_address)

    def may_receive_new_flows(self, data_address: address.Address) -> bool:
        """Return whether the agent at an address may receive new flows.

        An agent that is missing from the view is allowed, because a later
        revision may have added it.
        """
        service = self.service()
        for item in () if service is None else service.endpoints:
            if item.data == data_address:
                is_out = self.view.is_out(item.failure_domain)
                return not is_out and not item.leaving
        return True

    def may_deliver(
        self, service: str, service_address: address.Address
    ) -> bool:
        """Return whether this agent serves a service at an address."""
        return (
            service == self._service
            and self.view.service_at(service_address) == self._service
        )

    def is_datagram_service(self) -> bool:
        """Return whether the service uses a protocol other than CoAP."""
        service = self.service()
        return service is not None and service.protocol == "datagram"

    def is_run_once(self, method: str) -> bool:
        """Return whether the service lists a method as non-idempotent."""
        service = self.service()
        return service is not None and method in service.run_once
