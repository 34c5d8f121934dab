"""Counters, gauges and latency histograms in the Prometheus text format."""

import threading

from hdrh import histogram

_LOWEST_MS = 1
_HIGHEST_MS = 24 * 3600 * 1000
_SIGNIFICANT_FIGURES = 2
_QUANTILES = (0.5, 0.9, 0.99, 0.999)

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Registry of counters, gauges and histograms, by name and labels.

    Attributes:
        sums: Sum of the recorded durations of each histogram.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.counters: dict[tuple[str, Labels], int] = {}
        self.gauges: dict[tuple[str, Labels], int] = {}
        self.histograms: dict[tuple[str, Labels], histogram.HdrHistogram] = {}
        self.sums: dict[tuple[str, Labels], int] = {}


def count_event(
    metrics: Metrics, name: str, amount: int = 1, **labels: str
) -> None:
    """Increment a counter; its exposed name ends in `_total`."""
    key = (name, _sort_labels(labels))
    with metrics.lock:
        metrics.counters[key] = metrics.counters.get(key, 0) + amount


def replace_gauges(
    metrics: Metrics, name: str, label: str, values: dict[str, int]
) -> None:
    """Set the gauges of a name; those of other label values are removed.

    Args:
        metrics: The registry.
        name: Name of the gauges.
        label: Name of their only label.
        values: The gauges by the value of that label.
    """
    with metrics.lock:
        for key in [key for key in metrics.gauges if key[0] == name]:
            del metrics.gauges[key]
        for label_value, value in values.items():
            metrics.gauges[name, ((label, label_value),)] = value


def record_duration(
    metrics: Metrics, name: str, duration_ms: int, **labels: str
) -> None:
    """Record a duration in milliseconds in a histogram."""
    key = (name, _sort_labels(labels))
    value = max(_LOWEST_MS, min(duration_ms, _HIGHEST_MS))
    with metrics.lock:
        durations = metrics.histograms.get(key)
        if durations is None:
            durations = histogram.HdrHistogram(
                _LOWEST_MS, _HIGHEST_MS, _SIGNIFICANT_FIGURES
            )
            metrics.histograms[key] = durations
        durations.record_value(value)
        metrics.sums[key] = metrics.sums.get(key, 0) + value


def format_metrics(metrics: Metrics) -> str:
    """Return all metrics in the text format, one sample per line."""
    with metrics.lock:
        lines = (
            _format_counters(metrics)
            + _format_gauges(metrics)
            + _format_histograms(metrics)
        )
    return "\n".join(lines) + "\n"


def _sort_labels(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items()))


def _format_counters(metrics: Metrics) -> list[str]:
    lines: list[str] = []
    previous_name = ""
    for (name, labels), value in sorted(metrics.counters.items()):
        exposed_name = f"cyclamenshelf_{name}_total"
        if name != previous_name:
            lines.append(f"# TYPE {exposed_name} counter")
            previous_name = name
        lines.append(f"{exposed_name}{_format_labels(labels)} {value}")
    return lines


def _format_gauges(metrics: Metrics) -> list[str]:
    lines: list[str] = []
    previous_name = ""
    for (name, labels), value in sorted(metrics.gauges.items()):
        exposed_name = f"cyclamenshelf_{name}"
        if name != previous_name:
            lines.append(f"# TYPE {exposed_name} gauge")
            previous_name = name
        lines.append(f"{exposed_name}{_format_labels(labels)} {value}")
    return lines


def _format_histograms(metrics: Metrics) -> list[str]:
    lines: list[str] = []
    previous_name = ""
    for (name, labels), durations in sorted(
        metrics.histograms.items(), key=lambda item: item[0]
    ):
        exposed_name = f"cyclamenshelf_{name}_ms"
        if name != previous_name:
            lines.append(f"# TYPE {exposed_name} summary")
            previous_name = name
        for quantile in _QUANTILES:
            value = durations.get_value_at_percentile(100 * quantile)
            quantile_labels = (*labels, ("quantile", str(quantile)))
            lines.append(
                f"{exposed_name}{_format_labels(quantile_labels)} {value}"
            )
        suffix = _format_labels(labels)
        lines.append(
            f"{exposed_name}_sum{suffix} {metrics.sums[(name, labels)]}"
        )
        lines.append(
            f"{exposed_name}_count{suffix} {durations.get_total_count()}"
        )
    return lines


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{key}="{_escape(v)}"' for key, v in labels) + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
