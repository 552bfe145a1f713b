"""Binds streams to the software versions that begin them.

A stream's first event is shown only once its version outlives all hosts: the store
holds it, or the stream's id alone tells it.
"""

from __future__ import annotations

from turmericflow.relay.version_binding._binding import VersionBinding
from turmericflow.relay.version_binding._decisions import (
    Anywhere,
    At,
    Records,
    Refused,
    ShowAtOnce,
    ShowEvents,
    ShowFrom,
    ShowOnceRecorded,
    View,
    choose_show,
    choose_start,
)
from turmericflow.relay.version_binding._sets import MAX_SETS, Sets, next_sets

__all__ = (
    "MAX_SETS",
    "Anywhere",
    "At",
    "Records",
    "Refused",
    "Sets",
    "ShowAtOnce",
    "ShowEvents",
    "ShowFrom",
    "ShowOnceRecorded",
    "VersionBinding",
    "View",
    "choose_show",
    "choose_start",
    "next_sets",
)
