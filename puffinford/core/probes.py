"""Probes: whether a server answers, and its load, without a client's request."""

from __future__ import annotations

from collections.abc import Mapping

from puffinford import interface as it
from puffinford.core.context import Context
from puffinford.core.load_reports import LoadReports
from puffinford.core.servers import ServerTable
from puffinford.core.values import ServerConnector


class Probes:
    """Makes the probes that the module decides on."""

    def __init__(
        self,
        context: Context,
        connectors: Mapping[str, ServerConnector],
        servers: ServerTable,
        reports: LoadReports,
    ) -> None:
        self._context = context
        self._sides = connectors
        self._servers = servers
        self._reports = reports

    async def probe(self, ident: str) -> None:
        """Probe one server, and tell the module what came of it."""
        clock = self._context.clock
        entry = self._servers.get(ident)
        started = clock.now()
        result, report = it.Result.CONNECT_FAILED, None
        if entry is not None:
            settings = self._context.settings
            load = settings.report_on_probe
            side = self._sides[entry.front]
            result, text = await side.probe(entry, settings.connect_timeout, load)
            report = self._reports.read(ident, text) if load else None
        self._context.dispatch(it.ProbeResult(ident, result, clock.now() - started, report))
