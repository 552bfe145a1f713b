"""Real processes on loopback: stand-ins, proxies and daemons."""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import ssl
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO

import yaml

READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 30.0

_STALL_AND_REFUSE = {"stall_up": True, "stall_down": True, "refuse": True}


@dataclass(slots=True)
class EngineSpec:
    """A target to start: its name, service and the stand-in's arguments."""

    name: str
    service: str
    data_centre: str
    args: list[str] = field(default_factory=list)
    role: str = "engine"


@dataclass(slots=True)
class ClusterPlan:
    """What a cluster is to have.

    Attributes
    ----------
    routers
        Data centre of each router, by host name.
    targets
        Engines and plain services.
    objects
        Values to write to the platform, by ``kind/name``.
    settings
        Further fields for each daemon's settings.
    peer_delay_s
        One-way delay between routers, through a proxy before each; 0 for none.
    platform_args
        Arguments of the platform's stand-in.
    wait_ready
        Whether the start ends only when all routers are ready.
    log_folder
        Folder for the routers' logs, or None for standard error.
    ready_timeout_s
        Longest wait for a router to become ready, in seconds.
    initial_platform_fault
        Fault of the platform while the routers start.
    prepare
        Called once the platform and the targets run, before the routers start.
    """

    routers: dict[str, str]
    targets: list[EngineSpec]
    objects: dict[str, object]
    settings: dict[str, object] = field(default_factory=dict)
    peer_delay_s: float = 0.0
    platform_args: list[str] = field(default_factory=list)
    wait_ready: bool = True
    log_folder: Path | None = None
    ready_timeout_s: float = READY_TIMEOUT_S
    initial_platform_fault: dict[str, object] = field(default_factory=dict)
    prepare: Callable[[Cluster], None] | None = None


@dataclass(slots=True)
class RunningProcess:
    """A process that was started, and its ports."""

    process: subprocess.Popen
    ip: str
    ports: list[int]

    @property
    def address(self) -> str:
        """Its first address."""
        return f"{self.ip}:{self.ports[0]}"


def free_port(ip: str) -> int:
    """Return a port that the kernel chose on an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def http_json(method: str, url: str, body: object = None, headers: dict | None = None):
    """Make one HTTP call and return its JSON, or None for an empty body."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, headers or {}, method=method)
    trust_all = ssl._create_unverified_context() if url.startswith("https") else None
    with urllib.request.urlopen(request, timeout=10, context=trust_all) as resp:
        raw = resp.read()
    return json.loads(raw) if raw else None


def member_states(status: dict) -> dict[str, str]:
    """Return what a host's status holds of the other hosts."""
    others = [row for row in status["members"] if row["host"] != status["host"]]
    return {row["host"]: row["state"] for row in others}


