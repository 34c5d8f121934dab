import io
import threading

import loguru
import pytest

from cyclamenshelf_daemon import logs


@pytest.mark.parametrize(
    ("value", "text"),
    [
        ("plain-1.2:/x@y+z", "plain-1.2:/x@y+z"),
        (7, "7"),
        ("", '""'),
        ("two words", '"two words"'),
        ("a=b", '"a=b"'),
        ("x\ntime=now event=forged", '"x\\ntime=now event=forged"'),
        ('quote"', '"quote\\""'),
        ("\u2028", '"\\u2028"'),
    ],
)
def test_values_cannot_inject_a_pair_or_a_line(value, text):
    assert logs.format_event("e", {"k": value}) == f"event=e k={text}"


def test_blocked_log_stream_does_not_block_callers():
    # While a full pipe blocks the writer thread, further lines must be dropped
    # and counted.
    unblocked = threading.Event()
    written = []

    class SlowStream:
        def write(self, line):
            unblocked.wait(20)
            written.append(line)

        def flush(self):
            flushed.set()

    flushed = threading.Event()
    sink = logs.start_bounded_sink(SlowStream())
    for number in range(logs._MAX_PENDING_LINES + 10):
        sink.enqueue(f"{number}\n")
    assert not written
    unblocked.set()
    assert flushed.wait(20)
    assert any("event=log_lines_left_out" in line for line in written)


@pytest.mark.parametrize("stream", [True, False])
def test_events_are_counted_beside_the_line_that_is_written(stream):
    # Counts that stop with the lines would hide a fault from operators.
    written, counted = io.StringIO(), []
    sink = written if stream else written.write
    logs.set_up_logs("h", sink=sink, on_event=counted.append)
    try:
        logs.log_event("job_ended", job="j")
    finally:
        loguru.logger.remove()
    assert "host=h event=job_ended job=j\n" in written.getvalue()
    assert counted == ["job_ended"]
