"""Variants of the division of prefill and decode over engines, and of admission."""

from __future__ import annotations

from dataclasses import dataclass, replace

from benchmarks import _prefill_places as prefill_places
from benchmarks._virtual_steps import SLOTS
from turmericflow.relay import _placement as placement
from turmericflow.relay.admission import _gate as gate


@dataclass(frozen=True)
class Variant:
    """What is compared.

    Attributes
    ----------
    limit
        Most streams that the hosts send to an engine.
    occupancy, holder_fill
        Shares of used memory up to which backup copies are made, of all engines and
        of the holder.
    prefill_share
        Share of the engines that only prefill; 0 if all do both.
    one_prompt
        Whether an engine gets a prompt only while it prefills none.
    reachable
        Whether only engines count as room that the placement may choose: none in a
        data centre that counts as lost.
    late_copies
        Whether a run without a copy gets one later, once there is memory.
    """

    limit: int = SLOTS
    occupancy: float = gate.MAX_BACKUP_OCCUPANCY
    holder_fill: float = gate.MAX_HOLDER_FILL
    prefill_share: float = 0.0
    one_prompt: bool = False
    reachable: bool = False
    late_copies: bool = False


NO_LIMIT = 10.0  # a share of used memory that is never reached
COPIES = {
    "occupancy": prefill_places.MAX_BACKUP_OCCUPANCY,
    "holder_fill": prefill_places.MAX_HOLDER_FILL,
    "late_copies": True,
}
VARIANTS = {
    "mixed": Variant(),
    "apart, 0.65": Variant(limit=2, prefill_share=0.65, reachable=True),
    "apart, 0.75": Variant(limit=2, prefill_share=0.75, reachable=True),
    "one prompt": Variant(one_prompt=True),
    "limit 5": Variant(limit=5),
    "limit 7": Variant(limit=7),
    "copies 0.8/0.9": Variant(occupancy=0.8, holder_fill=0.9),
    "copies always": Variant(occupancy=NO_LIMIT, holder_fill=NO_LIMIT),
    "late copies": Variant(late_copies=True),
    "one prompt, limit 5, copies": Variant(
        limit=prefill_places.MAX_STREAMS, one_prompt=True, **COPIES
    ),
    "apart, 0.65, copies": Variant(
        limit=2, prefill_share=0.65, reachable=True, **COPIES
    ),
}


class ReachableRoom(gate.Admission):
    """Admission to engines that the placement may choose."""

    def count_places(self, demand, spec, now, resumes=False):
        """Return the places outside of the data centres that count as lost."""
        table = self._tables.targets
        avoided = prefill_places.avoided_engines(table, demand.service, now)
        excluded = demand.excluded_targets | avoided
        constrained = replace(demand, excluded_targets=excluded)
        found = super().count_places(constrained, spec, now)
        return found or super().count_places(demand, spec, now)


class OnePrompt(gate.Admission):
    """Admission of a stream to an engine that prefills no other prompt."""

    def count_places(self, demand, spec, now, resumes=False):
        """Return the engines that prefill nothing and have room, one place each."""
        table = self._tables.targets
        targets = [
            target
            for target in placement.candidates(table, demand)
            if not placement.is_closed(target, now)
        ]
        avoided = prefill_places.avoided_engines(table, demand.service, now)
        found = prefill_places.count_places(
            targets, avoided, demand.tokens, spec.slots, spec.memory_tokens, now
        )
        return found if found.total else None
