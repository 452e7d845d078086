"""The calls of the second address, and what each is answered."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from puffinford.core.exchange import Exchange
from puffinford.management.cordons import Cordons
from puffinford.management.http import Call, Reply

log = logging.getLogger(__name__)


AdminHandler = Callable[[Call], Reply]


def _wrong_method(method: str) -> Reply:
    return Reply(405, f"{method} is the method here", allow=method)


class AdminApi:
    """`lacking` names what this process still lacks to serve; it is empty once nothing does.

    `extras` answer what stands under a name of their own, /admin/NAME.
    """

    def __init__(
        self,
        exchange: Exchange,
        cordons: Cordons,
        lacking: Callable[[], str],
        extras: Mapping[str, AdminHandler] | None = None,
    ) -> None:
        self._extras = extras or {}
        self._exchange = exchange
        self._cordons = cordons
        self._lacking = lacking

    async def answer(self, call: Call) -> Reply:
        """What a call is answered."""
        match call.path:
            case ("admin", "health"):
                return self._health() if call.method == "GET" else _wrong_method("GET")
            case ("admin", "stats"):
                return self._stats() if call.method == "GET" else _wrong_method("GET")
            case ("admin", "cordon" | "uncordon" as what, ident):
                if call.method != "POST":
                    return _wrong_method("POST")
                return await self._cordon(ident, what == "cordon")
            case ("admin", str(name), *_) if name in self._extras:
                return self._extras[name](call)
            case _:
                return Reply(404, "no such path")

    def _health(self) -> Reply:
        lack = self._lacking()
        return Reply(503, f"not ready: {lack}") if lack else Reply(200, "ready")

    async def _cordon(self, ident: str, out: bool) -> Reply:
        if not self._exchange.is_known_id(ident):
            if not self._exchange.has_server_list:
                return Reply(503, "no machine list yet")
            return Reply(404, "no server has that id")
        try:
            await self._cordons.change(ident, out)
        except OSError as exc:
            log.error("cordon not kept", extra={"server": ident, "error": str(exc)})
            return Reply(503, f"cannot be kept: {exc}")
        return Reply(200, f"{ident} is {'out' if out else 'back'}")

    def _stats(self) -> Reply:
        lines = [
            f"app.requests.{cls}.{count.value}:{number}|c"
            for cls, count, number in self._exchange.counters.counts()
        ]
        lines += [f"app.{name}:{number}|g" for name, number in self._exchange.gauges().items()]
        return Reply(200, "\n".join(lines))
