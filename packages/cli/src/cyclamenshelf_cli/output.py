"""What the command line prints: texts, tables, diffs and JSON."""

from collections.abc import Mapping
import datetime
import json
from typing import Any
from typing import NamedTuple
from typing import TextIO

_RED = "31"
_GREEN = "32"
_CYAN = "36"
_DIFF_COLOURS = {"+": _GREEN, "-": _RED, "@": _CYAN}


class Output(NamedTuple):
    """Where to print, and how."""

    out: TextIO
    err: TextIO
    colour: bool
    json: bool


def make_output(
    out: TextIO, err: TextIO, environ: Mapping[str, str], output_format: str
) -> Output:
    """Return an output with colours only on a terminal that wants them."""
    colour = (
        out.isatty()
        and not environ.get("NO_COLOR")
        and environ.get("TERM") != "dumb"
    )
    return Output(out, err, colour, output_format == "json")


def print_json(output: Output, value: Any) -> None:
    """Print a value as JSON."""
    print(json.dumps(value, indent=2), file=output.out)


def print_line(output: Output, text: str) -> None:
    """Print a line of text from which control characters are taken out."""
    print(clean(text), file=output.out)


def print_table(
    output: Output, columns: tuple[str, ...], rows: list[tuple[Any, ...]]
) -> None:
    """Print rows under a heading, in columns."""
    texts = [columns, *[tuple(map(show, row)) for row in rows]]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    for row in texts:
        cells = [
            text.ljust(width) for text, width in zip(row, widths, strict=True)
        ]
        print("  ".join(cells).rstrip(), file=output.out)


def print_fields(output: Output, fields: Mapping[str, Any]) -> None:
    """Print names and values, one pair a line."""
    width = max(map(len, fields)) + 1
    for name, value in fields.items():
        print(f"{name + ':':{width}} {show(value)}".rstrip(), file=output.out)


def print_diff(output: Output, diff: str) -> None:
    """Print a unified diff."""
    for line in diff.splitlines():
        text = clean(line)
        colour = _DIFF_COLOURS.get(text[:1])
        if output.colour and colour is not None:
            text = f"\x1b[{colour}m{text}\x1b[0m"
        print(text, file=output.out)


def format_time(time_ms: int | None) -> str:
    """Return a Unix time as UTC text."""
    if time_ms is None:
        return "-"
    moment = datetime.datetime.fromtimestamp(time_ms / 1000, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


def format_shape(shape: Mapping[str, Any]) -> str:
    """Return a job's shape or a guarantee as text."""
    count = shape.get("parts", shape.get("workers"))
    return f"{count} x {shape['accelerators']} in one {shape['within']}"


def show(value: Any) -> str:
    """Return the text of a value in a table."""
    if value is None or value == "":
        return "-"
    if value is True or value is False:
        return "yes" if value else "no"
    if isinstance(value, (list, tuple)):
        return ", ".join(map(show, value)) or "-"
    return clean(str(value))


def clean(text: str) -> str:
    """Return the text without characters that could steer a terminal."""
    return "".join(
        character if character.isprintable() or character == "\t" else "?"
        for character in text
    )
