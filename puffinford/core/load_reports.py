"""Which load reports are read, by the settings in force, and what becomes of those that cannot be used."""

from __future__ import annotations

from puffinford.core.context import Context
from puffinford.core.logger import log
from puffinford.core.report_parser import BadReport, parse_report


class LoadReports:
    """Reads the servers' load reports."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._rejected: set[str] = set()  # the servers whose reports have been found wanting

    def read(self, ident: str, text: str) -> list[float] | None:
        """A server's load report; None where there is none, or none that can be used."""
        try:
            return parse_report(text, self._context.settings.report_fields)
        except BadReport as exc:
            if ident not in self._rejected:  # once a server: guards the log against a line an answer
                self._rejected.add(ident)
                log.warning("report rejected", extra={"server": ident, "error": str(exc)})
            return None

    def of_answer(self, ident: str, text: str) -> list[float] | None:
        """The report beside an answer, where the settings say that answers carry one."""
        return self.read(ident, text) if self._context.settings.report_on_answer else None
