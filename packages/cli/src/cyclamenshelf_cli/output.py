"""Prints text, tables, diffs and JSON."""

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
    """Output streams and format.

    Attributes:
        stdout: Stream for results.
        stderr: Stream for warnings.
        use_colour: Whether to colour diffs.
        use_json: Whether to print results as JSON.
    """

    stdout: TextIO
    stderr: TextIO
    use_colour: bool
    use_json: bool


def make_output(
    stdout: TextIO,
    stderr: TextIO,
    environ: Mapping[str, str],
    output_format: str,
) -> Output:
    """Return an output that uses colours only if the terminal allows them."""
    use_colour = (
        stdout.isatty()
        and not environ.get("NO_COLOR")
        and environ.get("TERM") != "dumb"
    )
    return Output(stdout, stderr, use_colour, output_format == "json")


def print_json(output: Output, value: Any) -> None:
    """Print a value as JSON."""
    print(json.dumps(value, indent=2), file=output.stdout)


def print_line(output: Output, text: str) -> None:
    """Print a line of text, with unprintable characters replaced."""
    print(replace_unprintable(text), file=output.stdout)


def print_table(
    output: Output, columns: tuple[str, ...], rows: list[tuple[Any, ...]]
) -> None:
    """Print rows in aligned columns under their headings."""
    formatted_rows = [columns, *[tuple(map(format_value, row)) for row in rows]]
    widths = [
        max(map(len, column)) for column in zip(*formatted_rows, strict=True)
    ]
    for row in formatted_rows:
        padded_cells = [
            text.ljust(width) for text, width in zip(row, widths, strict=True)
        ]
        print("  ".join(padded_cells).rstrip(), file=output.stdout)


def print_fields(output: Output, fields: Mapping[str, Any]) -> None:
    """Print names and values, one pair per line."""
    width = max(map(len, fields)) + 1
    for name, value in fields.items():
        print(
            f"{name + ':':{width}} {format_value(value)}".rstrip(),
            file=output.stdout,
        )


def print_diff(output: Output, diff: str) -> None:
    """Print a unified diff."""
    for line in diff.splitlines():
        printed_line = replace_unprintable(line)
        colour_code = _DIFF_COLOURS.get(printed_line[:1])
        if output.use_colour and colour_code is not None:
            printed_line = f"\x1b[{colour_code}m{printed_line}\x1b[0m"
        print(printed_line, file=output.stdout)


def format_time(time_ms: int | None) -> str:
    """Return a Unix time as text in UTC."""
    if time_ms is None:
        return "-"
    moment = datetime.datetime.fromtimestamp(time_ms / 1000, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


def format_shape(shape: Mapping[str, Any]) -> str:
    """Return a job's shape or a guarantee as text."""
    count = shape.get("parts", shape.get("workers"))
    return f"{count} x {shape['accelerators']} in one {shape['within']}"


def format_value(value: Any) -> str:
    """Return a value as text for a table or a field."""
    if value is None or value == "":
        return "-"
    if value is True or value is False:
        return "yes" if value else "no"
    if isinstance(value, (list, tuple)):
        return ", ".join(map(format_value, value)) or "-"
    return replace_unprintable(str(value))


def replace_unprintable(text: str) -> str:
    """Return the text with unprintable characters replaced by `?`.

    Texts of other people may contain terminal escape sequences.
    """
    return "".join(
        character if character.isprintable() or character == "\t" else "?"
        for character in text
    )
