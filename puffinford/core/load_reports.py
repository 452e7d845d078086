"""Reading of servers' load reports according to the settings."""

from __future__ import annotations

from puffinford.core.context import Context
from puffinford.core.logger import log
from puffinford.core.report_parser import BadReport, parse_report


class LoadReports:
    """Parses load reports, and logs invalid ones once per server."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._rejected_servers: set[str] = set()

    def read(self, server_id: str, text: str) -> list[float] | None:
        """Parse a server's load report; return None if it is empty or invalid."""
        try:
            return parse_report(text, self._context.settings.report_fields)
        except BadReport as exc:
            if server_id not in self._rejected_servers:  # avoids a log line per answer
                self._rejected_servers.add(server_id)
                log.warning("report rejected", extra={"server": server_id, "error": str(exc)})
            return None

    def of_answer(self, server_id: str, text: str) -> list[float] | None:
        """Parse the report in an answer, if the settings define one."""
        return self.read(server_id, text) if self._context.settings.report_on_answer else None
