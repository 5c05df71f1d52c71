"""Structured, rate-limited, non-blocking logging to standard output."""

import os
import sys
import time

import loguru
import msgspec

# Lines beyond this rate are dropped and counted. The limit leaves room above
# normal operation, in which a balancer opens about 30 flows per second.
MAX_LINES_PER_S = 200
# PIPE_BUF on Linux. POSIX guarantees that a write of up to this size to a pipe
# is atomic, so that a line is written completely or not at all.
MAX_LINE_BYTES = 4_096

_encode = msgspec.json.Encoder(enc_hook=str).encode


class StructuredSink:
    """Writes one JSON object per line to a file descriptor.

    ``dropped`` counts the lines that were dropped since the last report,
    because they exceeded the rate limit or the write failed.
    """

    def __init__(self, descriptor: int, max_lines_per_s: int):
        self._descriptor = descriptor
        self._max_lines_per_s = max_lines_per_s
        self._current_second = 0
        self._lines_this_second = 0
        self.dropped = 0

    def write(self, message) -> None:
        """Write a log record, or count it as dropped."""
        record = message.record
        fields = dict(record["extra"])
        line = {
            "time": round(record["time"].timestamp(), 4),
            "level": record["level"].name,
            "part": fields.pop("part", ""),
            "event": fields.pop("event", record["message"]),
            **fields,
        }
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second, self._lines_this_second = second, 0
            if self.dropped:
                dropped, self.dropped = self.dropped, 0
                self._write_line(
                    {
                        "time": line["time"],
                        "level": "WARNING",
                        "part": "logs",
                        "event": "log lines dropped",
                        "count": dropped,
                    }
                )
        if self._lines_this_second >= self._max_lines_per_s:
            self.dropped += 1
            return
        self._lines_this_second += 1
        self._write_line(line)

    def _write_line(self, line: dict) -> None:
        data = _encode(line)[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            os.write(self._descriptor, data)
        except OSError:
            # The pipe is full or closed; the count of drops is logged later.
            self.dropped += 1


def configure(level: str = "INFO") -> None:
    """Write all log lines of this process to standard output."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    sink = StructuredSink(descriptor, MAX_LINES_PER_S)
    loguru.logger.remove()
    loguru.logger.add(
        sink.write,
        level=level,
        format="{message}",
        backtrace=False,
        diagnose=False,
    )
