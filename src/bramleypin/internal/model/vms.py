"""The platform's VM list: which VMs are live or leaving. It lags."""

import typing

import cbor2
import msgspec

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.model import configuration
from bramleypin import settings as settings_module

FORMAT = 1


class Vm(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A VM with a process of the system, and where that process listens."""

    id: str
    role: typing.Literal["balancer", "agent"]
    failure_domain: str
    data: str
    control: str
    state: typing.Literal["live", "leaving"] = "live"

    @property
    def control_address(self) -> address.Address:
        """TCP address for control links."""
        return address.parse(self.control)


def of_daemon(settings: settings_module.Settings) -> Vm:
    """Return the entry of the VM that runs a daemon with these settings."""
    return Vm(
        settings.id,
        settings.role,
        settings.failure_domain,
        settings.addresses.data,
        settings.addresses.control,
    )


class VmList(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The list; ``version`` grows with every change.

    A list that outgrows one value of the platform is split: ``vms`` is then
    empty and ``version_by_part`` names a failure domain for each part, which
    is a list of its own under ``vms/<failure domain>``.
    """

    format: int
    version: int
    vms: tuple[Vm, ...] = ()
    version_by_part: dict[str, int] = {}


def encode(document: VmList) -> bytes:
    """Encode a list as the platform holds it."""
    return cbor2.dumps(msgspec.to_builtins(document))


def decode(data: bytes) -> VmList:
    """Decode and validate a list.

    :raises errors.InvalidConfiguration: naming the place.
    """
    document = configuration.decode(data, VmList, "vms")
    for vm in document.vms:
        check(vm)
    return document


def check(vm: Vm) -> None:
    """Check the addresses of a VM.

    :raises errors.InvalidConfiguration: naming the VM and the address.
    """
    for text in (vm.data, vm.control):
        try:
            address.parse(text)
        except errors.InvalidFrame as error:
            raise errors.InvalidConfiguration(
                "vms", vm.id, f"{text} is no IPv4 address and port"
            ) from error


def convert(values: typing.Iterable[list[str]]) -> list[Vm]:
    """Validate VMs that arrived as arrays in a control message.

    :raises errors.InvalidFrame: when one of them is malformed.
    """
    try:
        result = [msgspec.convert(item, Vm) for item in values]
        for vm in result:
            check(vm)
    except (msgspec.ValidationError, errors.InvalidConfiguration) as error:
        raise errors.InvalidFrame("control_malformed", str(error)) from error
    return result
