"""How a run distributes the server list to its balancers: directly from the list service, or through relays.

Starts and configures the relay processes, and provides the balancers' settings that point to them.
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

from puffinford.scale.pipes import cpu_seconds, resident_bytes
from puffinford.standins.balancer import free_port
from puffinford.standins.listeners import HOST

READY_TIMEOUT_S = 10.0


@dataclass(frozen=True)
class Traffic:
    """Mean downstream traffic of one relay; bytes do not include TCP and IP headers."""

    calls_per_s: float
    sent_bytes_per_s: float


class RelayNotListening(Exception):
    """A relay did not listen in time, or ended; the message names the relay and its log."""


class Distribution(Protocol):
    """How the list gets from the list service to the balancers."""

    name: str
    groups: list[str]  # of list service ports to open in addition to those of the balancers
    relays: list[RelayProcess]

    def start(self, addresses: Mapping[str, str]) -> None:
        """Start the relays, if any; `addresses` are those of the list service, by group."""

    def operator_settings(self) -> str:
        """Return the text of the balancers' settings file."""

    def stop(self) -> None:
        """Stop the relays, if any."""


class DirectDistribution:
    """Each balancer watches the list service itself."""

    name = "direct"

    def __init__(self) -> None:
        self.groups: list[str] = []
        self.relays: list[RelayProcess] = []

    def start(self, addresses: Mapping[str, str]) -> None:
        """Nothing to start."""

    def operator_settings(self) -> str:
        """Return no settings: without relays, balancers use the address of their configuration."""
        return ""

    def stop(self) -> None:
        """Nothing to stop."""


class RelayProcess:
    """A process of `puffinford relay` that keeps its address over restarts."""

    def __init__(self, name: str, directory: Path) -> None:
        self.name = name
        self.port = free_port()
        self.log = directory / f"{name}.log"
        self._settings = directory / f"{name}.conf"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> str:
        """HOST:PORT at which it serves the list."""
        return f"{HOST}:{self.port}"

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def configure(self, upstream: str) -> None:
        """Write the settings file; `upstream` is HOST:PORT of the list service."""
        self._settings.write_text(f"section relay\n    listen {self.address}\n    upstream {upstream}\n")

    def start(self) -> None:
        """Start or restart the process."""
        command = [sys.executable, "-m", "puffinford", "relay", "--settings", str(self._settings)]
        with open(self.log, "ab") as log:
            self._process = subprocess.Popen(command, stdout=log, stderr=log)

    def wait_until_listening(self) -> None:
        """Wait until the relay accepts connections; raises RelayNotListening after `READY_TIMEOUT_S`."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline and self.running:
            with socket.socket() as sock:
                sock.settimeout(0.2)
                if sock.connect_ex((HOST, self.port)) == 0:
                    return
            time.sleep(0.02)
        raise RelayNotListening(f"{self.name} is not listening, see {self.log}")

    def signal(self, signum: int) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self.running:
            self._process.send_signal(signum)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self.signal(signal.SIGKILL)
            self._process.wait()

    def traffic(self, begin_ms: float, end_ms: float) -> Traffic | None:
        """Return the mean traffic between two Unix times (ms), from the log; None with too few samples."""
        samples = []
        for line in self.log.read_text(errors="replace").splitlines():
            if " event=figures " in line:
                values = dict(word.partition("=")[::2] for word in shlex.split(line))
                samples.append((float(values["t"]), int(values["calls"]), int(values["bytes"])))
        samples = [sample for sample in samples if begin_ms <= sample[0] * 1_000.0 <= end_ms]
        if len(samples) < 2 or samples[-1][1] < samples[0][1]:  # counters reset by a restart
            return None
        seconds = samples[-1][0] - samples[0][0]
        return Traffic((samples[-1][1] - samples[0][1]) / seconds, (samples[-1][2] - samples[0][2]) / seconds)

    def cpu_s(self) -> float:
        """Return the CPU time of the process in seconds; 0 if it is not running."""
        return cpu_seconds(self._process.pid) if self._process is not None and self.running else 0.0

    def resident_bytes(self) -> int:
        """Return the resident memory of the process in bytes; 0 if it is not running."""
        return resident_bytes(self._process.pid) if self._process is not None and self.running else 0


class RelayDistribution:
    """Relays watch the list service, and balancers watch the relays."""

    name = "relays"

    def __init__(self, count: int, directory: Path) -> None:
        self.relays = [RelayProcess(f"relay-{number}", directory) for number in range(count)]
        self.groups = [relay.name for relay in self.relays]

    def start(self, addresses: Mapping[str, str]) -> None:
        """Start the relays and wait until all listen; raises RelayNotListening."""
        for relay in self.relays:
            relay.configure(addresses[relay.name])
            relay.start()
        for relay in self.relays:
            relay.wait_until_listening()

    def operator_settings(self) -> str:
        """Return settings that name all relays."""
        return "section discovery\n    relays " + ",".join(relay.address for relay in self.relays) + "\n"

    def stop(self) -> None:
        """Kill the relays."""
        for relay in self.relays:
            relay.kill()


def make_distribution(relays: int, directory: Path) -> Distribution:
    """Return a distribution through this number of relays, or directly from the list service if it is 0."""
    return RelayDistribution(relays, directory) if relays else DirectDistribution()
