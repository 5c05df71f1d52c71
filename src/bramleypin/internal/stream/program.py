"""Entry point of daemons that carry stream flows."""

import dataclasses
import random
import signal
import time
import typing

import anyio
import anyio.abc

from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import datagram
from bramleypin.internal.net import environment
from bramleypin.internal.net import lazy_control
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import structured
from bramleypin.internal import services
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import settings as stream_settings
from bramleypin.internal.stream import view

_log = logs.get("kernel")


@dataclasses.dataclass
class StreamEnvironment:
    """External interfaces of a daemon: network, store, codec, randomness.

    ``unix_time`` returns the time of day in seconds. It may jump, so it is
    only compared with times that other processes on the machine report.
    """

    open_datagram_port: typing.Callable[
        [address.Address], typing.Awaitable[environment.DatagramPort]
    ]
    open_listener: typing.Callable[
        [address.Address], typing.Awaitable[anyio.abc.Listener]
    ]
    control: environment.ControlNetwork
    platform: view.ViewSource
    codec: segment.SegmentCodec
    random: random.Random
    unix_time: typing.Callable[[], float] = time.time


async def _open_listener(
    listen_address: address.Address,
) -> anyio.abc.Listener:
    return await anyio.create_tcp_listener(
        local_host=listen_address.host, local_port=listen_address.port
    )


async def serve(
    settings: stream_settings.StreamSettings,
    codec: segment.SegmentCodec,
    source: view.ViewSource,
) -> None:
    """Run a daemon until SIGTERM or SIGINT, then stop it gracefully.

    :raises errors.ServiceFailed: when one of the daemon's services fails.
    """
    structured.configure(settings.log_level)
    services.load(settings.role)
    stream_environment = StreamEnvironment(
        open_datagram_port=datagram.open_port,
        open_listener=_open_listener,
        control=lazy_control.LazyControlNetwork(),
        platform=source,
        codec=codec,
        random=random.SystemRandom(),
    )
    kernel = kernel_module.Kernel(settings, stream_environment)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_handle_signals, kernel)
        _log.info("starting", role=settings.role, id=settings.id)
        await kernel.run()
        _log.info("stopped")
        tasks.cancel_scope.cancel()


async def _handle_signals(kernel: kernel_module.Kernel) -> None:
    handled_signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*handled_signals) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                # A machine's addresses and failure domain never change.
                # Other changed settings take effect at the next start.
                _log.info(
                    "SIGHUP ignored: settings are read at the next start"
                )
                continue
            _log.info("draining", signal=signal.Signals(number).name)
            kernel.shutdown()
