"""Reports the inventory file at the management address: the version in force, and why a later one is not."""

from __future__ import annotations

import json
from typing import Any

from puffinford.core.clock import Clock
from puffinford.management.http import Call, Reply
from puffinford.server_list.inventory_file import InventoryFile


class InventoryReport:
    """Answers the calls under /admin/inventory, and gives the gauges."""

    def __init__(self, inventory: InventoryFile, clock: Clock) -> None:
        self._inventory = inventory
        self._clock = clock

    def handle_call(self, call: Call) -> Reply:
        """Answer a call with `report` as JSON."""
        if call.path[2:]:
            return Reply(404, "no such path")
        if call.method != "GET":
            return Reply(405, "method not allowed, use GET", allow="GET")
        return Reply(200, json.dumps(self.report()))

    def report(self) -> dict[str, Any]:
        """Return the fields of the report. Ages are in s; `state` is in-force, waiting or refused."""
        status, now = self._inventory.status, self._clock.now()
        report: dict[str, Any] = {
            "file": str(self._inventory.path),
            "state": "in-force",
            "version": status.version,
            "entries": status.entries,
            "in_force_s": round((now - status.taken_at) / 1_000.0, 1),
        }
        if status.problem:
            report["state"] = "refused" if status.is_refused else "waiting"
            report["why"] = status.problem.splitlines()
            report["since_s"] = round((now - status.since) / 1_000.0, 1)
        return report

    def gauges(self) -> dict[str, int]:
        """The version in force, and whether the file as it is now is refused."""
        status = self._inventory.status
        return {"inventory_version": status.version, "inventory_refused": int(status.is_refused)}
