"""Configuration in force: profiles, customers and marks with versions."""

from __future__ import annotations

from dataclasses import dataclass, field

from turmericflow.profile import Customer, Mark, Profile


@dataclass(slots=True)
class ConfigTable:
    """The declarations in force on this host.

    Attributes
    ----------
    versions
        Version in force of each object, by ``kind/name``.
    profiles, customers, marks
        Declarations by name; a profile whose model, adapter or version has
        changed stands here with what it had until enough engines have the new.
    declared
        Profiles as they are declared.
    confirmed_at
        Time at which this view was last known to be current, in seconds of
        this host's clock.
    seen_version
        Platform version up to which no change is missing from this view.
    bootstrapped
        Whether what peers and the platform knew at the start is in force.
    """

    versions: dict[str, int] = field(default_factory=dict)
    profiles: dict[str, Profile] = field(default_factory=dict)
    customers: dict[str, Customer] = field(default_factory=dict)
    marks: dict[str, Mark] = field(default_factory=dict)
    confirmed_at: float = float("-inf")
    seen_version: int = 0
    bootstrapped: bool = True
    declared: dict[str, Profile] = field(default_factory=dict)
