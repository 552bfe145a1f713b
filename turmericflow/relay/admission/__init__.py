"""Admission of new streams to engines: sent, queued at the host, or refused at once."""

from __future__ import annotations

from turmericflow.relay.admission._gate import AdmissionGate
from turmericflow.relay.admission._queue import StreamQueue, WaitingStream

__all__ = ("AdmissionGate", "StreamQueue", "WaitingStream")
