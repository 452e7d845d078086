"""The logger of the exchange and its parts.

Operators find their lines by `from=core.exchange`, whichever of the parts writes them.
"""

from __future__ import annotations

import logging

log = logging.getLogger("puffinford.core.exchange")
