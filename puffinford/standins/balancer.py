"""The balancer as a process of its own, as an installation starts it."""

from __future__ import annotations

import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from puffinford.standins.clients import ClientClass
from puffinford.standins.listeners import HOST


def platform_settings(
    kinds: Sequence[ClientClass], balancers: int = 1, me: int = 0, **more: Any
) -> dict[str, Any]:
    """The settings of an installation with these classes, as its configuration holds them."""
    told: dict[str, Any] = {
        "classes": [
            {
                "name": kind.name,
                "aim": kind.aim,
                "give_up": kind.give_up,
                "repeat": kind.effect,
                "group": "all",
                "gain": kind.worth,
                "stream": True,
                "window": kind.window,
            }
            for kind in kinds
        ],
        "balancers": balancers,
        "me": me,
        "discovery": "subscribe",
        "domain": {
            "groups": True,
            "message_aim": [100.0] * len(kinds),
            "tells_delay": True,
            "mode": "proxy",
        },
        "permissions": {
            "cancel": True,
            "connect_timeout": 120.0,
            "max_attempts": 4,
            "max_retry_after": 1_500.0,
            "retry_after": True,
        },
        "rules": {
            "answer_slack": 8.0,
            "ask_within": 10_000.0,
            "cold_from": 0.13,
            "fall": 1_000.0,
            "ramp_time": 23_000.0,
            "stop_sending_within": 3_000.0,
            "tip_multiple": 3.0,
        },
        "tick": 2.0,
    }
    return {**told, **more}


DEFAULT_SOCKETS = 4_096  # descriptors that a process may hold, where nothing else is told
PORTS = (10_000, 32_000)  # under those that the kernel gives to connections going out
_GIVEN: set[int] = set()  # guards hundreds of processes against two with one port: none listens yet


def free_port() -> int:
    """A port that was free a moment ago, and that no connection going out is given.

    Guards a start against a port that one of thousands of lines took in the meantime.
    """
    while True:
        port = random.SystemRandom().randrange(*PORTS)
        if port in _GIVEN:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            _GIVEN.add(port)
            return port


def reserve_port() -> socket.socket:
    """A port as `free_port` gives it, held until the socket is closed; a listener may still bind there.

    Guards a start against another play on this machine that draws the same port before anybody listens.
    """
    while True:
        held = socket.socket()
        try:
            held.bind((HOST, free_port()))
        except OSError:
            held.close()
            continue
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return held


class BalancerProcess:
    """One balancer under a name and an address that it keeps over restarts. Its log is in `directory`."""

    def __init__(
        self,
        name: str,
        directory: Path,
        discovery: str,
        settings: Mapping[str, Any],
        known: Mapping[str, Any] | None = None,
        operators: str = "",
        root: Path | None = None,
        seed: int = 1,
        env: Mapping[str, str] | None = None,
        channels: bool = False,
        sockets: int = DEFAULT_SOCKETS,
    ) -> None:
        """`operators` is the text of its operators' file, `root` another source tree to run; `env` is added
        to its environment. `channels` turns the channel front on; it may hold `sockets` descriptors.
        """
        self._env = dict(env or {})
        self.name = name
        self._reserved = [reserve_port() for _ in range(3 if channels else 2)]
        ports = [int(held.getsockname()[1]) for held in self._reserved]
        self.port, self.management_port = ports[:2]
        self.channel_port = ports[2] if channels else 0
        if channels:
            operators += f"\nsection channels\n enabled on\n listen {HOST}:{self.channel_port}\n"
        self.directory = directory
        self.log_path = directory / f"{name}.log"
        self._private = directory / f"{name}.tmp"
        # Guards a play against the lists that the same names kept in another: their versions look the same.
        shutil.rmtree(self._private, ignore_errors=True)
        self._private.mkdir()
        self._root = root
        self._process: subprocess.Popen[bytes] | None = None
        self.ready = False  # it was seen to take connections since its last start
        self._config = directory / f"{name}.json"
        self._operators = directory / f"{name}.conf" if operators else None
        if self._operators is not None:
            self._operators.write_text(operators)
        told: dict[str, Any] = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "mgmt": f"{HOST}:{self.management_port}",
            "discovery": discovery,
            "seed": f"{seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "settings": settings,
        }
        if known is not None:
            told["known"] = known
        self._told = told
        self.write_settings(settings)

    def write_settings(self, settings: Mapping[str, Any]) -> None:
        """Write its configuration with these settings; it reads them at its start and at SIGHUP."""
        self._config.write_text(json.dumps({**self._told, "settings": settings}))

    @property
    def settings(self) -> Mapping[str, Any]:
        """The settings that it was made with."""
        settings: Mapping[str, Any] = self._told["settings"]
        return settings

    @property
    def running(self) -> bool:
        """Whether the process is there."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int:
        """Of the process; it must have been started."""
        assert self._process is not None
        return self._process.pid

    def start(self) -> None:
        """Start it, or start it again after its end."""
        self.ready = False
        env = {
            "PATH": os.environ.get("PATH", ""),
            "EDGE_CONFIG": str(self._config),
            "TMPDIR": str(self._private),
            **self._env,
        }
        words = [sys.executable, "-m", "puffinford"]
        if self._operators is not None:
            words += ["serve", "--settings", str(self._operators)]
        with open(self.log_path, "ab") as log:
            self._process = subprocess.Popen(words, env=env, stderr=log, stdout=log, cwd=self._root)

    def is_listening(self) -> bool:
        """Whether it takes connections now."""
        with socket.socket() as sock:
            sock.settimeout(0.2)
            return sock.connect_ex((HOST, self.port)) == 0

    def signal(self, signum: int) -> None:
        """Send the process a signal, where it runs."""
        if self._process is not None and self.running:
            self._process.send_signal(signum)

    def stop(self) -> None:
        """End it, at once if need be, and give its ports back."""
        for held in self._reserved:
            held.close()
        if self._process is None:
            return
        self.signal(signal.SIGCONT)  # one that is frozen hears nothing else
        self.signal(signal.SIGINT)
        try:
            self._process.wait(2.0)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()

    def cpu_seconds(self) -> float:
        """Seconds of CPU that the process has taken, by the kernel's count."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self) -> int:
        """Bytes of memory that the process holds."""
        return int(Path(f"/proc/{self.pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def peak_resident_bytes(self) -> int:
        """The most bytes of memory that the process has held."""
        status = Path(f"/proc/{self.pid}/status").read_text()
        (line,) = (line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) * 1_024

    def wait_until_listening(self, timeout_s: float = 10.0) -> float:
        """Seconds until it took connections; raises TimeoutError."""
        began = time.monotonic()
        while not self.is_listening():
            if time.monotonic() - began > timeout_s or not self.running:
                raise TimeoutError(f"{self.name} does not listen; see {self.log_path}")
            time.sleep(0.005)
        self.ready = True
        return time.monotonic() - began
