"""Validates a settings file of the platform, as a daemon does on startup.

Run ``python -m bramleypin.platform.check FILE``.
"""

import pathlib
import sys

from bramleypin import errors
from bramleypin.platform import boot


def main(arguments: list[str]) -> int:
    """Check the file given as the only argument; return the exit code."""
    if len(arguments) != 1:
        print(__doc__.strip().splitlines()[-1], file=sys.stderr)
        return errors.InvalidSettings.exit_code
    (file,) = arguments
    try:
        settings, store = boot.parse(pathlib.Path(file).read_bytes(), file)
    except OSError as error:
        print(f"{file}: {error.strerror}; check the path", file=sys.stderr)
        return errors.InvalidSettings.exit_code
    except errors.InvalidSettings as error:
        print(error, file=sys.stderr)
        return error.exit_code
    print(f"{file}: valid")
    print(f"role {settings.role}, failure domain {settings.failure_domain}")
    print(f"packets at {settings.ingress}, other daemons at {settings.peers}")
    print(
        f"store at {store}, changes in force in {settings.bounds.change_s} s"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
