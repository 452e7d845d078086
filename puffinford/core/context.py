"""What the parts of one exchange share."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from puffinford import interface as it
from puffinford.core.clock import Clock
from puffinford.core.counters import RequestCounters
from puffinford.core.requests import RequestTable
from puffinford.core.values import Busy, RequestObserver


@dataclass(slots=True)
class Context:
    """The clock, the settings in force, the request table and the way to the decision module.

    `settings` and `observer` change while the process runs: a part reads them here and keeps neither.
    """

    clock: Clock
    settings: it.Settings
    rng: random.Random
    dispatch: Callable[[it.Event], None]  # tells the decision module, and has its actions carried out
    counters: RequestCounters = field(default_factory=RequestCounters)
    requests: RequestTable = field(default_factory=RequestTable)
    observer: RequestObserver | None = None
    classes: frozenset[str] = frozenset()  # the names of those in `settings`

    @property
    def shutdown_refusal(self) -> Busy:
        """The refusal of a process that is about to end."""
        return Busy(self.settings.max_retry_after, "leaving")

    def configure(self, settings: it.Settings) -> None:
        """Put settings in force."""
        self.settings = settings
        self.classes = frozenset(cls.name for cls in settings.classes)
        self.counters.know(cls.name for cls in settings.classes)
