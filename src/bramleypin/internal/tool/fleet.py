"""Queries running daemons over the control protocol."""

import collections.abc
import dataclasses
import pathlib
import typing

import anyio

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.membership import secure_link
from bramleypin.internal.model import vms
from bramleypin.internal.net import control as control_network
from bramleypin.internal.net import environment
from bramleypin.internal.net import platform
from bramleypin import settings as settings_module

# 1,500 daemons are queried in about 24 rounds; querying all at once would open
# a burst of links.
MAX_CONCURRENT_REQUESTS = 64
ANSWER_TIMEOUT_S = 5.0

AskOne = typing.Callable[
    [address.Address, typing.Any], typing.Awaitable[typing.Any]
]
OnCompletion = typing.Callable[[], None]


@dataclasses.dataclass
class Answers:
    """Answers by daemon, and the errors of daemons that did not answer."""

    answer_by_peer: dict[address.Address, typing.Any]
    fault_by_peer: dict[address.Address, str]

    def require_any(self) -> None:
        """Check that there is at least one answer.

        :raises errors.NoDaemonAnswered: when no daemon has answered.
        """
        if not self.answer_by_peer:
            error_by_peer = {
                str(peer): text for peer, text in self.fault_by_peer.items()
            }
            raise errors.NoDaemonAnswered(error_by_peer)


async def ask_all(
    ask_one: AskOne,
    peers: collections.abc.Iterable[address.Address],
    message: typing.Any,
    on_completion: OnCompletion = lambda: None,
) -> Answers:
    """Send a message to all daemons concurrently.

    ``on_completion`` is called after each answer or failure.
    """
    result = Answers({}, {})
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_REQUESTS)

    async def ask(peer: address.Address) -> None:
        async with limiter:
            try:
                answer = await ask_one(peer, message)
                result.answer_by_peer[peer] = answer
            except errors.BramleypinError as error:
                result.fault_by_peer[peer] = _error_text(error)
        on_completion()

    async with anyio.create_task_group() as tasks:
        for peer in peers:
            tasks.start_soon(ask, peer)
    result.answer_by_peer = dict(sorted(result.answer_by_peer.items()))
    result.fault_by_peer = dict(sorted(result.fault_by_peer.items()))
    return result


def _error_text(error: errors.BramleypinError) -> str:
    if isinstance(error, errors.AuthenticationFailed):
        return f"{error}; use a settings file with the daemons' key"
    return str(error) or type(error).__name__


def network() -> environment.ControlNetwork:
    """Return the network over which daemons are queried."""
    return control_network.WebsocketNetwork()


def make_ask_one(settings: settings_module.Settings) -> AskOne:
    """Return a function that asks one daemon with the settings' keys."""
    links = network()

    async def ask_one(peer: address.Address, message: typing.Any) -> object:
        return await secure_link.ask(
            links, peer, settings.key_bytes, message, ANSWER_TIMEOUT_S
        )

    return ask_one


async def resolve_peers(
    settings: settings_module.Settings,
    peer_texts: collections.abc.Sequence[str],
    vm_file: pathlib.Path | None,
) -> list[address.Address]:
    """Return the control addresses of the daemons to ask.

    These are the daemons in ``peer_texts`` or, if there are none, those in
    ``vm_file`` or, without that file, those in the platform's VM list.

    :raises errors.InvalidSettings: when an address or the file is wrong.
    :raises errors.PlatformUnavailable: when the platform is needed and cannot
        be read.
    """
    if peer_texts:
        return [_parse_peer(text) for text in peer_texts]
    if vm_file is not None:
        try:
            data = vm_file.read_bytes()
        except OSError as error:
            raise errors.InvalidSettings(
                str(vm_file),
                "(file)",
                error.strerror,
                "name a readable file with the VM list",
            ) from error
        return _control_addresses(vms.decode(data))
    source = platform.connect(settings.platform)
    try:
        prefix = settings.platform.prefix
        document = vms.decode((await source.read(f"{prefix}/vms")).value)
        addresses = _control_addresses(document)
        for part in document.version_by_part:
            value = await source.read(f"{prefix}/vms/{part}")
            addresses.extend(_control_addresses(vms.decode(value.value)))
    except (errors.PlatformUnavailable, errors.PlatformKeyMissing) as error:
        raise errors.PlatformUnavailable(
            f"{error}; name the daemons with --peer HOST:PORT or --vms FILE"
        ) from error
    return addresses


def _control_addresses(document: vms.VmList) -> list[address.Address]:
    return [vm.control_address for vm in document.vms]


def _parse_peer(text: str) -> address.Address:
    try:
        return address.parse(text)
    except errors.InvalidFrame:
        raise errors.InvalidSettings(
            "command line",
            "--peer",
            text,
            "write the control address of a daemon, for example "
            "127.10.1.1:7001",
        ) from None
