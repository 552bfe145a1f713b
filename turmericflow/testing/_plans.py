"""Plans of clusters for tests."""

from __future__ import annotations

from turmericflow.testing._cluster import ClusterPlan, EngineSpec

MODEL = "sable/none/1"


def small_plan() -> ClusterPlan:
    """Return three routers in as many data centres, with proxies, and engines."""
    args = ["--model", MODEL, "--step-ms", "20"]
    engines = [
        EngineSpec(f"redactor-{number}", "redactor", "mvd-cordon", args)
        for number in range(3)
    ]
    profile = {
        "name": "quotation",
        "service": "redactor",
        "model": "sable",
        "adapter": "none",
        "version": "1",
    }
    return ClusterPlan(
        routers={
            "entry-1": "mvd-cordon",
            "entry-2": "mvd-aguada",
            "entry-3": "mvd-carrasco",
        },
        targets=engines,
        objects={
            "profile/quotation": profile,
            "customer/norte": {"name": "norte"},
        },
        peer_delay_s=0.001,
    )
