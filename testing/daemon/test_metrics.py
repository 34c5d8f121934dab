from cyclamenshelf_daemon import metrics


def test_counters_and_summaries_are_exposed():
    registry = metrics.Metrics()
    metrics.count_event(registry, "refusals", code="queue_full")
    metrics.count_event(registry, "refusals", 2, code="queue_full")
    for duration_ms in (10, 20, 30):
        metrics.record_duration(registry, "accept", duration_ms)
    lines = metrics.format_metrics(registry).splitlines()
    assert lines == [
        "# TYPE cyclamenshelf_refusals_total counter",
        'cyclamenshelf_refusals_total{code="queue_full"} 3',
        "# TYPE cyclamenshelf_accept_ms summary",
        'cyclamenshelf_accept_ms{quantile="0.5"} 20',
        'cyclamenshelf_accept_ms{quantile="0.9"} 30',
        'cyclamenshelf_accept_ms{quantile="0.99"} 30',
        'cyclamenshelf_accept_ms{quantile="0.999"} 30',
        "cyclamenshelf_accept_ms_sum 60",
        "cyclamenshelf_accept_ms_count 3",
    ]


def test_label_values_cannot_inject_a_sample():
    registry = metrics.Metrics()
    metrics.count_event(registry, "events", path='"} 1\nforged 2\\')
    text = metrics.format_metrics(registry)
    assert len(text.splitlines()) == 2
    assert '{path="\\"} 1\\nforged 2\\\\"}' in text
