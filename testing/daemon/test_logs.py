import threading

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
