"""A serving system for long generations on engines that fail."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmericflow.cfg import Settings, SettingsError
    from turmericflow.profile import Customer, Mark, Profile
    from turmericflow.verdict import ErrorCode, Failure, Verdict

__all__ = (
    # Declarations
    "Customer",
    "Mark",
    "Profile",
    # Settings
    "Settings",
    "SettingsError",
    # Outcomes
    "ErrorCode",
    "Failure",
    "Verdict",
)

_MODULES = {
    "cfg": ("Settings", "SettingsError"),
    "profile": ("Customer", "Mark", "Profile"),
    "verdict": ("ErrorCode", "Failure", "Verdict"),
}
_HOMES = {name: module for module, names in _MODULES.items() for name in names}


def __getattr__(name: str) -> object:
    """Import a public name's module when it is first asked for."""
    home = _HOMES.get(name)
    if home is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"turmericflow.{home}"), name)
