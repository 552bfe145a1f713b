"""Host settings from the settings file that the platform provides."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated

import msgspec

from turmericflow.relay import HostSettings, SettingsInvalid

PATH_VARIABLE = "TURMERICFLOW_NODE_FILE"
BYTES_PER_MB = 1_000_000
DEFAULT_PATH = Path("/etc/turmericflow/settings.json")


class _Listen(msgspec.Struct):
    front: str = ""  # IP:PORT for callers' requests
    ready: str = ""  # IP:PORT for the platform's readiness checks
    directory: str = ""  # IP:PORT for callers' address lookups


class _Bounds(msgspec.Struct):
    graceS: float = 8.0
    retryBudgetRatio: float = 0.8
    budgetWindowS: float = 10.0
    budgetSlack: float = 150.0
    ttl_max_s: float = 5.0
    canaryShare: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    canarySlack: Annotated[int, msgspec.Meta(ge=0)] = 50
    rollbackMs: Annotated[float, msgspec.Meta(gt=0)] = 5_000.0


class _Limits(msgspec.Struct):
    memoryMb: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    maxFds: Annotated[int, msgspec.Meta(ge=0)] = 0


class _Provider(msgspec.Struct):
    address: str = ""


class _File(msgspec.Struct):
    nodeName: str
    ip: str
    zone: str  # a data centre
    region: str
    listen: _Listen
    internalPorts: tuple[int, int]
    provider: _Provider
    seeds: list[str] = []  # IP:PORT of control interfaces; the port is ignored
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def read_settings(path: Path) -> HostSettings:
    """Read and validate a settings file.

    Raises
    ------
    SettingsInvalid
        If the file cannot be read, or a field is missing or has the wrong type.
    """
    try:
        file = msgspec.json.decode(path.read_bytes(), type=_File)
    except (OSError, msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise SettingsInvalid(f"{path}: {exc}") from exc
    port = file.internalPorts[0]
    bounds = file.bounds
    return HostSettings(
        name=file.nodeName,
        data_centre=file.zone,
        callers=file.listen.front,
        readiness=file.listen.ready,
        addresses=file.listen.directory,
        peers=f"{file.ip}:{port}",
        seeds=tuple(f"{seed.rpartition(':')[0]}:{port}" for seed in file.seeds),
        store=file.provider.address,
        leave_s=bounds.graceS,
        addresses_keep_s=bounds.ttl_max_s,
        retry_ratio=bounds.retryBudgetRatio,
        retry_window_s=bounds.budgetWindowS,
        retry_slack=bounds.budgetSlack,
        memory_bytes=int(file.limits.memoryMb * BYTES_PER_MB),
        max_descriptors=file.limits.maxFds,
        canary_share=bounds.canaryShare,
        canary_slack=bounds.canarySlack,
        rollback_s=bounds.rollbackMs / 1000,
    )
