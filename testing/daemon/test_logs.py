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
def test_values_cannot_forge_a_pair_or_a_line(value, text):
    assert logs.format_event("e", {"k": value}) == f"event=e k={text}"


def test_slow_reader_of_the_log_blocks_nobody():
    # A full pipe stops the writer; lines are left out and counted instead.
    reading = threading.Event()
    written = []

    class SlowStream:
        def write(self, line):
            reading.wait(20)
            written.append(line)

        def flush(self):
            flushed.set()

    flushed = threading.Event()
    sink = logs.start_bounded_sink(SlowStream())
    for number in range(logs._MAX_WAITING_LINES + 10):
        sink.take(f"{number}\n")
    assert not written
    reading.set()
    assert flushed.wait(20)
    assert any("event=log_lines_left_out" in line for line in written)
