"""Probes of servers, without a client's request."""

from __future__ import annotations

from collections.abc import Mapping

from puffinford import interface as it
from puffinford.core.context import Context
from puffinford.core.load_reports import LoadReports
from puffinford.core.servers import ServerTable
from puffinford.core.values import ServerConnector


class Probes:
    """Makes the probes that the decision module requests."""

    def __init__(
        self,
        context: Context,
        connectors: Mapping[str, ServerConnector],
        servers: ServerTable,
        reports: LoadReports,
    ) -> None:
        self._context = context
        self._connectors = connectors
        self._servers = servers
        self._reports = reports

    async def probe(self, server_id: str) -> None:
        """Probe a server and report the result to the decision module."""
        clock = self._context.clock
        entry = self._servers.get(server_id)
        started_at = clock.now()
        result, report = it.Result.CONNECT_FAILED, None
        if entry is not None:
            settings = self._context.settings
            load = settings.report_on_probe
            connector = self._connectors[entry.front]
            result, text = await connector.probe(entry, settings.connect_timeout, load)
            report = self._reports.read(server_id, text) if load else None
        self._context.dispatch(it.ProbeResult(server_id, result, clock.now() - started_at, report))
