"""Log output as key=value lines on standard error, and a logger with a rate limit."""

from __future__ import annotations

import json
import logging
import sys
import time
from collections.abc import Callable

_STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}


def _format_value(value: object) -> str:
    text = str(value)
    if text and not any(c in text for c in ' "=\n\r\t'):
        return text
    return json.dumps(text, ensure_ascii=False)


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line; its `extra` fields follow time, level, logger and event."""

    def format(self, record: logging.LogRecord) -> str:
        pairs: dict[str, object] = {
            "t": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "from": record.name.removeprefix("puffinford."),
            "event": record.getMessage(),
        }
        pairs.update((k, v) for k, v in vars(record).items() if k not in _STANDARD_ATTRIBUTES)
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_format_value(value)}" for key, value in pairs.items())


def set_up(level: str = "INFO") -> None:
    """Send the log records of all loggers to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)


class RateLimitedLog:
    """Logs each event at most MAX_RECORDS_PER_S times a second, with a count of the records left out.

    Prevents peers that repeat a request without end from flooding the log.
    """

    MAX_RECORDS_PER_S = 10

    def __init__(self, log: logging.Logger, now: Callable[[], float] = time.monotonic) -> None:
        self._log = log
        self._now = now
        self._counts: dict[str, tuple[int, int]] = {}  # by event: the second, and the records in it

    def info(self, event: str, **fields: object) -> None:
        """Log an event at INFO, unless over the rate limit."""
        self._write(logging.INFO, event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log an event at WARNING, unless over the rate limit."""
        self._write(logging.WARNING, event, fields)

    def _write(self, level: int, event: str, fields: dict[str, object]) -> None:
        second = int(self._now())
        counted_second, count = self._counts.get(event, (second, 0))
        if counted_second == second and count >= self.MAX_RECORDS_PER_S:
            self._counts[event] = (counted_second, count + 1)
            return
        skipped = count - self.MAX_RECORDS_PER_S if counted_second != second else 0
        if skipped > 0:
            fields["skipped"] = skipped
        self._counts[event] = (second, 1 if counted_second != second else count + 1)
        self._log.log(level, event, extra=fields)
