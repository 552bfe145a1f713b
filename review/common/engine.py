"""Stand-in for a model worker that streams events."""

from __future__ import annotations

import asyncio

from stand_ins import Worker


class Engine(Worker):
    """A model worker.

    Attributes
    ----------
    events, interval_s, first_s
        Events of a stream, time between them and time before the first.
    framed
        Whether streams are sent in chunks; else the end of the channel ends them.
    copies
        Names of the copies of other workers' runs that it holds.
    """

    service = "writer"
    slots = 64
    events, interval_s, first_s = 60, 0.1, 0.1
    framed = True

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.copies: set[str] = set()
        self.peers: dict[str, Engine] = {}

    def entry(self, state: str) -> dict[str, object]:
        models = [{"name": "m", "version": 1, "adapters": []}]
        return super().entry(state) | {"stage": "both", "models": models}

    def report(self) -> dict[str, object]:
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 1,
            "queued": 0,
            "active": 0,
            "kvUsed": 0,
            "kvTotal": 88_000,
            "handles": 0,
            "born": self.born,
        }

    async def run(self, writer, id, path, headers, body) -> bool:
        first = int(headers.get("last-event-id", "0")) + 1
        await asyncio.sleep(self.first_s)
        head = {**self.signed(id), "Content-Type": "text/event-stream"}
        if self.framed:
            head["Transfer-Encoding"] = "chunked"
        else:
            head["Connection"] = "close"
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in head.items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {id} piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if self.framed else event)
            await writer.drain()
            backup = headers.get("x-turmericflow-kv-backup")
            if backup in self.peers:
                self.peers[backup].copies.add(id)
            await asyncio.sleep(self.interval_s)
        if self.framed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record.line(f"worker {self.id} has sent all of {id}")
        return self.framed


def event_numbers(body: bytes) -> list[int]:
    """Return the ids of the events of a stream that a client got."""
    lines = body.decode().split("\n")
    return [int(line[3:]) for line in lines if line.startswith("id:")]
