"""Runs a daemon on the users' platform: ``python -m bramleypin.platform``."""

import signal
import sys


def main() -> int:
    """Run until SIGTERM; return the process's exit code."""
    # SIGHUP may arrive at any time and ends a process that does not handle
    # it. The imports take a tenth of a second, so it is ignored before them;
    # the running daemon handles it.
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
