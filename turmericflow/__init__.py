"""A serving system for long generations on engines that fail."""

from __future__ import annotations

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
