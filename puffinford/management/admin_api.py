"""The admin API: health, statistics and cordons, under /admin of the management address."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from puffinford.core.exchange import Exchange
from puffinford.management.cordons import Cordons
from puffinford.management.http import Call, Reply

log = logging.getLogger(__name__)

AdminHandler = Callable[[Call], Reply]


def _wrong_method(method: str) -> Reply:
    return Reply(405, f"method not allowed, use {method}", allow=method)


class AdminApi:
    """Answers calls of the admin API.

    `missing` returns what this process still lacks before it can serve, or an empty text when it is ready.
    `extra_handlers` answer the calls under /admin/NAME, by that name. `extra_gauges` join the
    exchange's.
    """

    def __init__(
        self,
        exchange: Exchange,
        cordons: Cordons,
        missing: Callable[[], str],
        extra_handlers: Mapping[str, AdminHandler] | None = None,
        extra_gauges: Callable[[], Mapping[str, int]] = dict,
    ) -> None:
        self._extra_handlers = extra_handlers or {}
        self._extra_gauges = extra_gauges
        self._exchange = exchange
        self._cordons = cordons
        self._missing = missing

    async def answer(self, call: Call) -> Reply:
        """Answer one call."""
        match call.path:
            case ("admin", "health"):
                return self._health() if call.method == "GET" else _wrong_method("GET")
            case ("admin", "stats"):
                return self._stats() if call.method == "GET" else _wrong_method("GET")
            case ("admin", "cordon" | "uncordon" as action, server_id):
                if call.method != "POST":
                    return _wrong_method("POST")
                return await self._cordon(server_id, action == "cordon")
            case ("admin", str(name), *_) if name in self._extra_handlers:
                return self._extra_handlers[name](call)
            case _:
                return Reply(404, "no such path")

    def _health(self) -> Reply:
        missing = self._missing()
        return Reply(503, f"not ready: {missing}") if missing else Reply(200, "ready")

    async def _cordon(self, server_id: str, cordoned: bool) -> Reply:
        if not self._exchange.is_known_id(server_id):
            if not self._exchange.is_list_confirmed:
                return Reply(503, "no server list yet")
            return Reply(404, "no server has that id")
        try:
            await self._cordons.set_cordon(server_id, cordoned)
        except OSError as exc:
            log.error("cordon not kept", extra={"server": server_id, "error": str(exc)})
            return Reply(503, f"cordon not stored: {exc}")
        return Reply(200, f"{server_id} is {'out' if cordoned else 'back'}")

    def _stats(self) -> Reply:
        lines = [
            f"app.requests.{cls}.{count.value}:{number}|c"
            for cls, count, number in self._exchange.counters.counts()
        ]
        gauges = {**self._exchange.gauges(), **self._extra_gauges()}
        lines += [f"app.{name}:{number}|g" for name, number in gauges.items()]
        return Reply(200, "\n".join(lines))
