"""Current configuration: profiles, customers and marks, with versions."""

from __future__ import annotations

from dataclasses import dataclass, field

from turmericflow.profile import Customer, Mark, Profile


@dataclass(slots=True)
class ConfigTable:
    """The declarations in force on this host.

    Attributes
    ----------
    versions
        Current version of each object, by ``kind/name``.
    profiles, customers, marks
        Objects by name.  A profile keeps its old model, adapter and version here
        until enough engines have the new ones loaded.
    declared
        Profiles by name, as declared.
    confirmed_at
        Time at which this configuration was last confirmed to be current, in
        seconds of this host's clock.
    seen_version
        Platform version up to which all changes are included.
    bootstrapped
        Whether the configuration that peers and the platform had when this host
        started is loaded.
    """

    versions: dict[str, int] = field(default_factory=dict)
    profiles: dict[str, Profile] = field(default_factory=dict)
    customers: dict[str, Customer] = field(default_factory=dict)
    marks: dict[str, Mark] = field(default_factory=dict)
    confirmed_at: float = float("-inf")
    seen_version: int = 0
    bootstrapped: bool = True
    declared: dict[str, Profile] = field(default_factory=dict)
