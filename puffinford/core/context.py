"""Shared state of the parts of one exchange."""

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
    """Clock, settings, requests and counters of one exchange.

    `settings` and `observer` may be replaced at any time, so they must not be cached.
    """

    clock: Clock
    settings: it.Settings
    rng: random.Random
    dispatch: Callable[[it.Event], None]  # passes an event to the decision module and carries out its actions
    counters: RequestCounters = field(default_factory=RequestCounters)
    requests: RequestTable = field(default_factory=RequestTable)
    observer: RequestObserver | None = None
    classes: frozenset[str] = frozenset()  # names of the request classes in `settings`
    at_most_once: frozenset[str] = frozenset()  # of them, those whose requests may not run twice

    @property
    def shutdown_refusal(self) -> Busy:
        """The answer to requests that arrive after the drain."""
        return Busy(self.settings.max_retry_after, "leaving")

    def configure(self, settings: it.Settings) -> None:
        """Replace the settings."""
        self.settings = settings
        self.classes = frozenset(cls.name for cls in settings.classes)
        self.at_most_once = frozenset(cls.name for cls in settings.classes if cls.effect is it.Effect.UNSAFE)
        self.counters.register(cls.name for cls in settings.classes)
