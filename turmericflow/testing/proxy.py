"""A small fault-injecting TCP proxy, set by a line of JSON on its control port."""

from __future__ import annotations

import argparse
import asyncio
import json
import selectors
from dataclasses import dataclass

CHUNK_BYTES = 65_536


@dataclass(slots=True)
class Fault:
    """What the proxy does to connections.

    Attributes
    ----------
    delay_s
        Time that each chunk is held, in seconds, each way.
    refuse
        Whether new connections are closed at once.
    stall_up, stall_down
        Whether bytes to the server, or to the caller, are held back; they go
        on when the fault is lifted.
    drop_down
        Whether bytes to the caller are thrown away.
    sources
        IP numbers of the callers that the fault is for; empty for all.
    """

    delay_s: float = 0.0
    refuse: bool = False
    stall_up: bool = False
    stall_down: bool = False
    drop_down: bool = False
    sources: tuple[str, ...] = ()

    def holds(self, caller: asyncio.StreamWriter, up: bool) -> bool:
        """Return whether bytes of a caller's connection are held back."""
        stalled = self.stall_up if up else self.stall_down
        return stalled and self.affects(caller)

    def affects(self, writer: asyncio.StreamWriter) -> bool:
        """Return whether the fault is for a caller."""
        source = writer.get_extra_info("peername")
        return not self.sources or (source is not None and source[0] in self.sources)


class Proxy:
    """Passes bytes between callers and one server, with faults."""

    def __init__(self, ip: str, port: int) -> None:
        self._server = (ip, port)
        self.fault = Fault()
        self._lifted = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    def set_fault(self, fault: Fault) -> None:
        """Put a fault in force on all connections, present and new."""
        self.fault = fault
        self._lifted.set()
        self._lifted = asyncio.Event()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one caller."""
        if self.fault.refuse and self.fault.affects(writer):
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self._server)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, up_writer}
        self._writers |= pair
        ways = (
            self._pump(reader, up_writer, writer, up=True),
            self._pump(up_reader, writer, writer, up=False),
        )
        await asyncio.gather(*ways)
        self._writers -= pair

    async def _pump(
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
            while self.fault.holds(caller, up):
                await self._lifted.wait()
            if self.fault.drop_down and not up and data:
                continue
            if not data:
                writer.close()
                return
            if not writer.transport.is_closing():
                writer.write(data)

    async def control(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Take lines such as ``{"delay_s": 0.1}`` or ``{"reset": true}``."""
        while line := await reader.readline():
            fields = json.loads(line)
            reset = fields.pop("reset", False)
            self.set_fault(Fault(**fields))
            if reset:
                self.reset()
            writer.write(b"ok\n")
        writer.close()


def _precise_loop() -> asyncio.AbstractEventLoop:
    """Return a loop whose waits are not rounded up to whole milliseconds."""
    return asyncio.SelectorEventLoop(selectors.SelectSelector())


async def _serve(args: argparse.Namespace) -> None:
    ip, _, port = args.to.rpartition(":")
    proxy = Proxy(ip, int(port))
    server = await asyncio.start_server(proxy.accept, args.ip, args.port)
    control = await asyncio.start_server(proxy.control, args.ip, 0)
    taken = server.sockets[0].getsockname()[1]
    print(f"ready {taken} {control.sockets[0].getsockname()[1]}", flush=True)
    await asyncio.Event().wait()


def main(argv: list[str] | None = None) -> None:
    """Run the proxy until it is ended; print its port and control port first."""
    parser = argparse.ArgumentParser(prog="python -m turmericflow.testing.proxy")
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--to", required=True, help="IP:PORT of the server")
    with asyncio.Runner(loop_factory=_precise_loop) as runner:
        runner.run(_serve(parser.parse_args(argv)))


if __name__ == "__main__":
    main()
