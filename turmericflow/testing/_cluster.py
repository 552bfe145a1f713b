"""Clusters of real processes on loopback: stand-ins, proxies and routers."""

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
    """Target to start as a stand-in process.

    Attributes
    ----------
    args
        Command line arguments of the stand-in.
    role
        ``engine`` or ``service``: the stand-in's module and role in the host list.
    """

    name: str
    service: str
    data_centre: str
    args: list[str] = field(default_factory=list)
    role: str = "engine"


@dataclass(slots=True)
class ClusterPlan:
    """Processes and settings of a cluster.

    Attributes
    ----------
    routers
        Data centre of each router, by host name.
    targets
        Engines and plain services to start.
    objects
        Objects to write to the platform, by ``kind/name``.
    settings
        Further settings of each router.
    peer_delay_s
        One-way delay between routers, in seconds, added by a proxy for each
        router; 0 to start no proxies.
    platform_args
        Command line arguments of the stand-in platform.
    wait_ready
        Whether the start waits until all routers are ready.
    log_folder
        Folder for the routers' logs; None to log to standard error.
    ready_timeout_s
        Timeout for a router to become ready or reach a status, in seconds.
    initial_platform_fault
        Platform fault, as in `Cluster.set_platform_fault`, from before the
        routers start.
    prepare
        Called after the platform and the targets are up, before the routers start.
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
    """A started process and its listening ports."""

    process: subprocess.Popen
    ip: str
    ports: list[int]

    @property
    def address(self) -> str:
        """Address of the first port, as ``IP:PORT``."""
        return f"{self.ip}:{self.ports[0]}"


def free_port(ip: str) -> int:
    """Return an unused port on an IP address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def http_json(method: str, url: str, body: object = None, headers: dict | None = None):
    """Send one HTTP request and return the JSON reply, or None if empty."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, headers or {}, method=method)
    trust_all = ssl._create_unverified_context() if url.startswith("https") else None
    with urllib.request.urlopen(request, timeout=10, context=trust_all) as resp:
        raw = resp.read()
    return json.loads(raw) if raw else None


def member_states(status: dict) -> dict[str, str]:
    """Return the member state of each other host in a host's status."""
    others = [row for row in status["members"] if row["host"] != status["host"]]
    return {row["host"]: row["state"] for row in others}


class Cluster:
    """Starts and stops the processes of a plan.

    Attributes
    ----------
    processes
        Running processes by name.
    router_addresses
        Address for callers of each router, by host name.
    """

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
        """Start the platform, the targets and the routers.

        Return when all routers are ready, unless ``plan.wait_ready`` is false.
        """
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
        """Start the stand-in platform."""
        module = "turmericflow.testing.platform"
        self.start_stand_in("platform", module, "127.0.0.1", self.plan.platform_args)

    def start_target(self, spec: EngineSpec, port: int = 0) -> None:
        """Start an engine or a plain service and add it to the host rows."""
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
        """Start a proxy ``proxy-NAME`` and make routers reach a target through it."""
        running = self.processes[name]
        module, args = "turmericflow.testing.proxy", ["--to", running.address]
        proxy = self.start_stand_in(f"proxy-{name}", module, running.ip, args)
        for row in self._host_rows:
            if row["name"] == name:
                row["port"] = proxy.ports[0]
        self.write_host_list()

    def write_host_list(self) -> None:
        """Publish the targets' host list on the platform."""
        url = f"http://{self.processes['platform'].address}/admin/hosts"
        http_json("PUT", url, self._host_rows)

    def put(self, path: str, value: object, version: int = 0) -> dict:
        """Write an object to the platform."""
        url = f"http://{self.processes['platform'].address}/v1/objects/{path}"
        return http_json("PUT", url, value, {"If-Match": str(version)})

    def delete(self, path: str, version: int) -> dict:
        """Delete an object from the platform."""
        url = f"http://{self.processes['platform'].address}/v1/objects/{path}"
        return http_json("DELETE", url, None, {"If-Match": str(version)})

    def set_platform_fault(self, **fields: object) -> None:
        """Set the platform's fault; without fields, clear it."""
        url = f"http://{self.processes['platform'].address}/admin/fault"
        http_json("PUT", url, fields)

    def start_router(self, host: str) -> None:
        """Write a router's settings and start it."""
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
        """Wait until a router reports that it is ready."""
        deadline = time.monotonic() + self.plan.ready_timeout_s
        scheme = "https" if "tls" in self.plan.settings else "http"
        url = f"{scheme}://{self.router_addresses[host]}/v1/status"
        while True:
            try:
                if http_json("GET", url)["ready"]:
                    return
            except OSError:
                pass
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f"{host} was not ready within {self.plan.ready_timeout_s} s"
                )
            time.sleep(POLL_INTERVAL_S)

    def kill(self, name: str) -> None:
        """Kill a process with ``SIGKILL``."""
        running = self.processes.pop(name)
        running.process.kill()
        running.process.wait()

    def pause(self, name: str) -> None:
        """Pause a process with ``SIGSTOP``."""
        self.processes[name].process.send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused process with ``SIGCONT``."""
        self.processes[name].process.send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> int:
        """Stop a process with ``SIGTERM`` and return its exit code."""
        running = self.processes.pop(name)
        running.process.terminate()
        return running.process.wait(STOP_TIMEOUT_S)

    def set_proxy_fault(self, name: str, **fields: object) -> None:
        """Set a proxy's fault; without fields, clear it."""
        running = self.processes[name]
        with socket.create_connection((running.ip, running.ports[1])) as sock:
            sock.sendall(json.dumps(fields).encode() + b"\n")
            sock.recv(16)

    def partition(self, group_a: list[str], group_b: list[str]) -> None:
        """Block all traffic between two groups of routers."""
        for group, others in ((group_a, group_b), (group_b, group_a)):
            ips = [self.router_addresses[host].rsplit(":", 1)[0] for host in others]
            for host in group:
                self.set_proxy_fault(f"proxy-{host}", **_STALL_AND_REFUSE, sources=ips)

    def heal(self) -> None:
        """Clear the faults of all routers' proxies; the plan's delay stays."""
        for host in self.plan.routers:
            self.set_proxy_fault(f"proxy-{host}", delay_s=self.plan.peer_delay_s)

    def status(self, host: str) -> dict:
        """Return a router's status."""
        return http_json("GET", f"http://{self.router_addresses[host]}/v1/status")

    def wait_for_status(
        self, predicate: Callable[[dict], bool], hosts: Iterable[str] | None = None
    ) -> None:
        """Wait until a predicate holds for the status of each host.

        Parameters
        ----------
        predicate
            Predicate of a router's status.
        hosts
            Routers to wait for; None for all.
        """
        deadline = time.monotonic() + self.plan.ready_timeout_s
        for host in hosts or self.plan.routers:
            while not self._status_matches(host, predicate):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{host}: {self.status(host)}")
                time.sleep(POLL_INTERVAL_S)

    def _status_matches(self, host: str, predicate: Callable[[dict], bool]) -> bool:
        try:
            return bool(predicate(self.status(host)))
        except OSError:
            return False

    def stop(self) -> None:
        """Kill every process that this cluster started."""
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
        ip = self.router_addresses[host].rsplit(":", 1)[0]
        peers = [self._peer_row(other) for other in self.plan.routers if other != host]
        return {
            "host": host,
            "data_centre": self.plan.routers[host],
            "entry": self.router_addresses[host],
            "peer": f"{ip}:{self._peer_ports[host]}",
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
        """Start a stand-in module and wait for its ports."""
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
