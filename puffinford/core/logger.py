"""The logger shared by the exchange and its parts.

Operators find all their lines by `from=core.exchange`.
"""

from __future__ import annotations

import logging

log = logging.getLogger("puffinford.core.exchange")
