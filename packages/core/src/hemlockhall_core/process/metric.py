"""Counters and latency histograms of a process in the Prometheus format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.core import SummaryMetricFamily

from hemlockhall_core.process.latency import Latency
from hemlockhall_core.request.reason import RefusalReason, RetryReason

if TYPE_CHECKING:
    from collections.abc import Iterator

QUANTILES = (50.0, 95.0, 99.0)


class LatencySummary:
    """Prometheus collector that exports a histogram as a summary in seconds."""

    def __init__(self, latency: Latency) -> None:
        self._latency = latency

    def collect(self) -> Iterator[SummaryMetricFamily]:
        """Yield the summary."""
        latency = self._latency
        family = SummaryMetricFamily(latency.name, latency.documentation)
        for percent in QUANTILES:
            label = {"quantile": str(percent / 100)}
            family.add_sample(latency.name, label, latency.quantile(percent))
        family.add_sample(f"{latency.name}_count", {}, latency.count)
        family.add_sample(f"{latency.name}_sum", {}, latency.sum)
        yield family


class Metrics:
    """Metrics of a process; the counters of all reasons start at 0."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._refusals = self._counter("refusals", "Refused requests", "reason")
        self._retries = self._counter("retries", "Tries after the first", "reason")
        self._batches = self._counter("batches", "Batches set aside", "kind")
        self._ignored_messages = self._counter(
            "guards", "Stale or repeated work", "kind"
        )
        self._link_bytes = self._counter("link_bytes", "Bytes of the links", "way")
        self._link_batches = self._counter("link_batches", "Batches of links", "way")
        self._requests = self._counter("requests", "Requests by outcome", "outcome")
        self._store_calls = self._counter(
            "store_calls", "Calls of the store", "outcome"
        )
        self._version = Gauge(
            "hemlockhall_document_version",
            "Version of the document in force",
            registry=self.registry,
        )
        # From the start of the first attempt to the first token.
        self.first_token = self._latency("first_token", "Time to the first token")
        self.token_gap = self._latency("token_gap", "Time between tokens")
        # Only of calls that got a response of the service.
        self.call = self._latency("call", "Time of a plain service's call")
        for refusal in RefusalReason:
            self._refusals.labels(refusal.value)
        for retry in RetryReason:
            self._retries.labels(retry.value)

    def _counter(self, name: str, documentation: str, label: str) -> Counter:
        return Counter(
            f"hemlockhall_{name}", documentation, [label], registry=self.registry
        )

    def _latency(self, name: str, documentation: str) -> Latency:
        latency = Latency(f"hemlockhall_{name}_seconds", documentation)
        self.registry.register(LatencySummary(latency))  # type: ignore[arg-type]
        return latency

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count a refused request."""
        self._refusals.labels(reason.value).inc()

    def count_retry(self, reason: RetryReason) -> None:
        """Count an attempt that ended with a retryable failure, also the last one."""
        self._retries.labels(reason.value).inc()

    def count_batch(self, kind: str) -> None:
        """Count an event of the links by its kind.

        ``malformed``, ``repeat`` and ``gap`` are dropped batches, ``rejected`` is a
        message whose handling failed, and ``renewed`` a new connection to a peer.
        """
        self._batches.labels(kind).inc()

    def count_ignored_message(self, kind: str) -> None:
        """Count a stale or repeated message that was ignored."""
        self._ignored_messages.labels(kind).inc()

    def count_sent(self, size: int) -> None:
        """Count a sent batch of ``size`` bytes."""
        self._link_bytes.labels("out").inc(size)
        self._link_batches.labels("out").inc()

    def count_received(self, size: int) -> None:
        """Count a received batch of ``size`` bytes."""
        self._link_bytes.labels("in").inc(size)
        self._link_batches.labels("in").inc()

    def count_request(self, outcome: str) -> None:
        """Count a completed request by its outcome."""
        self._requests.labels(outcome).inc()

    def count_store_call(self, outcome: str) -> None:
        """Count a call of a platform service by its outcome."""
        self._store_calls.labels(outcome).inc()

    def set_document_version(self, version: int) -> None:
        """Set the gauge of the document version in force."""
        self._version.set(version)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def nonzero_counters(self) -> dict[str, float]:
        """Return the counters that are not 0, by ``name{label}``."""
        counters: dict[str, float] = {}
        for family in self.registry.collect():
            if family.type != "counter":
                continue
            for sample in family.samples:
                if not sample.name.endswith("_total") or not sample.value:
                    continue
                label = ",".join(sample.labels.values())
                counters[f"{sample.name}{{{label}}}"] = sample.value
        return counters


__all__ = [
    "Metrics",
]
