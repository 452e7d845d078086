"""Start times of servers, converted from listed Unix times to the monotonic clock of this process."""

from __future__ import annotations

from collections.abc import Callable

from puffinford.core.clock import Clock

# Takes a server's id and its start in Unix ms, and returns the start in ms of the local clock.
StartTimeLookup = Callable[[str, float], float]

SAME_START_TOLERANCE_MS = 50.0  # listed starts may differ by rounding
MAX_AHEAD_MS = 7_200_000.0  # starts further in the future are ignored
MAX_STARTS_PER_SERVER = 3  # an outdated list may repeat an earlier start
MAX_SERVERS = 16_384  # the least recently updated are dropped first


class StartTimes:
    """Converts each start once, so that later steps of the wall clock do not change a server's age.

    The wall clock may be stepped here or on the servers' hosts. A new start is converted with the offset of
    the wall clock at the start of this process and with its offset now, and the later result that is not in
    the future is used: a server that is considered older than it is would be overloaded. Results are in ms
    of the local clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._known: dict[str, list[tuple[float, float]]] = {}  # by server: listed Unix ms and local ms
        # Lower bound of Unix time minus local time, from the latest start in the current list.
        self._min_wall_ahead = float("-inf")

    def local_time(self, server_id: str, unix_ms: float) -> float:
        """Convert a start to local time; 0 (long ago) stays 0."""
        if unix_ms <= 0.0:
            return 0.0
        known = self._known.get(server_id, [])
        for announced, moment in known:
            if abs(announced - unix_ms) <= SAME_START_TOLERANCE_MS:
                return moment
        now = self._clock.now()
        moment = self._estimate(unix_ms, now)
        if known and moment <= max(moment for _, moment in known) + SAME_START_TOLERANCE_MS:
            # Prevents a new start from preceding an earlier one after the wall clock was set back.
            moment = now
        self._keep(server_id, [*known, (unix_ms, moment)][-MAX_STARTS_PER_SERVER:])
        return moment

    def restore(self, server_id: str, unix_ms: float, moment: float) -> None:
        """Add a start converted by an earlier process, in place of an estimate."""
        others = [
            known
            for known in self._known.get(server_id, [])
            if abs(known[0] - unix_ms) > SAME_START_TOLERANCE_MS
        ]
        self._keep(server_id, [(unix_ms, moment), *others][-MAX_STARTS_PER_SERVER:])

    def announced_time(self, server_id: str, moment: float) -> float:
        """Return the listed Unix ms of a converted start; 0 if unknown."""
        for unix_ms, known in self._known.get(server_id, []):
            if abs(known - moment) <= SAME_START_TOLERANCE_MS:
                return unix_ms
        return 0.0

    def observe_latest(self, newest: float) -> None:
        """Record the latest start in a list, in Unix ms, before its starts are converted.

        If the wall clock is behind that start, all servers would appear to have started just now.
        """
        ahead = newest - self._clock.now()
        shown = max(0.0, self._clock.wall_ahead()) < ahead <= MAX_AHEAD_MS
        self._min_wall_ahead = ahead if shown else float("-inf")

    def _estimate(self, unix_ms: float, now: float) -> float:
        offsets = (max(offset, self._min_wall_ahead) for offset in (0.0, self._clock.wall_ahead()))
        return max((moment for offset in offsets if (moment := unix_ms - offset) <= now), default=now)

    def _keep(self, server_id: str, starts: list[tuple[float, float]]) -> None:
        self._known.pop(server_id, None)
        self._known[server_id] = starts
        if len(self._known) > MAX_SERVERS:
            del self._known[next(iter(self._known))]