class Cluster:
    """Starts a plan's processes, and ends just these."""

    def __init__(self, plan: ClusterPlan) -> None:
        self.plan = plan
        self.processes: dict[str, RunningProcess] = {}
        self.router_addresses: dict[str, str] = {}
        self._folder = tempfile.TemporaryDirectory(prefix="turmericflow-")
        self._host_rows: list[dict] = []
        self._peer_ports: dict[str, int] = {}

    def __enter__(self) -> Cluster:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc: object) -> None:
        self.stop()

    def start(self) -> None:
        """Start the platform, the targets and the routers, and wait for them."""
        self.start_platform()
        for spec in self.plan.targets:
            self._spawn_target(spec)
        for spec in self.plan.targets:
            self._add_target(spec)
        self.write_host_list()
        for path, value in self.plan.objects.items():
            self.put(path, value)
        if self.plan.prepare is not None:
            self.plan.prepare(self)
        self._assign_router_addresses()
        self.set_platform_fault(**self.plan.initial_platform_fault)
        for host in self.plan.routers:
            self.start_router(host)
        if self.plan.wait_ready:
            for host in self.plan.routers:
                self.wait_router(host)

    def start_platform(self) -> None:
        """Start the platform's stand-in."""
        module = "turmericflow.testing.platform"
        self.start_stand_in("platform", module, "127.0.0.1", self.plan.platform_args)

    def start_target(self, spec: EngineSpec, port: int = 0) -> None:
        """Start an engine or a plain service."""
        self._spawn_target(spec, port)
        self._add_target(spec)

    def _spawn_target(self, spec: EngineSpec, port: int = 0) -> None:
        module = f"turmericflow.testing.{spec.role}"
        args = [*spec.args, "--port", str(port)]
        self._spawn(spec.name, module, "127.0.0.1", args)

    def _add_target(self, spec: EngineSpec) -> None:
        running = self._read_ports(spec.name)
        self._host_rows = [row for row in self._host_rows if row["name"] != spec.name]
        self._host_rows.append(
            {
                "name": spec.name,
                "role": spec.role,
                "service": spec.service,
                "data_centre": spec.data_centre,
                "ip": running.ip,
                "port": running.ports[0],
                "state": "live",
            }
        )

    def route_through_proxy(self, name: str) -> None:
        """Let routers reach a target through a proxy, named after it."""
        running = self.processes[name]
        module, args = "turmericflow.testing.proxy", ["--to", running.address]
        proxy = self.start_stand_in(f"proxy-{name}", module, running.ip, args)
        for row in self._host_rows:
            if row["name"] == name:
                row["port"] = proxy.ports[0]
        self.write_host_list()

    def write_host_list(self) -> None:
        """Write the host list to the platform."""
        url = f"http://{self.processes['platform'].address}/admin/hosts"
        http_json("PUT", url, self._host_rows)

    def put(self, path: str, value: object, version: int = 0) -> dict:
        """Write an object to the platform."""
        url = f"http://{self.processes['platform'].address}/v1/objects/{path}"
        return http_json("PUT", url, value, {"If-Match": str(version)})

    def delete(self, path: str, version: int) -> dict:
        """Delete an object of the platform."""
        url = f"http://{self.processes['platform'].address}/v1/objects/{path}"
        return http_json("DELETE", url, None, {"If-Match": str(version)})

    def set_platform_fault(self, **fields: object) -> None:
        """Put a fault of the platform in force."""
        url = f"http://{self.processes['platform'].address}/admin/fault"
        http_json("PUT", url, fields)

    def start_router(self, host: str) -> None:
        """Start a daemon with its settings."""
        path = Path(self._folder.name) / f"{host}.yaml"
        path.write_text(yaml.safe_dump(self._settings(host)), "utf-8")
        ip, port = self.router_addresses[host].rsplit(":", 1)
        argv = ["-m", "turmericflow.services.main", "--config", str(path)]
        with self._log(host) as log:
            process = subprocess.Popen([sys.executable, *argv], stderr=log)
        self.processes[host] = RunningProcess(process, ip, [int(port)])

    @contextlib.contextmanager
    def _log(self, host: str) -> Iterator[IO | None]:
        if self.plan.log_folder is None:
            yield None
            return
        with open(self.plan.log_folder / f"{host}.log", "ab") as log:
            yield log

    def wait_router(self, host: str) -> None:
        """Wait until a daemon answers and knows its configuration."""
        until = time.monotonic() + self.plan.ready_timeout_s
        scheme = "https" if "tls" in self.plan.settings else "http"
        url = f"{scheme}://{self.router_addresses[host]}/v1/status"
        while True:
            try:
                if http_json("GET", url)["ready"]:
                    return
            except OSError:
                pass
            if time.monotonic() > until:
                raise TimeoutError(
                    f"{host} was not ready within {self.plan.ready_timeout_s} s"
                )
            time.sleep(POLL_INTERVAL_S)

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        running = self.processes.pop(name)
        running.process.kill()
        running.process.wait()

    def pause(self, name: str) -> None:
        """Stop a process without ending it."""
        self.processes[name].process.send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continue a paused process."""
        self.processes[name].process.send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> int:
        """Ask a process to stop gracefully and return its exit code."""
        running = self.processes.pop(name)
        running.process.terminate()
        return running.process.wait(STOP_TIMEOUT_S)

    def set_proxy_fault(self, name: str, **fields: object) -> None:
        """Put a fault of a proxy in force."""
        running = self.processes[name]
        with socket.create_connection((running.ip, running.ports[1])) as sock:
            sock.sendall(json.dumps(fields).encode() + b"\n")
            sock.recv(16)

    def partition(self, one: list[str], other: list[str]) -> None:
        """Hold back all bytes between two groups of routers."""
        for group, against in ((one, other), (other, one)):
            ips = [self.router_addresses[host].rsplit(":", 1)[0] for host in against]
            for host in group:
                self.set_proxy_fault(f"proxy-{host}", **_STALL_AND_REFUSE, sources=ips)

    def heal(self) -> None:
        """Lift the faults of all routers' proxies."""
        for host in self.plan.routers:
            self.set_proxy_fault(f"proxy-{host}", delay_s=self.plan.peer_delay_s)

    def status(self, host: str) -> dict:
        """Return a daemon's status."""
        return http_json("GET", f"http://{self.router_addresses[host]}/v1/status")

    def wait_for_status(
        self, done: Callable[[dict], bool], hosts: Iterable[str] | None = None
    ) -> None:
        """Wait until the status of each router, or of some, fits."""
        until = time.monotonic() + self.plan.ready_timeout_s
        for host in hosts or self.plan.routers:
            while not self._status_matches(host, done):
                if time.monotonic() > until:
                    raise TimeoutError(f"{host}: {self.status(host)}")
                time.sleep(POLL_INTERVAL_S)

    def _status_matches(self, host: str, done: Callable[[dict], bool]) -> bool:
        try:
            return bool(done(self.status(host)))
        except OSError:
            return False

    def stop(self) -> None:
        """End every process that this cluster started."""
        for running in self.processes.values():
            running.process.kill()
        for running in self.processes.values():
            running.process.wait()
        self.processes.clear()
        self._folder.cleanup()

    def _assign_router_addresses(self) -> None:
        for number, host in enumerate(self.plan.routers):
            ip = f"127.0.1.{number + 1}"
            self.router_addresses[host] = f"{ip}:{free_port(ip)}"
            self._peer_ports[host] = free_port(ip)
        if not self.plan.peer_delay_s:
            return
        for host in self.plan.routers:
            ip = self.router_addresses[host].rsplit(":", 1)[0]
            to = f"{ip}:{self._peer_ports[host]}"
            module = "turmericflow.testing.proxy"
            self._spawn(f"proxy-{host}", module, ip, ["--to", to])
        for host in self.plan.routers:
            self._read_ports(f"proxy-{host}")
        self.heal()

    def _settings(self, host: str) -> dict:
        own = self.router_addresses[host].rsplit(":", 1)[0]
        peers = [self._peer_row(other) for other in self.plan.routers if other != host]
        return {
            "host": host,
            "data_centre": self.plan.routers[host],
            "entry": self.router_addresses[host],
            "peer": f"{own}:{self._peer_ports[host]}",
            "advertised_peer": self._peer_row(host)["peer"],
            "platform": self.processes["platform"].address,
            "peers": peers,
            "slots": 64,
            **self.plan.settings,
        }

    def _peer_row(self, host: str) -> dict:
        ip = self.router_addresses[host].rsplit(":", 1)[0]
        proxy = self.processes.get(f"proxy-{host}")
        port = proxy.ports[0] if proxy else self._peer_ports[host]
        return {
            "host": host,
            "data_centre": self.plan.routers[host],
            "entry": self.router_addresses[host],
            "peer": f"{ip}:{port}",
        }

    def start_stand_in(
        self, name: str, module: str, ip: str, args: list[str]
    ) -> RunningProcess:
        self._spawn(name, module, ip, args)
        return self._read_ports(name)

    def _spawn(self, name: str, module: str, ip: str, args: list[str]) -> None:
        argv = [sys.executable, "-m", module, "--ip", ip, *args]
        process = subprocess.Popen(argv, stdout=subprocess.PIPE, text=True)
        self.processes[name] = RunningProcess(process, ip, [])

    def _read_ports(self, name: str) -> RunningProcess:
        running = self.processes[name]
        words = running.process.stdout.readline().split()
        running.ports = [int(word) for word in words[1:]]
        return running
