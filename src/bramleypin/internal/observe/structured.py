"""Structured log lines on standard output, bounded and never blocking."""

import os
import sys
import time

import loguru
import msgspec

# A balancer of the deployments that run today opens about 30 flows a second;
# beyond this rate lines are counted and the count is logged instead.
MAX_LINES_PER_S = 200
# A pipe takes a write of this size whole or not at all (POSIX PIPE_BUF).
MAX_LINE_BYTES = 4_096

_encode = msgspec.json.Encoder(enc_hook=str).encode


class StructuredSink:
    """Writes one JSON object a line to a file descriptor.

    ``dropped`` counts the lines of the current second that were over the
    limit, or that the reader of the pipe was too slow for.
    """

    def __init__(self, descriptor: int, max_lines_per_s: int):
        self._descriptor = descriptor
        self._max_lines_per_s = max_lines_per_s
        self._second = 0
        self._lines = 0
        self.dropped = 0

    def write(self, message) -> None:
        """Write a record of the log, or count it as dropped."""
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
        if second != self._second:
            self._second, self._lines = second, 0
            if self.dropped:
                dropped, self.dropped = self.dropped, 0
                self._put(
                    {
                        "time": line["time"],
                        "level": "WARNING",
                        "part": "logs",
                        "event": "log lines dropped",
                        "count": dropped,
                    }
                )
        if self._lines >= self._max_lines_per_s:
            self.dropped += 1
            return
        self._lines += 1
        self._put(line)

    def _put(self, line: dict) -> None:
        data = _encode(line)[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            os.write(self._descriptor, data)
        except OSError:
            # The reader is too slow or gone; the count tells of it later.
            self.dropped += 1


def configure(level: str = "INFO") -> None:
    """Send all lines of this process to standard output."""
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
