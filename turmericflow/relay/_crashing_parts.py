"""Finds parts of prompts that crash each engine that begins to write an answer.

Requests with such a part share it alone, so that crashes are counted by part. A part
of which any answer has output is sound: its first event clears the crashes before it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

MIN_CRASHED_TARGETS = 3
MIN_CRASHED_TARGETS_AFTER_OUTPUT = 5
MIN_CRASHED_CONTENTS = 2  # the attempts of one request do not tell its parts apart
CRASH_RETENTION_S = 60.0
CONVICTION_S = 600.0
MAX_CRASHES = 256
MAX_CONVICTIONS = 256
MAX_SOUND_PARTS = 4096
MAX_GOSSIPED_CRASHES = 16
MAX_GOSSIPED_PARTS = 64


class PartCrash(msgspec.Struct, array_like=True, frozen=True):
    """A target that crashed as it began to write an answer.

    Attributes
    ----------
    target
        Key of the target.
    content
        Fingerprint of the request's content.
    parts
        Shared parts of its prompt, in order.
    at
        Time of the crash in seconds; in a status, its age.
    """

    target: str
    content: str
    parts: tuple[str, ...]
    at: float


class PartTimes(msgspec.Struct, array_like=True):
    """Parts, each with a time in seconds; in a status, with an age.

    Attributes
    ----------
    sound
        Times of output.
    convicted
        Times of convictions.
    after_output
        Convicted parts that were known to have had output before.
    """

    sound: list[tuple[str, float]] = []
    convicted: list[tuple[str, float]] = []
    after_output: list[str] = []


class _Suspicion(NamedTuple):
    """Evidence against a part, in the order in which parts are convicted."""

    had_no_output: bool
    targets: int
    position: int
    part: str


class CrashingParts:
    """Crashes, outputs and convictions by part of prompts.

    Parts are named as the caller of these methods likes, such as by service and id.
    """

    __slots__ = (
        "_crashes",
        "_sound_at",
        "_convicted_at",
        "_refused_until",
        "_after_output",
        "_allowed",
        "_new_crashes",
        "_new_sound",
        "_new_convictions",
        "_unreported",
    )

    def __init__(self) -> None:
        self._crashes: dict[tuple[str, str], PartCrash] = {}
        self._sound_at: dict[str, float] = {}
        self._convicted_at: dict[str, float] = {}
        self._refused_until: dict[str, float] = {}
        self._after_output: set[str] = set()  # convicted though they had output
        self._allowed: list[str] = []  # no longer convicted, to be reported
        self._new_crashes: list[PartCrash] = []
        self._new_sound: dict[str, float] = {}
        self._new_convictions: dict[str, float] = {}
        self._unreported: list[str] = []

    def record_own_crash(self, crash: PartCrash, now: float) -> None:
        """Record a crash that this host saw, to be gossiped."""
        if (crash.target, crash.content) not in self._crashes:
            self._new_crashes.append(crash)
        self.record_crash(crash, now)

    def record_crash(self, crash: PartCrash, now: float) -> None:
        """Record a crash, and convict the parts that the crashes show.

        Parts of which this host remembers output are to be gossiped then, as the host
        that saw the crash may not know of it.
        """
        key = crash.target, crash.content
        if key in self._crashes or now - crash.at >= CRASH_RETENTION_S:
            return
        self._crashes[key] = crash
        if len(self._crashes) > MAX_CRASHES:
            del self._crashes[next(iter(self._crashes))]
        for part in crash.parts:
            if part in self._sound_at:
                self._new_sound.setdefault(part, now)
        self._convict(now)

    def _live_parts(self, crash: PartCrash) -> list[str]:
        """Return the parts of a crash without output since."""
        return [
            part
            for part in crash.parts
            if self._sound_at.get(part, float("-inf")) < crash.at
        ]

    def _convict(self, now: float) -> None:
        """Convict parts that the crashes show; each counts against one of them."""
        crashes = [
            crash
            for crash in self._crashes.values()
            if now - crash.at < CRASH_RETENTION_S
            and not any(part in self._convicted_at for part in crash.parts)
        ]
        while suspicion := self._worst(crashes):
            part = suspicion.part
            self._add_conviction(part, now, not suspicion.had_no_output)
            self._new_convictions[part] = now
            crashes = [crash for crash in crashes if part not in crash.parts]

    def _worst(self, crashes: list[PartCrash]) -> _Suspicion | None:
        """Return the suspicion to convict first, or None if none is sufficient."""
        by_part: dict[str, list[tuple[int, PartCrash]]] = {}
        for crash in crashes:
            for position, part in enumerate(self._live_parts(crash)):
                by_part.setdefault(part, []).append((position, crash))
        suspicions = []
        for part, counted in by_part.items():
            targets = len({crash.target for _, crash in counted})
            contents = len({crash.content for _, crash in counted})
            had_no_output = part not in self._sound_at
            required = (
                MIN_CRASHED_TARGETS
                if had_no_output
                else MIN_CRASHED_TARGETS_AFTER_OUTPUT
            )
            if targets >= required and contents >= MIN_CRASHED_CONTENTS:
                position = max(position for position, _ in counted)
                suspicions.append(_Suspicion(had_no_output, targets, position, part))
        return max(suspicions, default=None)

    def _add_conviction(self, part: str, at: float, after_output: bool) -> None:
        self._convicted_at[part] = at
        self._refused_until[part] = at + CONVICTION_S
        if after_output:
            self._after_output.add(part)
        self._unreported.append(part)
        if len(self._convicted_at) > MAX_CONVICTIONS:
            self._drop_conviction(next(iter(self._convicted_at)))

    def _drop_conviction(self, part: str) -> None:
        del self._convicted_at[part], self._refused_until[part]
        self._after_output.discard(part)
        self._new_convictions.pop(part, None)

    def record_output(self, parts: Iterable[str], now: float) -> bool:
        """Record that an answer has output; return whether it clears a part of crashes.

        Then the output is to be gossiped.
        """
        cleared = False
        for part in parts:
            sound_at = self._sound_at.get(part, float("-inf"))
            blamed = part in self._convicted_at or any(
                part in crash.parts and sound_at < crash.at
                for crash in self._crashes.values()
            )
            self._record_sound(part, now, now)
            if blamed:
                self._new_sound[part] = now
                cleared = True
        return cleared

    def _record_sound(self, part: str, at: float, now: float) -> None:
        """Record output of a part; end or review its conviction.

        A conviction by a host that did not know of earlier output needed too few
        crashes, and one of a part beside it may be due.
        """
        at = max(at, self._sound_at.pop(part, float("-inf")))
        self._sound_at[part] = at  # at the end: the oldest is dropped first
        if len(self._sound_at) > MAX_SOUND_PARTS:
            del self._sound_at[next(iter(self._sound_at))]
        convicted_at = self._convicted_at.get(part)
        if convicted_at is None:
            return
        if convicted_at < at or part not in self._after_output:
            self._drop_conviction(part)
            self._allowed.append(part)
            self._convict(now)

    def apply_gossip(
        self, crashes: list[PartCrash], times: PartTimes, now: float
    ) -> None:
        """Apply what another host reports, with ages."""
        for part, age_s in times.sound[:MAX_GOSSIPED_PARTS]:
            self._record_sound(part, now - age_s, now)
        after_output = frozenset(times.after_output)
        for part, age_s in times.convicted[:MAX_CONVICTIONS]:
            at, sound_at = now - age_s, self._sound_at.get(part)
            # Without knowing of output, the other host asked for fewer crashes.
            if sound_at is not None and (part not in after_output or sound_at >= at):
                self._new_sound.setdefault(part, now)
            elif part not in self._convicted_at and age_s < CONVICTION_S:
                self._add_conviction(part, at, part in after_output)
        for crash in crashes[:MAX_GOSSIPED_CRASHES]:
            crash = msgspec.structs.replace(crash, at=now - crash.at)
            self.record_crash(crash, now)

    def take_new_convictions(self) -> list[str]:
        """Return the parts that were convicted since the last call."""
        found, self._unreported = self._unreported, []
        return [part for part in found if part in self._convicted_at]

    def news(self, max_age_s: float, now: float) -> tuple[list[PartCrash], PartTimes]:
        """Return what this host found within `max_age_s`, with ages, to be gossiped."""
        self._new_crashes = [
            crash for crash in self._new_crashes if now - crash.at < max_age_s
        ][-MAX_GOSSIPED_CRASHES:]
        for found in (self._new_sound, self._new_convictions):
            for part in [part for part, at in found.items() if now - at >= max_age_s]:
                del found[part]
        crashes = [
            msgspec.structs.replace(crash, at=now - crash.at)
            for crash in self._new_crashes
        ]
        sound = [
            (part, now - self._sound_at.get(part, at))
            for part, at in list(self._new_sound.items())[-MAX_GOSSIPED_PARTS:]
        ]
        convicted = [
            (part, now - at)
            for part, at in list(self._new_convictions.items())[-MAX_GOSSIPED_PARTS:]
        ]
        after_output = [part for part, _ in convicted if part in self._after_output]
        return crashes, PartTimes(sound, convicted, after_output)

    def add_convictions(self, times: PartTimes, now: float) -> None:
        """Put all convicted parts into a message, with the age of the last refusal."""
        times.convicted = [
            (part, now - until + CONVICTION_S)
            for part, until in self._refused_until.items()
        ]
        times.after_output = list(self._after_output)

    def __len__(self) -> int:
        """Return the number of convicted parts."""
        return len(self._convicted_at)

    def find_refused(self, parts: Iterable[str], now: float) -> str | None:
        """Return a convicted part; each refusal prolongs its conviction."""
        if not self._convicted_at:
            return None
        for part in parts:
            if now < self._refused_until.get(part, float("-inf")):
                self._refused_until[part] = now + CONVICTION_S
                return part
        return None

    def expire(self, now: float) -> list[str]:
        """Remove old crashes and convictions.

        Return the parts that are no longer refused since the last call.
        """
        for key, crash in list(self._crashes.items()):
            if now - crash.at >= CRASH_RETENTION_S:
                del self._crashes[key]
        ended = [part for part, until in self._refused_until.items() if now >= until]
        for part in ended:
            self._drop_conviction(part)
        allowed, self._allowed = self._allowed, []
        return allowed + ended
