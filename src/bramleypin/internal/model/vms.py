"""The platform's list of live and leaving VMs.

The list lags behind the actual state of the VMs.
"""

import typing

import cbor2
import msgspec

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal import conversion
from bramleypin.internal.model import configuration
from bramleypin.internal.observe import logs
from bramleypin import settings as settings_module

FORMAT = 1

_log = logs.get("vms")


class Vm(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A VM that runs a daemon, and the addresses of that daemon."""

    id: str
    role: typing.Literal["balancer", "agent"]
    failure_domain: str
    data: str
    control: str
    state: typing.Literal["live", "leaving"] = "live"

    @property
    def control_address(self) -> address.Address:
        """The TCP address for control links."""
        return address.parse(self.control)


def of_daemon(settings: settings_module.Settings) -> Vm:
    """Return the list entry for a daemon with the given settings."""
    return Vm(
        settings.id,
        settings.role,
        settings.failure_domain,
        settings.addresses.data,
        settings.addresses.control,
    )


class _UncheckedVmList(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """A VM list whose VMs are not converted yet."""

    format: int
    version: int
    vms: tuple[typing.Any, ...] = ()
    version_by_part: dict[str, int] = {}


class VmList(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The VM list; ``version`` increases with every change.

    A list that exceeds the size of a platform value is split by failure
    domain: ``vms`` is then empty, and ``version_by_part`` maps each failure
    domain to the version of the list under ``vms/<failure domain>``.
    """

    format: int
    version: int
    vms: tuple[Vm, ...] = ()
    version_by_part: dict[str, int] = {}


def encode(document: VmList) -> bytes:
    """Encode a VM list in the format of the platform."""
    return cbor2.dumps(msgspec.to_builtins(document))


def decode(data: bytes) -> VmList:
    """Decode and validate a VM list; an invalid VM is left out.

    :raises errors.InvalidConfiguration: with the path of the invalid value,
        if the list itself is invalid.
    """
    document = configuration.decode(data, _UncheckedVmList, "vms")
    members = conversion.convert_each(
        document.vms, _convert, _log, "skipped a VM of the list"
    )
    return VmList(
        document.format,
        document.version,
        tuple(members),
        document.version_by_part,
    )


def _convert(value: typing.Any) -> Vm:
    vm = msgspec.convert(value, Vm)
    check(vm)
    return vm


def check(vm: Vm) -> None:
    """Check the addresses of a VM.

    :raises errors.InvalidConfiguration: with the VM and the address.
    """
    for text in (vm.data, vm.control):
        try:
            address.parse(text)
        except errors.InvalidFrame as error:
            raise errors.InvalidConfiguration(
                "vms", vm.id, f"{text} is not an IPv4 address and port"
            ) from error


def convert(values: typing.Iterable[list[str]]) -> list[Vm]:
    """Decode and validate the VMs of a control message, sent as arrays.

    :raises errors.InvalidFrame: when one of them is malformed.
    """
    try:
        result = [_convert(item) for item in values]
    except (msgspec.ValidationError, errors.InvalidConfiguration) as error:
        raise errors.InvalidFrame("control_malformed", str(error)) from error
    return result
