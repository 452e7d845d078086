"""The server list in force, and the operators' cordons over it."""

from __future__ import annotations

from collections.abc import Set

from puffinford import interface as it
from puffinford.core.context import Context
from puffinford.core.logger import log
from puffinford.core.values import Machine, MachineList

SOURCE_MOST = 3_000.0  # a new process waits this long for its list's source before the known list does
NAMED_MOST = 64  # machines of a list that the log names; thousands would hold up a start


class ServerTable:
    """The servers that the list names now, by id. It tells the decision module of each list."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._started = context.clock.now()
        self._machines: dict[str, Machine] = {}
        self._named: set[str] = set()  # the servers that a list has named, gone or not
        self.cordoned: frozenset[str] = frozenset()
        self.heard = False  # the list's source has answered or failed

    def __len__(self) -> int:
        return len(self._machines)

    @property
    def ids(self) -> Set[str]:
        return self._machines.keys()

    def get(self, ident: str) -> Machine | None:
        return self._machines.get(ident)

    @property
    def informed(self) -> bool:
        """Whether there is a list to go by: from its source, or the known one when that says nothing.

        Guards a change of versions against a source that is down: the old version has no better list.
        """
        late = self._context.clock.now() >= self._started + SOURCE_MOST
        return self.heard or (late and bool(self._machines))

    def names(self, ident: str) -> bool:
        """Whether anybody has that id. One that is restarting may be off the list for now."""
        return ident in self._named or ident in self.cordoned

    def may_begin(self, ident: str) -> bool:
        """Whether a new connection may begin at a server, by what the list and the operators have told."""
        machine = self._machines.get(ident)
        if machine is None or machine.server.state is not it.ServerState.LIVE:
            return False
        return ident not in self.cordoned

    def take_list(self, machines: MachineList | None) -> None:
        """A list has come, or (None) a call for one has failed."""
        if machines is None:
            self._context.tell(it.ServerList(it.ListKind.UNAVAILABLE))
        else:
            self.take(machines, it.ListKind.REPLACE if machines.full else it.ListKind.UPDATE)
        self.heard |= machines is not None or bool(self._machines)

    def take(self, machines: MachineList, kind: it.ListKind) -> None:
        """Go by a list, whole or (UPDATE) of changes, and tell the module of it."""
        if kind is not it.ListKind.UPDATE:
            self._machines.clear()
        self._named.update(machine.server.id for machine in machines.machines)
        for machine in machines.machines:
            if machine.server.state is it.ServerState.GONE:
                self._machines.pop(machine.server.id, None)
            else:
                self._machines[machine.server.id] = machine
        self._log_entries(machines, kind)
        self._context.tell(it.ServerList(kind, [m.server for m in machines.machines], machines.version))

    def _log_entries(self, machines: MachineList, kind: it.ListKind) -> None:
        if len(machines.machines) > NAMED_MOST:
            log.info("machines", extra={"entries": len(machines.machines), "list": kind.value})
        now = self._context.clock.now()
        for machine in machines.machines[:NAMED_MOST]:
            server = machine.server
            up_s = round((now - server.started) / 1_000.0, 1) if server.started else "long"
            told = {"server": server.id, "state": server.state.value, "up_s": up_s, "list": kind.value}
            told |= {"zone": server.zone, "kind": server.kind, "weight": server.weight}
            log.info("machine", extra=told)
