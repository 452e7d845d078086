"""What the model of a fleet consists of: roles with their quantities and mechanisms."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from benchmarks.capacity.quantity import Quantity, multiple


class QuantityKind(enum.Enum):
    """What a quantity tells of its role."""

    STATE = "state"
    MESSAGES = "messages, mean"
    PEAK = "messages, peak"
    BYTES = "bytes a second"
    PROCESSOR = "processor time"
    MEMORY = "memory"
    TIME = "time"


class Status(enum.Enum):
    """Whether a mechanism exists in this program."""

    IMPLEMENTED = "runs here"
    PARTIAL = "is begun"
    MISSING = "is missing"
    EXTERNAL = "belongs to another system"


class Remedy(enum.Enum):
    """By what a quantity over its budget can be brought under it."""

    THIS_PROGRAM = "this program, by the protocol it has"
    MORE_PROCESSES = "more processes of it"
    NEW_ARCHITECTURE = "another shape of the program"
    NEW_PROTOCOL = "not without a new protocol"
    OTHER_SYSTEM = "another system"


@dataclass(frozen=True)
class Row:
    """One quantity of a role, beside its budget where there is one."""

    kind: QuantityKind
    name: str
    quantity: Quantity
    budget: Quantity | None = None
    servers: int | None = None  # where the quantity depends on their number

    @property
    def multiple(self) -> Quantity | None:
        """How many times its budget the quantity is."""
        return None if self.budget is None else multiple(self.quantity, self.budget)


@dataclass(frozen=True)
class Mechanism:
    """What carries a role, by its standard term."""

    term: str
    status: Status
    remark: str


@dataclass(frozen=True)
class Role:
    """One role of the fleet."""

    key: str  # for example `lists`
    title: str
    scope: str  # the sentence that says what the quantities are of
    rows: tuple[Row, ...]
    mechanisms: tuple[Mechanism, ...]


@dataclass(frozen=True)
class RankedQuantity:
    """One quantity by today's mechanism, for the order in which missing ones are built."""

    name: str
    quantity: Quantity
    budget: Quantity
    remedy: Remedy
    verdict: str

    @property
    def multiple(self) -> Quantity:
        """How many times its budget the quantity is."""
        return multiple(self.quantity, self.budget)
