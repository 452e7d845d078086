"""Run the balancer as a process, with the configuration and settings of an installation."""

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
    classes: Sequence[ClientClass], balancers: int = 1, me: int = 0, **more: Any
) -> dict[str, Any]:
    """Return the settings of an installation with these request classes, as its configuration holds them.

    `me` is the number of this balancer among `balancers`; `more` replaces single settings.
    """
    settings: dict[str, Any] = {
        "classes": [
            {
                "name": client_class.name,
                "aim": client_class.aim,
                "give_up": client_class.give_up,
                "repeat": client_class.effect,
                "group": "all",
                "gain": client_class.worth,
                "stream": True,
                "window": client_class.window,
            }
            for client_class in classes
        ],
        "balancers": balancers,
        "me": me,
        "discovery": "subscribe",
        "domain": {
            "groups": True,
            "message_aim": [100.0] * len(classes),
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
    return {**settings, **more}


DEFAULT_SOCKETS = 4_096  # default descriptor limit of a balancer
LISTENING_PORTS = (10_000, 32_000)  # below the kernel's range of ephemeral ports
_ASSIGNED_PORTS: set[int] = set()  # prevents giving a port to two processes before either listens


def free_port() -> int:
    """Return a port that is free now and outside the ephemeral range.

    Prevents an outgoing connection from taking the port before the process listens on it.
    """
    while True:
        port = random.SystemRandom().randrange(*LISTENING_PORTS)
        if port in _ASSIGNED_PORTS:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            _ASSIGNED_PORTS.add(port)
            return port


def reserve_port() -> socket.socket:
    """Bind a free port until the returned socket is closed; a listener may still bind there.

    Prevents another run on this host from drawing the same port before the process listens on it.
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
    """A balancer process that keeps its name and address over restarts. Its log is in `directory`."""

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
        """`operators` is the text of its settings file, `root` another source tree to run; `env` is added to
        its environment. `channels` turns the channel front on; `sockets` is its limit of descriptors.
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
        self._temp_directory = directory / f"{name}.tmp"
        # Prevents reuse of a list stored by an earlier run under the same name, whose version looks the same.
        shutil.rmtree(self._temp_directory, ignore_errors=True)
        self._temp_directory.mkdir()
        self._root = root
        self._process: subprocess.Popen[bytes] | None = None
        self.ready = False  # it has accepted a connection since its last start
        self._config_path = directory / f"{name}.json"
        self._settings_path = directory / f"{name}.conf" if operators else None
        if self._settings_path is not None:
            self._settings_path.write_text(operators)
        config: dict[str, Any] = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "mgmt": f"{HOST}:{self.management_port}",
            "discovery": discovery,
            "seed": f"{seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "settings": settings,
        }
        if known is not None:
            config["known"] = known
        self._base_config = config
        self.write_settings(settings)

    def write_settings(self, settings: Mapping[str, Any]) -> None:
        """Write its configuration with these settings, which it reads at its start and at SIGHUP."""
        self._config_path.write_text(json.dumps({**self._base_config, "settings": settings}))

    @property
    def settings(self) -> Mapping[str, Any]:
        """The settings that the instance was created with."""
        settings: Mapping[str, Any] = self._base_config["settings"]
        return settings

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_status(self) -> str:
        """How the process ended: its exit code or signal; empty if it runs or was never started."""
        code = None if self._process is None else self._process.poll()
        if code is None:
            return ""
        return signal.Signals(-code).name if code < 0 else f"exit code {code}"

    @property
    def pid(self) -> int:
        """Process id; the process must have been started."""
        assert self._process is not None
        return self._process.pid

    def start(self) -> None:
        """Start the process, or start it again after its end."""
        self.ready = False
        env = {
            "PATH": os.environ.get("PATH", ""),
            "EDGE_CONFIG": str(self._config_path),
            "TMPDIR": str(self._temp_directory),
            **self._env,
        }
        command = [sys.executable, "-m", "puffinford"]
        if self._settings_path is not None:
            command += ["serve", "--settings", str(self._settings_path)]
        with open(self.log_path, "ab") as log:
            self._process = subprocess.Popen(command, env=env, stderr=log, stdout=log, cwd=self._root)

    def is_listening(self) -> bool:
        """Return whether it accepts connections now."""
        with socket.socket() as sock:
            sock.settimeout(0.2)
            return sock.connect_ex((HOST, self.port)) == 0

    def signal(self, signum: int) -> None:
        """Send the process a signal, if it runs."""
        if self._process is not None and self.running:
            self._process.send_signal(signum)

    def stop(self) -> None:
        """Release its ports and end it with SIGINT, or with SIGKILL if it runs 2 s later."""
        for held in self._reserved:
            held.close()
        if self._process is None:
            return
        self.signal(signal.SIGCONT)  # a stopped process handles no other signal
        self.signal(signal.SIGINT)
        try:
            self._process.wait(2.0)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()

    def cpu_seconds(self) -> float:
        """Return the CPU time of the process in seconds, as the kernel accounts it."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self) -> int:
        """Return the resident memory of the process in bytes."""
        return int(Path(f"/proc/{self.pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def peak_resident_bytes(self) -> int:
        """Return the peak resident memory of the process in bytes."""
        status = Path(f"/proc/{self.pid}/status").read_text()
        (line,) = (line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) * 1_024

    def wait_until_listening(self, timeout_s: float = 10.0) -> float:
        """Wait until it accepts connections and return the seconds waited; raises TimeoutError."""
        started_at = time.monotonic()
        while not self.is_listening():
            if time.monotonic() - started_at > timeout_s or not self.running:
                raise TimeoutError(f"{self.name} does not listen; see {self.log_path}")
            time.sleep(0.005)
        self.ready = True
        return time.monotonic() - started_at
