"""Answers ready to be written, one for each version that calls go on from. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass

from puffinford.relay.changes import ChangeLog
from puffinford.relay.wire import answer

KEPT_MOST = 64  # answers
SIZE_MOST = 8 << 20  # bytes of them


@dataclass(frozen=True, slots=True)
class Encoded:
    """An answer with its head; `full` where it is the whole list."""

    data: bytes
    full: bool


class AnswerCache:
    """Encodes each answer once. To be cleared whenever the list changes."""

    def __init__(self, log: ChangeLog) -> None:
        self._log = log
        self._kept: dict[int | None, Encoded] = {}
        self.size = 0  # bytes kept

    def clear(self) -> None:
        self._kept.clear()
        self.size = 0

    def get(self, index: int | None) -> Encoded:
        """The answer to a call that goes on from `index`, or asks for all. There has to be a list."""
        kept = self._kept.get(index)
        if kept is not None:
            return kept
        changed = None if index is None else self._log.since(index)
        if changed is None and index is not None:
            return self.get(None)  # guards memory against the same whole list under many versions
        made = self._encode(changed)
        if len(self._kept) < KEPT_MOST and self.size + len(made.data) <= SIZE_MOST:
            self._kept[index] = made
            self.size += len(made.data)
        return made

    def _encode(self, changed: list[bytes] | None) -> Encoded:
        version = self._log.version
        assert version is not None
        if changed is None:
            return Encoded(answer(version, True, self._log.whole()), True)
        return Encoded(answer(version, False, changed), False)
