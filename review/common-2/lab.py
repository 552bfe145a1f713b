"""Hosts as processes of their own, beside stand-ins, for the cases 6 to 10.

The hosts run with the command of the deploy file. The stand-ins are the project's
own; they run in the process of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READY_TIMEOUT_S = 20.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """Raised when a case cannot be played here."""


class Record:
    """Writes what was sent, answered and run into `record.txt` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def line(self, text: str) -> None:
        """Add a line with the time since the start of the case."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


def own_network() -> str:
    """Return the first three bytes of loopback addresses that nobody else uses."""
    return f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"


def settings(name: str, ip: str, zone: str, store: str, **bounds: float) -> dict:
    """Return settings as the page DEPLOY has them, with a small site's bounds."""
    return {
        "nodeName": name,
        "role": "edge",
        "machineClass": "edge",
        "serves": ["edge", "registry", "control_plane"],
        "ip": ip,
        "zone": zone,
        "region": "r",
        "zones": {f"dc-{number}": "r" for number in range(3)},
        "listen": {
            "front": f"{ip}:8740",
            "ready": f"{ip}:8749",
            "control": f"{ip}:8748",
            "directory": f"{ip}:8746",
        },
        "internalPorts": [7200, 7215],
        "seeds": [],
        "bootstrap": True,
        "limits": {
            "cpuShare": 0.537,
            "speedFactor": 2,
            "memoryMb": 300,
            "maxFds": 4100,
        },
        "heartbeatMs": 1200,
        "bounds": {
            "contactMs": 3000,
            "drainMs": 2000,
            "graceS": 8,
            "lossSlackMs": 200,
            "configApplyMs": 2000,
            "retryBudgetRatio": 0.8,
            "budgetWindowS": 10,
            "budgetSlack": 150,
            "ttl_max_s": 5,
        }
        | bounds,
        "provider": {"address": store, "form": "objects", "historyS": 20},
    }


class Host:
    """A host's process."""

    def __init__(self, name: str, zone: str, ip: str, store: str, folder: Path) -> None:
        self.name = name
        self.ip = ip
        self.front = (ip, 8740)
        self.log_path = folder / f"{name}.log"
        self._path = folder / f"{name}.json"
        self._path.write_text(json.dumps(settings(name, ip, zone, store)))
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["edge"]["run"])
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "TURMERICFLOW_NODE_FILE": str(self._path),
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, env=env, stdout=log, stderr=log, cwd=ROOT
            )

    async def is_ready(self) -> bool:
        """Return whether the host says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8749)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: h\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_until_ready(self) -> None:
        """Wait until the host is ready."""
        until = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if self.process.returncode is not None or time.monotonic() > until:
                tail = self.log_path.read_text()[-2000:]
                raise CannotRun(f"{self.name} is not ready: {tail}")
            await asyncio.sleep(0.05)

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signum)

    async def end(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def logged(self, *events: str) -> list[dict]:
        """Return the log lines of some events."""
        found = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                entry = json.loads(line)
                if isinstance(entry, dict) and entry.get("event") in events:
                    found.append(entry)
        return found


class Lab:
    """All processes and stand-ins of a case."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.logs = Path(tempfile.mkdtemp(prefix="turmericflow-case-"))
        self.hosts: list[Host] = []
        self._network = own_network()
        self._stand_ins: list = []

    async def add(self, stand_in):
        """Start a stand-in and return it."""
        self._stand_ins.append(stand_in)
        await stand_in.start()
        return stand_in

    async def add_hosts(self, number: int, store: str) -> list[Host]:
        """Start hosts and wait until they are ready."""
        for index in range(number):
            host = Host(
                f"host-{index}",
                f"dc-{index % 3}",
                f"{self._network}.{index + 1}",
                store,
                self.logs,
            )
            self.hosts.append(host)
            await host.start()
        for host in self.hosts:
            await host.wait_until_ready()
        return self.hosts

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for host in self.hosts:
            await host.end()
        for stand_in in self._stand_ins:
            await stand_in.stop()


def main(folder: Path, case) -> None:
    """Play a case; exit with 0 if the rule held, 1 if not, 2 if it could not run."""

    async def play() -> int:
        lab = Lab(folder)
        lab.record.line(f"trouble: {TROUBLE}")
        try:
            async with asyncio.timeout(110):
                broken = await case(lab)
        except Exception as exc:
            lab.record.line(f"could not run: {exc!r}")
            print(f"could not run: {exc!r}")
            return NOT_RUN
        finally:
            await lab.close()
        lab.record.line(f"broken: {broken}" if broken else "held")
        print("\n".join(["broken:", *broken]) if broken else "held")
        return BROKEN if broken else HELD

    sys.exit(asyncio.run(play()))
