"""The path of the files that the processes of one balancer share."""

from __future__ import annotations

from pathlib import Path
from urllib.parse import quote


def state_path(directory: str | None, balancer: str) -> Path | None:
    """The common prefix of the shared files of a balancer; None without a state directory."""
    return Path(directory) / f"puffinford.{quote(balancer, safe='')}" if directory else None
