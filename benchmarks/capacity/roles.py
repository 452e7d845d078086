"""Types of the fleet model: roles with their quantities, budgets and mechanisms."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from benchmarks.capacity.quantity import Quantity, multiple


class QuantityKind(enum.Enum):
    """Which resource or load of its role a quantity describes."""

    STATE = "state"
    MESSAGES = "messages, mean"
    PEAK = "messages, peak"
    BYTES = "bytes a second"
    PROCESSOR = "processor time"
    MEMORY = "memory"
    TIME = "time"


class Status(enum.Enum):
    """Whether a mechanism is implemented in this program."""

    IMPLEMENTED = "runs here"
    PARTIAL = "is begun"
    MISSING = "is missing"
    EXTERNAL = "belongs to another system"


class Remedy(enum.Enum):
    """What it takes to bring a quantity within its budget."""

    THIS_PROGRAM = "this program, by the protocol it has"
    MORE_PROCESSES = "more processes of it"
    NEW_ARCHITECTURE = "another shape of the program"
    NEW_PROTOCOL = "not without a new protocol"
    OTHER_SYSTEM = "another system"


@dataclass(frozen=True)
class Row:
    """One quantity of a role, with its optional budget."""

    kind: QuantityKind
    name: str
    quantity: Quantity
    budget: Quantity | None = None
    servers: int | None = None  # number of servers, if the quantity depends on it

    @property
    def multiple(self) -> Quantity | None:
        """The ratio of the quantity to its budget."""
        return None if self.budget is None else multiple(self.quantity, self.budget)


@dataclass(frozen=True)
class Mechanism:
    """A mechanism that a role relies on, by its standard term."""

    term: str
    status: Status
    remark: str


@dataclass(frozen=True)
class Role:
    """One role in the fleet, for example its list service."""

    key: str  # for example `lists`
    title: str
    scope: str  # one sentence: which part of the fleet the quantities cover
    rows: tuple[Row, ...]
    mechanisms: tuple[Mechanism, ...]


@dataclass(frozen=True)
class RankedQuantity:
    """A quantity under the present mechanism, with its budget and the way to reduce it."""

    name: str
    quantity: Quantity
    budget: Quantity
    remedy: Remedy
    verdict: str

    @property
    def multiple(self) -> Quantity:
        """The ratio of the quantity to its budget."""
        return multiple(self.quantity, self.budget)
