"""What the parts of one exchange share."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from puffinford import interface as it
from puffinford.core.clock import Clock
from puffinford.core.figures import Figures
from puffinford.core.requests import RequestTable
from puffinford.core.values import Busy, RequestWatcher


@dataclass(slots=True)
class Context:
    """The clock, the settings in force, the request table and the way to the decision module.

    `settings` and `watcher` change while the process runs: a part reads them here and keeps neither.
    """

    clock: Clock
    settings: it.Settings
    rng: random.Random
    tell: Callable[[it.Event], None]  # tells the decision module, and has its actions carried out
    figures: Figures = field(default_factory=Figures)
    requests: RequestTable = field(default_factory=RequestTable)
    watcher: RequestWatcher | None = None
    classes: frozenset[str] = frozenset()  # the names of those in `settings`

    @property
    def leaving(self) -> Busy:
        """The refusal of a process that is about to end."""
        return Busy(self.settings.max_retry_after, "leaving")

    def configure(self, settings: it.Settings) -> None:
        """Put settings in force."""
        self.settings = settings
        self.classes = frozenset(cls.name for cls in settings.classes)
        self.figures.know(cls.name for cls in settings.classes)
