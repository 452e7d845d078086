"""Logging: one line a record, key=value, on standard error."""

from __future__ import annotations

import json
import logging
import sys

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
