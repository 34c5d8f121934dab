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
