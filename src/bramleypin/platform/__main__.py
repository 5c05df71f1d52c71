"""Entry point of a daemon on the users' platform.

Run ``python -m bramleypin.platform``.
"""

import signal
import sys


def main() -> int:
    """Run the daemon until SIGTERM; return the exit code."""
    # SIGHUP may arrive at any time and terminates a process without a
    # handler. The imports take a tenth of a second, so SIGHUP is ignored
    # before them; the running daemon installs its own handler.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    import anyio

    from bramleypin import errors
    from bramleypin.internal.stream import program
    from bramleypin.platform import boot
    from bramleypin.platform import packet
    from bramleypin.platform import store

    try:
        settings, store_address = boot.load()
        anyio.run(
            program.serve,
            settings,
            packet.PacketCodec(),
            store.StoreClient(store_address),
        )
    except errors.BramleypinError as error:
        print(f"bramleypin: {error}", file=sys.stderr)
        return error.exit_code
    return 0


if __name__ == "__main__":
    sys.exit(main())
