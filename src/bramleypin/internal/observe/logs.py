"""Logs: short sentences with a fixed prefix for each part of a daemon."""

import sys
import time

import loguru

from bramleypin import settings as settings_module

REPEAT_INTERVAL_S = 10.0
# Keys may name callers, of which there are many; the oldest is forgotten.
REPEAT_KEYS = 1_024
_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message}"


def configure(settings: settings_module.Logs) -> None:
    """Set up the single sink, standard error; VMs have no disks."""
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
    """The log of one part; repeats of one kind are rate-limited."""

    def __init__(self, part: str):
        self._prefix = f"{part}: "
        self._logger = loguru.logger.bind(part=part)
        self._next_by_key: dict[str, float] = {}
        self._suppressed_by_key: dict[str, int] = {}

    def debug(self, sentence: str, **fields: object) -> None:
        """Log a detail for developers."""
        self._write("DEBUG", sentence, fields)

    def info(self, sentence: str, **fields: object) -> None:
        """Log something that operators expect to happen."""
        self._write("INFO", sentence, fields)

    def warning(self, sentence: str, **fields: object) -> None:
        """Log something that operators may have to act on."""
        self._write("WARNING", sentence, fields)

    def error(self, sentence: str, **fields: object) -> None:
        """Log a failure that operators have to act on."""
        self._write("ERROR", sentence, fields)

    def warn_throttled(
        self, key: str, sentence: str, **fields: object
    ) -> None:
        """Log a warning at most once every 10 s for each key."""
        now = time.monotonic()
        if now < self._next_by_key.get(key, 0.0):
            count = self._suppressed_by_key.get(key, 0)
            self._suppressed_by_key[key] = count + 1
            return
        self._next_by_key.pop(key, None)
        self._next_by_key[key] = now + REPEAT_INTERVAL_S
        if len(self._next_by_key) > REPEAT_KEYS:
            oldest = next(iter(self._next_by_key))
            del self._next_by_key[oldest]
            self._suppressed_by_key.pop(oldest, None)
        repeats = self._suppressed_by_key.pop(key, 0)
        if repeats:
            sentence = f"{sentence} ({repeats} more since the last line)"
        self._write("WARNING", sentence, fields)

    def _write(self, level: str, sentence: str, fields: dict) -> None:
        details = " ".join(f"{key}={value}" for key, value in fields.items())
        text = f"{self._prefix}{sentence}"
        if details:
            text = f"{text} [{details}]"
        bound = self._logger.bind(event=sentence, **fields)
        bound.log(level, "{}", text)


def get(part: str) -> PartLog:
    """Return the log of a part, for example ``"balancer"``."""
    return PartLog(part)
