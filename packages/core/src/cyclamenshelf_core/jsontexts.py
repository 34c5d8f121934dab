"""Decoding of JSON that another program wrote, with bounds.

A text may be nested so deeply, or hold a number so large, that a plain decoder
or the code after it raises errors that nobody expects from text.
"""

import re
from typing import Any
from typing import Final

import msgspec

from cyclamenshelf_core import errors

_MAX_BYTES = 16_000_000
_MAX_DEPTH = 64
# Numbers up to this can be added and converted without loss, also as floats.
MAX_NUMBER: Final = 2**53
_LARGE_NUMBER = re.compile(rb"[0-9]{16}|[0-9][eE]\+?[0-9]{2}")


def decode(text: bytes | str, kind: Any = Any) -> Any:
    """Return the value of a JSON text.

    Args:
        text: The text; UTF-8 if it is bytes.
        kind: Type that the value must have: one that msgspec can check, such
            as a TypedDict whose fields are annotated with limits. Fields that
            it does not name are left out.

    Raises:
        errors.InvalidTextError: The text is not JSON, has another type, is too
            long or too deeply nested, or has a number beyond `MAX_NUMBER`.
    """
    content = text.encode(errors="replace") if isinstance(text, str) else text
    if len(content) > _MAX_BYTES:
        raise errors.InvalidTextError(f"at most {_MAX_BYTES} bytes", "more")
    try:
        value = msgspec.json.decode(content, type=kind)
    except (ValueError, RecursionError) as error:
        raise errors.InvalidTextError("JSON", str(error)) from error
    if _may_exceed_bounds(content):
        _check_bounds(value, 0)
    return value


def _may_exceed_bounds(content: bytes) -> bool:
    """Return whether a value has to be searched; most texts are short."""
    return (
        content.count(b"[") + content.count(b"{") > _MAX_DEPTH
        or _LARGE_NUMBER.search(content) is not None
    )


def _check_bounds(value: Any, depth: int) -> None:
    if isinstance(value, int | float) and abs(value) > MAX_NUMBER:
        raise errors.InvalidTextError(
            f"numbers up to {MAX_NUMBER}", "a larger one"
        )
    if isinstance(value, dict):
        value = value.values()
    elif not isinstance(value, list | tuple):
        return
    if depth >= _MAX_DEPTH:
        raise errors.InvalidTextError(
            f"at most {_MAX_DEPTH} levels of nesting", "more"
        )
    for item in value:
        _check_bounds(item, depth + 1)
