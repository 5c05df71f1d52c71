"""Logging, with a prefix for each part of a daemon."""

import sys
import time

import loguru

from bramleypin import settings as settings_module

MIN_REPEAT_INTERVAL_S = 10.0
# Bounds the memory for rate-limited keys, which may contain caller addresses;
# the oldest key is evicted.
MAX_REPEAT_KEYS = 1_024
_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message}"


def configure(settings: settings_module.Logs) -> None:
    """Log to standard error only, because the VMs have no disks."""
    loguru.logger.remove()
    loguru.logger.add(
        sys.stderr,
        level=settings.level,
        format=_FORMAT,
        serialize=settings.json,
        backtrace=False,
        diagnose=False,
    )


class PartLog:
    """A logger for one part of a daemon, with rate-limited warnings."""

    def __init__(self, part: str):
        self._prefix = f"{part}: "
        self._logger = loguru.logger.bind(part=part)
        self._allowed_at_by_key: dict[str, float] = {}
        self._suppressed_by_key: dict[str, int] = {}

    def debug(self, message: str, **fields: object) -> None:
        """Log a detail for developers."""
        self._write("DEBUG", message, fields)

    def info(self, message: str, **fields: object) -> None:
        """Log an event of normal operation."""
        self._write("INFO", message, fields)

    def warning(self, message: str, **fields: object) -> None:
        """Log an event that may require an operator's action."""
        self._write("WARNING", message, fields)

    def error(self, message: str, **fields: object) -> None:
        """Log a failure that requires an operator's action."""
        self._write("ERROR", message, fields)

    def warn_throttled(self, key: str, message: str, **fields: object) -> None:
        """Log a warning at most once per 10 s for each key.

        The next line for the key states the number of suppressed warnings.
        """
        now = time.monotonic()
        if now < self._allowed_at_by_key.get(key, 0.0):
            count = self._suppressed_by_key.get(key, 0)
            self._suppressed_by_key[key] = count + 1
            return
        self._allowed_at_by_key.pop(key, None)
        self._allowed_at_by_key[key] = now + MIN_REPEAT_INTERVAL_S
        if len(self._allowed_at_by_key) > MAX_REPEAT_KEYS:
            oldest = next(iter(self._allowed_at_by_key))
            del self._allowed_at_by_key[oldest]
            self._suppressed_by_key.pop(oldest, None)
        suppressed = self._suppressed_by_key.pop(key, 0)
        if suppressed:
            message = f"{message} ({suppressed} more since the last line)"
        self._write("WARNING", message, fields)

    def _write(self, level: str, message: str, fields: dict) -> None:
        details = " ".join(f"{key}={value}" for key, value in fields.items())
        text = f"{self._prefix}{message}"
        if details:
            text = f"{text} [{details}]"
        bound = self._logger.bind(event=message, **fields)
        bound.log(level, "{}", text)


def get(part: str) -> PartLog:
    """Return a logger for a part, for example ``"balancer"``."""
    return PartLog(part)
