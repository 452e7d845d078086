"""Injects system call faults into a process, which loads this module through PYTHONPATH.

FAULT_PLAN names a JSON file, which is read again whenever it changes. `wall_s` is the step of the wall clock
in seconds. `faults` is a list of `{"call": NAME, "errno": NAME}`, with optional `part` (fraction of calls
that fail, drawn from `seed`), `most` (maximum number of failures), `port` (peer's port, for connect) and
`file` (end of the file name, for calls on files). `slow_s` in place of `errno` delays the call by that many
seconds. `signals` are signal numbers that the process gets when it begins to listen.
"""

from __future__ import annotations

import errno
import io
import json
import os
import random
import socket
import time
from collections.abc import Callable
from typing import Any

_PLAN = os.environ.get("FAULT_PLAN", "")
_REAL_TIME = time.time
_REAL_STAT, _REAL_OPEN = os.stat, io.open


class FaultPlan:
    """The current plan."""

    def __init__(self) -> None:
        self.modified_ns = -1
        self.current: dict[str, Any] = {}
        self.failures: dict[int, int] = {}  # number of failures by the fault's index in the plan
        self.rng = random.Random(0)

    def read(self) -> dict[str, Any]:
        modified_ns = _REAL_STAT(_PLAN).st_mtime_ns
        if modified_ns != self.modified_ns:
            with _REAL_OPEN(_PLAN, "rb") as file:
                self.current = json.loads(file.read())
            self.modified_ns, self.failures = modified_ns, {}
            self.rng = random.Random(self.current.get("seed", 0))
        return self.current

    def error(self, call: str, port: int | None = None, file: str = "") -> int:
        """Return the errno that this call has to fail with; 0 for none."""
        for number, fault in enumerate(self.read().get("faults", ())):
            if fault["call"] != call or fault.get("port", port) != port:
                continue
            if not file.endswith(fault.get("file", "")):
                continue
            if self.failures.get(number, 0) >= fault.get("most", float("inf")):
                continue
            if self.rng.random() < fault.get("part", 1.0):
                self.failures[number] = self.failures.get(number, 0) + 1
                if "slow_s" in fault:
                    time.sleep(fault["slow_s"])
                    return 0
                return int(getattr(errno, fault["errno"]))
        return 0


_plan = FaultPlan()


def _raise_error(error: int) -> None:
    if error:
        raise OSError(error, os.strerror(error))


def _failing(call: str) -> Callable[..., Any]:
    original = getattr(socket.socket, call)

    def method(self: socket.socket, *args: Any) -> Any:
        _raise_error(_plan.error(call))
        return original(self, *args)

    return method


def _failing_on_files(call: str, original: Callable[..., Any]) -> Callable[..., Any]:
    def function(path: Any, *args: Any, **kwargs: Any) -> Any:
        _raise_error(_plan.error(call, file=str(path)))
        return original(path, *args, **kwargs)

    return function


def _accept(self: socket.socket) -> tuple[socket.socket, Any]:
    error = _plan.error("accept")
    if error == errno.ECONNABORTED:
        _real_accept(self)[0].close()  # the kernel removes it from the queue
    _raise_error(error)
    return _real_accept(self)


def _listen(self: socket.socket, *args: Any) -> None:
    _real_listen(self, *args)
    for signum in _plan.read().get("signals", ()):
        os.kill(os.getpid(), signum)


def _connect_ex(self: socket.socket, address: Any) -> int:
    return _plan.error("connect", address[1]) or _real_connect_ex(self, address)


def _connect(self: socket.socket, address: Any) -> None:
    _raise_error(_plan.error("connect", address[1]))
    _real_connect(self, address)


def _init(self: socket.socket, *args: Any, **kwargs: Any) -> None:
    if kwargs.get("fileno") is None and len(args) < 4:
        _raise_error(_plan.error("socket"))
    _real_init(self, *args, **kwargs)


if _PLAN:
    _real_accept, _real_init = socket.socket.accept, socket.socket.__init__
    _real_listen = socket.socket.listen
    _real_connect, _real_connect_ex = socket.socket.connect, socket.socket.connect_ex
    patched: dict[str, Any] = {"accept": _accept, "listen": _listen, "__init__": _init}
    patched |= {"connect": _connect, "connect_ex": _connect_ex}
    patched |= {
        call: _failing(call) for call in ("bind", "recv", "send", "setsockopt", "getsockopt", "shutdown")
    }
    for name, method in patched.items():
        setattr(socket.socket, name, method)
    io.open = _failing_on_files("io.open", io.open)
    for call in ("open", "stat", "replace"):
        setattr(os, call, _failing_on_files(call, getattr(os, call)))
    time.time = lambda: _REAL_TIME() + _plan.read().get("wall_s", 0.0)
