"""When servers started: Unix times as lists tell them, on a clock that no step of the wall clock moves."""

from __future__ import annotations

from collections.abc import Callable

from puffinford.core.clock import Clock

StartTimeLookup = Callable[
    [str, float], float
]  # a server's id and its start in Unix ms, to ms of the host's clock

SAME_START_TOLERANCE_MS = (
    50.0  # ms; starts of a server this close are one: hosts count from clocks that round
)
AHEAD_MOST = 7_200_000.0  # ms; a start further ahead is nonsense and says nothing of the wall clock
STARTS_KEPT = 3  # of each server; a list that is behind may tell an earlier one again
SERVERS_KEPT = 16_384  # those heard of longest ago are forgotten first


class StartTimes:
    """Maps each start once: told again it is the same moment, whatever the wall clock says by then.

    The wall clock may be stepped, here or where starts are told. An unknown start is mapped by the wall clock
    as it was when this process began and as it is now; the youngest age that either gives is taken, for too
    young a server gets little, and too old a one falls over. All moments are ms of the host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._known: dict[str, list[tuple[float, float]]] = {}  # by server: Unix ms told, moment
        # Unix ms less the clock's, at least: the list at hand tells a start so far ahead.
        self._behind = float("-inf")

    def local_time(self, ident: str, unix_ms: float) -> float:
        """The moment of a start; 0 (long ago) stays 0."""
        if unix_ms <= 0.0:
            return 0.0
        known = self._known.get(ident, [])
        for told, moment in known:
            if abs(told - unix_ms) <= SAME_START_TOLERANCE_MS:
                return moment
        now = self._clock.now()
        moment = self._estimate(unix_ms, now)
        if known and moment <= max(moment for _, moment in known) + SAME_START_TOLERANCE_MS:
            # Guards a new start against a clock that has gone back: it comes after the last.
            moment = now
        self._keep(ident, [*known, (unix_ms, moment)][-STARTS_KEPT:])
        return moment

    def restore(self, ident: str, unix_ms: float, moment: float) -> None:
        """A start that an earlier process has mapped; its word goes before an estimate of ours."""
        others = [
            known for known in self._known.get(ident, []) if abs(known[0] - unix_ms) > SAME_START_TOLERANCE_MS
        ]
        self._keep(ident, [(unix_ms, moment), *others][-STARTS_KEPT:])

    def announced_time(self, ident: str, moment: float) -> float:
        """The Unix ms at which a server told the start of that moment; 0 where it did not."""
        for unix_ms, known in self._known.get(ident, []):
            if abs(known - moment) <= SAME_START_TOLERANCE_MS:
                return unix_ms
        return 0.0

    def observe_latest(self, newest: float) -> None:
        """A list's latest start, in Unix ms, before any of that list is mapped.

        Guards a process that begins while the wall clock is behind against a fleet that seems to have started
        just now: the true time is at least that of the latest start.
        """
        ahead = newest - self._clock.now()
        shown = max(0.0, self._clock.wall_ahead()) < ahead <= AHEAD_MOST
        self._behind = ahead if shown else float("-inf")

    def _estimate(self, unix_ms: float, now: float) -> float:
        offsets = (max(offset, self._behind) for offset in (0.0, self._clock.wall_ahead()))
        return max((moment for offset in offsets if (moment := unix_ms - offset) <= now), default=now)

    def _keep(self, ident: str, starts: list[tuple[float, float]]) -> None:
        self._known.pop(ident, None)
        self._known[ident] = starts
        if len(self._known) > SERVERS_KEPT:
            del self._known[next(iter(self._known))]
