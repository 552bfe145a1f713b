"""Serving system for long generations on model engines that may fail."""

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
_MODULE_BY_NAME = {name: module for module, names in _MODULES.items() for name in names}


def __getattr__(name: str) -> object:
    """Import the module of a public name on first access."""
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"turmericflow.{module}"), name)
