"""Counters and latency histograms, served as text on the metrics address."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 25.0)


class Metrics:
    """Metrics of an entry host; docs/metrics.md gives their units and meanings."""

    __slots__ = (
        "_registry",
        "requests",
        "sends",
        "limited_sends",
        "resumes",
        "taken_up",
        "unrecorded_refusals",
        "failed_tasks",
        "losses",
        "store_calls",
        "peer_bytes",
        "tunnel_bytes",
        "answer_seconds",
        "first_event_seconds",
        "resume_seconds",
        "running",
        "hosts",
        "limited_targets",
        "refused_parts",
        "held_bytes",
        "limited_callers",
        "targets_age_seconds",
        "targets_lag_seconds",
        "store_era",
        "waiting_streams",
        "refused_streams",
        "waited_seconds",
        "rollout_share",
        "rollout_answers",
        "rollout_state",
    )

    def __init__(self) -> None:
        registry = self._registry = CollectorRegistry()
        self.requests = Counter(
            "turmericflow_requests", "Requests ended", ["outcome"], registry=registry
        )
        self.sends = Counter(
            "turmericflow_sends", "Sends to targets", ["outcome"], registry=registry
        )
        self.limited_sends = Counter(
            "turmericflow_limited_sends",
            "Sends to targets that name a limit",
            ["attempt"],
            registry=registry,
        )
        self.resumes = Counter(
            "turmericflow_resumes", "Streams gone on", ["how"], registry=registry
        )
        self.taken_up = Counter(
            "turmericflow_taken_up",
            "Streams that clients took up",
            ["version"],
            registry=registry,
        )
        self.unrecorded_refusals = Counter(
            "turmericflow_unrecorded_refusals",
            "New streams refused as only a record could tell their version",
            registry=registry,
        )
        self.failed_tasks = Counter(
            "turmericflow_failed_tasks",
            "Tasks on what came from outside that ended in an error",
            ["task"],
            registry=registry,
        )
        self.losses = Counter(
            "turmericflow_losses", "Targets lost", ["evidence"], registry=registry
        )
        self.store_calls = Counter(
            "turmericflow_store_calls",
            "Calls to the store",
            ["call"],
            registry=registry,
        )
        self.peer_bytes = Counter(
            "turmericflow_peer_bytes",
            "Bytes sent to other hosts",
            ["message", "data_centre"],
            registry=registry,
        )
        self.tunnel_bytes = Counter(
            "turmericflow_tunnel_bytes",
            "Bytes carried between other hosts and targets",
            ["message", "data_centre"],
            registry=registry,
        )
        self.answer_seconds = Histogram(
            "turmericflow_answer_seconds",
            "Time to a whole answer",
            ["kind"],
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self.first_event_seconds = Histogram(
            "turmericflow_first_event_seconds",
            "Time to a stream's first event",
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self.resume_seconds = Histogram(
            "turmericflow_resume_seconds",
            "Pause of a stream that went on at another target",
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self.running = Gauge(
            "turmericflow_running", "Requests that run", registry=registry
        )
        self.hosts = Gauge(
            "turmericflow_hosts", "Hosts held to be alive", registry=registry
        )
        self.limited_targets = Gauge(
            "turmericflow_limited_targets",
            "Targets that name a limit of requests",
            registry=registry,
        )
        self.refused_parts = Gauge(
            "turmericflow_refused_parts",
            "Parts of prompts that are refused",
            registry=registry,
        )
        self.held_bytes = Gauge(
            "turmericflow_held_bytes",
            "Bytes held for callers",
            registry=registry,
        )
        self.limited_callers = Counter(
            "turmericflow_limited_callers",
            "Connections that were paused, refused or closed",
            ["lack", "what"],
            registry=registry,
        )
        self.targets_age_seconds = Gauge(
            "turmericflow_targets_age_seconds",
            "Time since the targets were confirmed to be current",
            registry=registry,
        )
        self.targets_lag_seconds = Gauge(
            "turmericflow_targets_lag_seconds",
            "Time for which announced targets have been lacking",
            registry=registry,
        )

        self.store_era = Gauge(
            "turmericflow_store_era",
            "Number that rises when the store comes back from an older copy",
            registry=registry,
        )

        self.waiting_streams = Gauge(
            "turmericflow_waiting_streams",
            "Streams that wait for room at an engine",
            ["share"],
            registry=registry,
        )
        self.refused_streams = Counter(
            "turmericflow_refused_streams",
            "Streams refused as no engine has room in time",
            ["reason", "share"],
            registry=registry,
        )
        self.waited_seconds = Histogram(
            "turmericflow_waited_seconds",
            "Time for which streams waited for room at an engine",
            ["share"],
            buckets=_BUCKETS_S,
            registry=registry,
        )
        # Without customers they are shown at 0 before the first stream waits.
        self.waiting_streams.labels("none")
        self.waited_seconds.labels("none")
        self.rollout_share = Gauge(
            "turmericflow_rollout_share",
            "Share of requests that may go to the version that is rolled out",
            ["service"],
            registry=registry,
        )
        self.rollout_answers = Counter(
            "turmericflow_rollout_answers",
            "Answers while a version is rolled out",
            ["service", "side", "outcome"],
            registry=registry,
        )
        self.rollout_state = Gauge(
            "turmericflow_rollout_state",
            "State of a roll-out",
            ["service"],
            registry=registry,
        )

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
