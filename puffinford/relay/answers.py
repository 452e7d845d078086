"""Cache of encoded answers, one for each version that callers resume from. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass

from puffinford.relay.changes import ChangeLog
from puffinford.relay.wire import encode_answer

MAX_CACHED_ANSWERS = 64
MAX_CACHED_BYTES = 8 << 20


@dataclass(frozen=True, slots=True)
class EncodedAnswer:
    """An HTTP response with its head; `full` if it holds the full list."""

    data: bytes
    full: bool


class AnswerCache:
    """Encodes each answer once. Must be cleared whenever the list changes."""

    def __init__(self, log: ChangeLog) -> None:
        self._log = log
        self._cached: dict[int | None, EncodedAnswer] = {}
        self.cached_bytes = 0

    def clear(self) -> None:
        """Remove all answers."""
        self._cached.clear()
        self.cached_bytes = 0

    def get(self, index: int | None) -> EncodedAnswer:
        """Return the changes after version `index`, or the full list if it is None or no longer in the log.

        Requires that the log holds a list.
        """
        cached = self._cached.get(index)
        if cached is not None:
            return cached
        changes = None if index is None else self._log.changes_since(index)
        if changes is None and index is not None:
            return self.get(None)  # prevents caching the same full list under several versions
        encoded = self._encode(changes)
        if (
            len(self._cached) < MAX_CACHED_ANSWERS
            and self.cached_bytes + len(encoded.data) <= MAX_CACHED_BYTES
        ):
            self._cached[index] = encoded
            self.cached_bytes += len(encoded.data)
        return encoded

    def _encode(self, changes: list[bytes] | None) -> EncodedAnswer:
        version = self._log.version
        assert version is not None
        if changes is None:
            return EncodedAnswer(encode_answer(version, True, self._log.snapshot()), True)
        return EncodedAnswer(encode_answer(version, False, changes), False)
