"""Logging: one line a record, key=value, on standard error."""

from __future__ import annotations

import json
import logging
import sys
import time
from collections.abc import Callable

_PLAIN = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}


def _value(value: object) -> str:
    text = str(value)
    if text and not any(c in text for c in ' "=\n\r\t'):
        return text
    return json.dumps(text, ensure_ascii=False)


class KeyValueFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        pairs: dict[str, object] = {
            "t": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "from": record.name.removeprefix("puffinford."),
            "event": record.getMessage(),
        }
        pairs.update((k, v) for k, v in vars(record).items() if k not in _PLAIN)
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_value(value)}" for key, value in pairs.items())


def set_up(level: str = "INFO") -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)


class RateLimitedLog:
    """Logs what peers can cause at will: each event at most so often, with the count of those left out.

    Guards the log, and the time that it costs, against peers that do the same thing without end.
    """

    MAX_RECORDS_PER_S = 10  # records of an event in a second

    def __init__(self, log: logging.Logger, now: Callable[[], float] = time.monotonic) -> None:
        self._log = log
        self._now = now
        self._seen: dict[str, tuple[int, int]] = {}  # by event: the second, and its records

    def info(self, event: str, **fields: object) -> None:
        self._write(logging.INFO, event, fields)

    def warning(self, event: str, **fields: object) -> None:
        self._write(logging.WARNING, event, fields)

    def _write(self, level: int, event: str, fields: dict[str, object]) -> None:
        second = int(self._now())
        last, count = self._seen.get(event, (second, 0))
        if last == second and count >= self.MAX_RECORDS_PER_S:
            self._seen[event] = (last, count + 1)
            return
        skipped = count - self.MAX_RECORDS_PER_S if last != second else 0
        if skipped > 0:
            fields["skipped"] = skipped
        self._seen[event] = (second, 1 if last != second else count + 1)
        self._log.log(level, event, extra=fields)
