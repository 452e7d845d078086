"""How changes reach the balancers of a run: straight from the list service, or through relays.

All that a run knows of relays stands here: their command, their settings and those of balancers.
"""

from __future__ import annotations

import shlex
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from puffinford.scale.pipes import cpu_seconds, resident
from puffinford.standins.balancer import free_port
from puffinford.standins.listeners import HOST

READY_MOST_S = 10.0


@dataclass(frozen=True)
class Traffic:
    """What one relay answered a second, over a time; bytes without those of TCP and IP."""

    calls: float
    sent: float


class RelayNotListening(Exception):
    """A relay does not run as it should; the text says which and where its log is."""


class Distribution(Protocol):
    """Where balancers ask for the list."""

    name: str
    groups: list[str]  # ports that the list service has to open for it, apart from those of the balancers
    relays: list[RelayProcess]

    def start(self, addresses: Mapping[str, str]) -> None:
        """Start what stands between; `addresses` are those of the list service's groups."""

    def operators(self) -> str:
        """What balancers have in their operators' file."""

    def stop(self) -> None:
        """End what was started."""


class DirectDistribution:
    """Each balancer watches the list service itself."""

    name = "direct"

    def __init__(self) -> None:
        self.groups: list[str] = []
        self.relays: list[RelayProcess] = []

    def start(self, addresses: Mapping[str, str]) -> None:
        """Nothing stands between."""

    def operators(self) -> str:
        return ""

    def stop(self) -> None:
        """Nothing was started."""


class RelayProcess:
    """A process of `puffinford relay` with an address that it keeps over restarts."""

    def __init__(self, name: str, directory: Path) -> None:
        self.name = name
        self.port = free_port()
        self.log = directory / f"{name}.log"
        self._settings = directory / f"{name}.conf"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> str:
        """HOST:PORT where it serves the list."""
        return f"{HOST}:{self.port}"

    @property
    def running(self) -> bool:
        """Whether the process is there."""
        return self._process is not None and self._process.poll() is None

    def configure(self, upstream: str) -> None:
        """Write its settings."""
        self._settings.write_text(f"section relay\n    listen {self.address}\n    upstream {upstream}\n")

    def start(self) -> None:
        """Start it, or start it again after its end."""
        words = [sys.executable, "-m", "puffinford", "relay", "--settings", str(self._settings)]
        with open(self.log, "ab") as log:
            self._process = subprocess.Popen(words, stdout=log, stderr=log)

    def wait_until_listening(self) -> None:
        """Raises NotDistributed where it does not come up."""
        end = time.monotonic() + READY_MOST_S
        while time.monotonic() < end and self.running:
            with socket.socket() as sock:
                sock.settimeout(0.2)
                if sock.connect_ex((HOST, self.port)) == 0:
                    return
            time.sleep(0.02)
        raise RelayNotListening(f"{self.name} does not listen; see {self.log}")

    def signal(self, signum: int) -> None:
        """Send the process a signal, where it runs."""
        if self._process is not None and self.running:
            self._process.send_signal(signum)

    def kill(self) -> None:
        """End it at once."""
        if self._process is not None:
            self.signal(signal.SIGKILL)
            self._process.wait()

    def traffic(self, begin: float, end: float) -> Traffic | None:
        """By the figures that it logs, between two Unix ms; None where it logged fewer than two."""
        told = []
        for line in self.log.read_text(errors="replace").splitlines():
            if " event=figures " in line:
                values = dict(word.partition("=")[::2] for word in shlex.split(line))
                told.append((float(values["t"]), int(values["calls"]), int(values["bytes"])))
        told = [one for one in told if begin <= one[0] * 1_000.0 <= end]
        if len(told) < 2 or told[-1][1] < told[0][1]:  # fewer calls: it was started again
            return None
        seconds = told[-1][0] - told[0][0]
        return Traffic((told[-1][1] - told[0][1]) / seconds, (told[-1][2] - told[0][2]) / seconds)

    def cpu(self) -> float:
        """Seconds of CPU that its process has taken; 0 where it is gone."""
        return cpu_seconds(self._process.pid) if self._process is not None and self.running else 0.0

    def resident(self) -> int:
        """Bytes of memory that its process holds; 0 where it is gone."""
        return resident(self._process.pid) if self._process is not None and self.running else 0


class RelayDistribution:
    """Relays watch the list service, and balancers watch relays."""

    name = "relays"

    def __init__(self, count: int, directory: Path) -> None:
        self.relays = [RelayProcess(f"relay-{number}", directory) for number in range(count)]
        self.groups = [relay.name for relay in self.relays]

    def start(self, addresses: Mapping[str, str]) -> None:
        for relay in self.relays:
            relay.configure(addresses[relay.name])
            relay.start()
        for relay in self.relays:
            relay.wait_until_listening()

    def operators(self) -> str:
        return "section discovery\n    relays " + ",".join(relay.address for relay in self.relays) + "\n"

    def stop(self) -> None:
        for relay in self.relays:
            relay.kill()


def distribution(relays: int, directory: Path) -> Distribution:
    """Through so many relays; 0: straight from the list service."""
    return RelayDistribution(relays, directory) if relays else DirectDistribution()
