import pytest

from cyclamenshelf_core import addresses
from cyclamenshelf_core import errors
from cyclamenshelf_core import jsontexts

NESTED = b"[" * 100_000 + b"]" * 100_000


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"{",
        b"NaN",
        b"1e999",
        b"1e300",
        b"-" + b"9" * 300,
        b"[" + b"9" * 5_000 + b"]",
        b"[" * 65 + b"]" * 65,
        NESTED,
        b'{"unread":' + NESTED + b"}",
        b"\xff\xfe",
        b'"\\ud800"',
    ],
)
def test_text_out_of_bounds_raises_the_documented_error(text):
    # Deep nesting raised RecursionError in a thread that served all workers.
    with pytest.raises(errors.InvalidTextError):
        jsontexts.decode(text)


@pytest.mark.parametrize(
    ("text", "value"),
    [
        (b"{}", {}),
        (b"[" * 64 + b"]" * 64, None),
        (b"9007199254740992", 2**53),
        (b'"99999999999999999999"', "9" * 20),
        (b'["5e30", 1.5]', ["5e30", 1.5]),
    ],
)
def test_text_within_bounds_is_decoded(text, value):
    decoded = jsontexts.decode(text)
    assert value is None or decoded == value


@pytest.mark.parametrize(
    ("text", "address"),
    [
        ("10.0.0.1:80", ("10.0.0.1", 80)),
        ("h:65535", ("h", 65_535)),
        ("h:0", None),
        ("h:65536", None),
        ("h:99999", None),
        ("h:" + "1" * 20, None),
        ("h:\u0661", None),
        (":80", None),
        ("h", None),
    ],
)
def test_port_out_of_range_is_rejected(text, address):
    assert addresses.parse_address(text) == address
