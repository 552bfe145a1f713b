"""TCP proxy that injects faults, set by lines of JSON on its control port."""

from __future__ import annotations

import argparse
import asyncio
import json
import selectors
from dataclasses import dataclass

CHUNK_BYTES = 65_536


@dataclass(slots=True)
class Fault:
    """Fault that the proxy injects into connections.

    Attributes
    ----------
    delay_s
        Delay of each chunk in each direction, in seconds.
    refuse
        Whether new connections are closed at once.
    stall_up, stall_down
        Whether bytes to the server, or to the caller, are held back until the
        fault is cleared.
    drop_down
        Whether bytes to the caller are discarded.
    sources
        IP addresses of the callers that the fault applies to; empty for all.
    """

    delay_s: float = 0.0
    refuse: bool = False
    stall_up: bool = False
    stall_down: bool = False
    drop_down: bool = False
    sources: tuple[str, ...] = ()

    def is_stalled(self, caller: asyncio.StreamWriter, up: bool) -> bool:
        """Return whether bytes of a caller's connection are held back, one way."""
        stalled = self.stall_up if up else self.stall_down
        return stalled and self.applies_to(caller)

    def applies_to(self, writer: asyncio.StreamWriter) -> bool:
        """Return whether the fault applies to a caller."""
        source = writer.get_extra_info("peername")
        return not self.sources or (source is not None and source[0] in self.sources)


class Proxy:
    """Forwards bytes between callers and one server, and injects faults."""

    def __init__(self, ip: str, port: int) -> None:
        self._server = (ip, port)
        self.fault = Fault()
        self._fault_changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    def set_fault(self, fault: Fault) -> None:
        """Apply a fault to all open and future connections."""
        self.fault = fault
        self._fault_changed.set()
        self._fault_changed = asyncio.Event()

    def reset_connections(self) -> None:
        """Abort all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def handle_caller(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward a caller's connection to the server until both ways are closed."""
        if self.fault.refuse and self.fault.applies_to(writer):
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self._server)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, up_writer}
        self._writers |= pair
        directions = (
            self._forward(reader, up_writer, writer, up=True),
            self._forward(up_reader, writer, writer, up=False),
        )
        await asyncio.gather(*directions)
        self._writers -= pair

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        caller: asyncio.StreamWriter,
        up: bool,
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        sender = asyncio.ensure_future(self._send(queue, writer, caller, up))
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(CHUNK_BYTES):
                queue.put_nowait((loop.time() + self.fault.delay_s, data))
        except OSError:
            writer.transport.abort()
        queue.put_nowait((0.0, b""))
        await sender

    async def _send(
        self,
        queue: asyncio.Queue,
        writer: asyncio.StreamWriter,
        caller: asyncio.StreamWriter,
        up: bool,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due, data = await queue.get()
            await asyncio.sleep(max(0.0, due - loop.time()))
            while self.fault.is_stalled(caller, up):
                await self._fault_changed.wait()
            if self.fault.drop_down and not up and data:
                continue
            if not data:
                writer.close()
                return
            if not writer.transport.is_closing():
                writer.write(data)

    async def handle_control(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Apply fault lines such as ``{"delay_s": 0.1}`` or ``{"reset": true}``."""
        while line := await reader.readline():
            fields = json.loads(line)
            reset = fields.pop("reset", False)
            self.set_fault(Fault(**fields))
            if reset:
                self.reset_connections()
            writer.write(b"ok\n")
        writer.close()


def _precise_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop whose waits are not rounded up to whole milliseconds."""
    return asyncio.SelectorEventLoop(selectors.SelectSelector())


async def _serve(args: argparse.Namespace) -> None:
    ip, _, port = args.to.rpartition(":")
    proxy = Proxy(ip, int(port))
    server = await asyncio.start_server(proxy.handle_caller, args.ip, args.port)
    control = await asyncio.start_server(proxy.handle_control, args.ip, 0)
    bound_port = server.sockets[0].getsockname()[1]
    print(f"ready {bound_port} {control.sockets[0].getsockname()[1]}", flush=True)
    await asyncio.Event().wait()


def main(argv: list[str] | None = None) -> None:
    """Print ``ready PORT CONTROL_PORT``, then run the proxy until it is killed."""
    parser = argparse.ArgumentParser(prog="python -m turmericflow.testing.proxy")
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--to", required=True, help="IP:PORT of the server")
    with asyncio.Runner(loop_factory=_precise_loop) as runner:
        runner.run(_serve(parser.parse_args(argv)))


if __name__ == "__main__":
    main()
