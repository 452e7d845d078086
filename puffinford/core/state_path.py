"""Where the processes of one balancer keep what they share."""

from __future__ import annotations

from pathlib import Path
from urllib.parse import quote


def state_path(directory: str | None, balancer: str) -> Path | None:
    """Where the versions of a balancer keep what they share, as the start of file names; None without one."""
    return Path(directory) / f"puffinford.{quote(balancer, safe='')}" if directory else None
