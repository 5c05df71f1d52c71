"""What the view says of this agent's endpoint."""

import typing

from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.model import view as view_module


class OwnEndpoint:
    """Answers questions on the endpoint from the view that is in force."""

    def __init__(self, kernel: kernel_module.Kernel):
        self._settings = kernel.settings
        self._service = kernel.settings.endpoint.service
        self._endpoint_id = kernel.settings.endpoint.id
        self._views = kernel.get("view")
        self._kernel = kernel
        self._data = kernel.settings.addresses.data_address
        self._seen: view_module.View | None = None
        self._endpoint: view_module.EndpointView | None = None
        self._last: view_module.EndpointView | None = None

    @property
    def view(self) -> view_module.View:
        """Return the view that is in force."""
        return self._views.view

    def service(self) -> view_module.ServiceView | None:
        """Return the agent's service, or ``None`` when it was removed."""
        return self.view.service(self._service)

    def listed(self) -> view_module.EndpointView | None:
        """Return the endpoint as the view has it, or ``None``."""
        if self._seen is not self.view:
            self._seen = self.view
            service = self.service()
            self._endpoint = (
                None
                if service is None
                else service.endpoint(self._endpoint_id)
            )
            self._last = self._endpoint or self._last
        return self._endpoint

    def endpoint(self) -> view_module.EndpointView | None:
        """Return the endpoint, or its last entry after it was removed.

        Established flows go on under the last known limits.
        """
        return self.listed() or self._last

    def is_out(self) -> bool:
        """Tell whether the agent's failure domain is out of service."""
        return self.view.is_out(self._settings.failure_domain)

    def is_leaving(self) -> bool:
        """Tell whether the endpoint must get no new flow."""
        listed = self.listed()
        if listed is None or listed.leaving:
            return True
        members: typing.Any = self._kernel.service_by_name.get("members")
        return members is not None and members.is_leaving(self._data)

    def takes_new_flows(self, data: address.Address) -> bool:
        """Tell whether the view lets the agent at an address take flows.

        An agent that the view does not have yet may be new, so it may.
        """
        service = self.service()
        for item in () if service is None else service.endpoints:
            if item.data == data:
                out = self.view.is_out(item.failure_domain)
                return not out and not item.leaving
        return True

    def may_deliver(self, service: str, at: address.Address) -> bool:
        """Tell whether a datagram for a service address belongs here."""
        return (
            service == self._service
            and self.view.service_at(at) == self._service
        )

    def is_datagram_service(self) -> bool:
        """Tell whether the service carries another protocol than CoAP."""
        service = self.service()
        return service is not None and service.protocol == "datagram"

    def is_run_once(self, method: str) -> bool:
        """Tell whether the service lists a method as non-idempotent."""
        service = self.service()
        return service is not None and method in service.run_once
