"""Stand-ins for the store, workers and clients, and host processes for the cases.

Only the standard library is used. All addresses are loopback addresses. The stand-ins
speak what the users' page PROTOCOL says, and nothing else.
"""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FRONT, READY, CONTROL, DIRECTORY, INTERNAL = 8740, 8749, 8748, 8746, 7200
KEY, TENANT, HOST = "key-of-a", "tenant-a", "site.example"
ATTEMPT = "x-turmericflow-attempt-id"
READY_TIMEOUT_S = 20.0
RESET = struct.pack("ii", 1, 0)


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", buffering=1)
        self._began = time.monotonic()
        self.line(f"TROUBLE={int(TROUBLE)}")

    def line(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._began:8.3f}  {text}\n")


def loopback_range() -> str:
    """Return a prefix of loopback addresses on which the fixed ports are free."""
    for offset in range(200):
        number = os.getpid() + offset
        prefix = f"127.{20 + number // 200 % 200}.{1 + number % 200}"
        try:
            for port in (FRONT, READY, CONTROL, DIRECTORY, INTERNAL, 9108):
                with socket.socket() as sock:
                    sock.bind((f"{prefix}.1", port))
        except OSError:
            continue
        return prefix
    raise RuntimeError("no loopback addresses with free ports")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers; raises `EOFError` at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        raise EOFError from exc
    line, *rest = head.decode("latin-1").split("\r\n")
    headers = {}
    for each in filter(None, rest):
        name, _, value = each.partition(":")
        headers[name.strip().lower()] = value.strip()
    return line, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body that has a length or chunks, or is empty."""
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer(status: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{k}: {v}" for k, v in {**headers, "Content-Length": len(body)}.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """HTTP/1.1 server with kept channels; subclasses handle one request at a time."""

    def __init__(self, ip: str, port: int) -> None:
        self.ip, self.port = ip, port
        self._server: asyncio.Server | None = None
        self._tasks: dict[asyncio.Task, asyncio.StreamWriter] = {}

    @property
    def address(self) -> str:
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=2**22
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Accept nothing any more and reset all channels, as if the process died."""
        self._server.close()
        for task, writer in list(self._tasks.items()):
            reset(writer)
            task.cancel()

    async def _serve(self, reader, writer) -> None:
        self._tasks[asyncio.current_task()] = writer
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ")
                body = await read_body(reader, headers)
                run = asyncio.ensure_future(
                    self.handle(writer, method, path, headers, body)
                )
                gone = asyncio.ensure_future(watch_end(reader, writer))
                try:
                    await asyncio.wait({run, gone}, return_when="FIRST_COMPLETED")
                    if not run.done() or not await run:
                        break
                finally:
                    run.cancel()
                    gone.cancel()
        except (EOFError, OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.pop(asyncio.current_task(), None)
            writer.close()

    async def handle(self, writer, method, path, headers, body) -> bool:
        """Answer one request; return whether the channel is kept."""
        raise NotImplementedError


async def watch_end(reader: asyncio.StreamReader, writer) -> None:
    """Return once the peer has closed the channel."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a channel."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        except OSError:
            pass
    writer.transport.abort()


class Store(Server):
    """The platform's store: kinds of objects, revisions, watches.

    The spec of an object is kept as the bytes that its writer sent.
    """

    MAX_PAGE_BYTES = 1_000_000
    era = 1

    def __init__(self, ip: str, port: int = 0) -> None:
        super().__init__(ip, port)
        self.revision = 1
        self.objects: dict[str, dict[str, bytes]] = {}
        self._revisions: dict[tuple[str, str], int] = {}
        self._history: list[tuple[int, str, bytes, bool]] = []
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: object) -> int:
        """Create or replace an object; a spec in bytes is stored as it is."""
        if not isinstance(spec, bytes):
            spec = json.dumps(spec).encode()
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": self.revision,
            "finalizers": [],
            "deleting": False,
        }
        stored = b'{"metadata":%s,"spec":%s,"status":null}' % (
            json.dumps(metadata).encode(),
            spec,
        )
        self.objects.setdefault(kind, {})[name] = stored
        self._revisions[kind, name] = self.revision
        self._note(kind, stored, False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is None:
            return
        self.revision += 1
        old = self._revisions.pop((kind, name))
        stored = stored.replace(
            b'"revision": %d' % old, b'"revision": %d' % self.revision, 1
        )
        self._note(kind, stored, True)

    def _note(self, kind: str, stored: bytes, removed: bool) -> None:
        self._history.append((self.revision, kind, stored, removed))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def handle(self, writer, method, path, headers, body) -> bool:
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(part) for part in url.path.split("/")[3:]]
        kind, name = parts[0], "/".join(parts[1:])
        await asyncio.sleep(0.004)  # the page SYSTEM: 4 ms an answer
        if method == "GET" and "watch" in query:
            status, out = await self._watch(kind, query)
        elif method == "GET" and not name:
            status, out = "200 OK", self._list(kind, query.get("after", ""))
        elif method == "GET":
            found = self.objects.get(kind, {}).get(name)
            status, out = ("404 Not Found", b"") if not found else ("200 OK", found)
        else:
            status, out = self._write(method, kind, name, query, body)
        head = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        writer.write(answer(status, head, out))
        await writer.drain()
        return True

    def _list(self, kind: str, after: str) -> bytes:
        items, size, more = [], 0, False
        for name, stored in sorted(self.objects.get(kind, {}).items()):
            if name <= after:
                continue
            if items and (size + len(stored) > self.MAX_PAGE_BYTES or len(items) > 499):
                more = True
                break
            items.append(stored)
            size += len(stored)
        return b'{"items":[%s],"hasMore":%s,"storeRevision":%d}' % (
            b",".join(items),
            b"true" if more else b"false",
            self.revision,
        )

    async def _watch(self, kind: str, query: dict) -> tuple[str, bytes]:
        since, wait_s = int(query["watch"]), int(query.get("waitMs", "0")) / 1000
        if since > self.revision:
            return "410 Gone", b"{}"
        events = []
        try:
            async with asyncio.timeout(wait_s):
                while True:
                    events = [
                        b'{"tombstone":%s,"object":%s}'
                        % (b"true" if removed else b"false", stored)
                        for revision, changed, stored, removed in self._history
                        if changed == kind and revision > since
                    ]
                    if events:
                        break
                    await self._changed.wait()
        except TimeoutError:
            pass
        out = b'{"events":[%s],"storeRevision":%d}'
        return "200 OK", out % (b",".join(events), self.revision)

    def _write(self, method, kind, name, query, body) -> tuple[str, bytes]:
        sent = json.loads(body) if body else {"metadata": {}}
        name = name or sent["metadata"].get("name", "")
        stored = self.objects.get(kind, {}).get(name)
        wanted = sent["metadata"].get("revision", query.get("revision"))
        if method == "POST" and stored:
            return "409 Conflict", stored
        if method != "POST" and not stored:
            return "404 Not Found", b"{}"
        if wanted is not None and stored:
            if int(wanted) != self._revisions[kind, name]:
                return "409 Conflict", stored
        if method == "DELETE":
            self.remove(kind, name)
            return "200 OK", stored
        self.put(kind, name, sent["spec"])
        return "200 OK", self.objects[kind][name]


class Worker(Server):
    """A worker that registers itself; subclasses run requests.

    Attributes
    ----------
    runs
        Ids of the requests that this process of the worker ran.
    """

    service = "desk"
    slots = 6

    def __init__(self, ip: str, zone: str, id: str, store: Store, record) -> None:
        super().__init__(ip, 0)
        self.zone, self.id, self.store, self.record = zone, id, store, record
        self.runs: list[str] = []
        self.born = 0

    async def start(self) -> None:
        await super().start()
        self.born = int(time.time() * 1000)
        self.register()

    def register(self, state: str = "ready") -> None:
        self.store.put("servers", self.id, self.entry(state))

    def entry(self, state: str) -> dict[str, object]:
        return {
            "backend": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
        }

    def report(self) -> dict[str, object]:
        return {"born": self.born}

    async def handle(self, writer, method, path, headers, body) -> bool:
        if path == "/healthz":
            writer.write(answer("200 OK", {"X-Turmericflow-Instance-Id": self.id}))
            return True
        if path == "/v1/report":
            out = json.dumps(self.report()).encode()
            writer.write(answer("200 OK", {"Content-Type": "application/json"}, out))
            return True
        if path.startswith("/v1/"):
            return await self.control(writer, method, path, headers, body)
        expected = headers.get("x-turmericflow-expect-instance", self.id)
        id = headers.get(ATTEMPT, "")
        if expected != self.id:
            head = {"X-Turmericflow-Instance-Id": self.id}
            writer.write(answer("421 Misdirected Request", head))
            return True
        self.runs.append(id)
        self.record.line(f"worker {self.id} runs {id} {method} {path}")
        return await self.run(writer, id, path, headers, body)

    async def control(self, writer, method, path, headers, body) -> bool:
        writer.write(answer("404 Not Found", {}))
        return True

    def signed(self, id: str) -> dict[str, str]:
        return {
            "X-Turmericflow-Attempt-Id": id,
            "X-Turmericflow-Upstream-Signature": f"receipt.{self.id}.{id}",
        }

    async def run(self, writer, id, path, headers, body) -> bool:
        await asyncio.sleep(0.03)
        text = f"{self.id} ran {id}".encode()
        writer.write(answer("200 OK", self.signed(id), text))
        return True


def config(version: int = 1, **changes: object) -> dict[str, object]:
    """Return a config like that of the site baytkhayl-fleet, with short names."""
    stream = {
        "name": "report",
        "hostname": HOST,
        "pathPrefix": "/report/",
        "routeType": "streaming",
        "timeoutMs": 25_000,
        "targetLatencyMs": 4_500,
        "priority": 1,
        "backend": "writer",
        "maxAttempts": 5,
        "anonymous": False,
        "stickySessions": True,
        "streamResume": True,
        "gapTargetMs": 700,
    }
    booking = {
        "name": "booking",
        "hostname": HOST,
        "pathPrefix": "/booking/",
        "routeType": "non_idempotent",
        "timeoutMs": 800,
        "targetLatencyMs": 150,
        "priority": 2,
        "backend": "desk",
        "maxAttempts": 1,
        "anonymous": False,
    }
    slot = booking | {
        "name": "slot",
        "pathPrefix": "/slot/",
        "routeType": "idempotent",
        "maxAttempts": 2,
    }
    engine = {
        "slots": 64,
        "kvCapacity": 88_000,
        "kvTokenBytes": 131_072,
        "linkMbps": 740_000.0,
        "moves": True,
        "backups": True,
        "stride": 8,
        "most": 12,
        "pinMs": 4000.0,
        "holdMs": 2000.0,
        "handleS": 4.0,
        "models": [{"name": "m"}],
    }
    whole: dict[str, object] = {
        "version": version,
        "routes": [stream, booking, slot],
        "backends": [
            {
                "name": "writer",
                "healthPath": "/healthz",
                "maxConnections": 360,
                "engine": engine,
            },
            {"name": "desk", "healthPath": "/healthz", "maxConnections": 100},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }
    return whole | changes


class HostProcess:
    """One process of the system, started with the command of the deploy file.

    Attributes
    ----------
    own_ends
        Exit codes of processes that ended without a signal of the test.
    """

    def __init__(self, number: int, prefix: str, store: Store, folder: Path, record):
        self.name, self.ip = f"edge-{number}", f"{prefix}.{number + 1}"
        self.zone = f"zone-{number % 3}"
        self._record, self._folder = record, folder
        self._process: asyncio.subprocess.Process | None = None
        self.own_ends: list[int] = []
        self._ordered = self._closed = False
        settings = {
            "nodeName": self.name,
            "role": "edge",
            "machineClass": "edge",
            "serves": ["edge", "registry", "control_plane"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "r",
            "zones": {f"zone-{n}": "r" for n in range(3)},
            "listen": {
                "front": f"{self.ip}:{FRONT}",
                "ready": f"{self.ip}:{READY}",
                "control": f"{self.ip}:{CONTROL}",
                "directory": f"{self.ip}:{DIRECTORY}",
            },
            "internalPorts": [INTERNAL, INTERNAL + 15],
            "seeds": [f"{prefix}.{n + 1}:{CONTROL}" for n in range(3)],
            "bootstrap": True,
            "limits": {"memoryMb": 300, "maxFds": 4100},
            "heartbeatMs": 1200,
            "bounds": {
                "contactMs": 3000,
                "drainMs": 2000,
                "graceS": 8,
                "configApplyMs": 2000,
                "retryBudgetRatio": 0.8,
                "budgetWindowS": 10,
                "budgetSlack": 150,
                "recoverS": 12,
                "ttl_max_s": 5,
            },
            "provider": {
                "address": store.address,
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1_048_576,
            },
        }
        self._settings = folder / f"{self.name}.json"
        self._settings.write_text(json.dumps(settings))

    async def start(self) -> None:
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["edge"]
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["TURMERICFLOW_NODE_FILE"] = str(self._settings)
        self._ordered = False
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *shlex.split(role["run"]), cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._record.line(f"{self.name} started")

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    async def keep_running(self, pause_s: float = 0.5) -> None:
        """Start the process again whenever it ends, as the platform does."""
        while not self._closed:
            if not self.running:
                await self.start()
            code = await self._process.wait()
            if not self._ordered:
                self.own_ends.append(code)
                self._record.line(f"{self.name} ended by itself with code {code}")
            await asyncio.sleep(pause_s)

    def signal(self, signum: signal.Signals) -> None:
        if self.running:
            self._ordered = signum in (signal.SIGTERM, signal.SIGKILL)
            self._process.send_signal(signum)
            self._record.line(f"{self.name} gets {signum.name}")

    async def wait(self, timeout_s: float) -> None:
        """Wait until the process has ended; kill it after the timeout."""
        try:
            await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self._process.wait()
        self._record.line(f"{self.name} has ended")

    async def end(self) -> None:
        """Kill the process for good."""
        self._closed = True
        if self.running:
            self._ordered = True
            self._process.kill()
            await self._process.wait()

    async def is_ready(self) -> bool:
        found = await request(self.ip, READY, "GET", "/v1/readyz", {}, timeout_s=1.0)
        return found.status == 200

    async def until_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    def log_text(self) -> str:
        return (self._folder / f"{self.name}.log").read_text(errors="replace")


class Answer:
    """What a client saw: how its request ended, status, headers and body."""

    def __init__(self) -> None:
        self.ending, self.status = "no channel", 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.seconds = 0.0

    @property
    def complete(self) -> bool:
        return self.ending == "complete"


async def request(
    ip: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Send one request on a channel of its own; never raises for a failed one."""
    found, began, writer = Answer(), time.monotonic(), None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port, limit=2**22)
            head = {"Host": HOST, **headers, "Content-Length": str(len(body))}
            lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in head.items())]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            found.ending = "cut, no answer"
            line, found.headers = await read_head(reader)
            found.status = int(line.split(" ")[1])
            found.ending = "cut in the answer"
            if found.headers.get("transfer-encoding") == "chunked":
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    found.body += await reader.readexactly(size)
                    await reader.readexactly(2)
                await reader.readuntil(b"\r\n")
            else:
                found.body = await reader.readexactly(
                    int(found.headers.get("content-length", "0"))
                )
            found.ending = "complete"
    except TimeoutError:
        found.ending = f"gave up ({found.ending})"
    except (OSError, EOFError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    found.seconds = time.monotonic() - began
    return found


def client_headers(id: str, budget_ms: int, **more: str) -> dict[str, str]:
    return {
        "X-Turmericflow-Attempt-Id": id,
        "X-Turmericflow-Deadline-Ms": str(budget_ms),
        "X-Turmericflow-Key": KEY,
        **more,
    }


def run_case(case) -> None:
    """Run `case(folder, prefix, record)`; exit with its result, 2 if it cannot run."""
    here = Path(sys.argv[0]).resolve().parent
    record = Record(here)

    async def main() -> int:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as folder:
            hosts: list[HostProcess] = []
            try:
                async with asyncio.timeout(115):
                    return await case(Path(folder), loopback_range(), record, hosts)
            finally:
                for host in hosts:
                    await host.end()
                keep = os.environ.get("KEEP_LOGS")
                for host in hosts if keep else ():
                    Path(keep, f"{host.name}.log").write_text(host.log_text())

    try:
        code = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as exc:  # the case could not run
        record.line(f"could not run: {exc!r}")
        print(f"could not run: {exc!r}")
        code = NOT_RUN
    record.line(f"exit {code}")
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    sys.exit(code)
