"""Formats the service-level burn report as text, JSON or a single HTML page."""

import html
import io
import json

from cyclamenshelf_core import burn

_HOUR_MS = burn.HOUR_MS
_PAGE_TEMPLATE = """\
<!DOCTYPE html>
<html lang="en">
<head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body {{ font-family: sans-serif; margin: 2em; }}
table {{ border-collapse: collapse; }}
td, th {{ border: 1px solid #999; padding: 0.3em 0.6em; text-align: right; }}
td:first-child, td:nth-child(2), th {{ text-align: left; }}
</style></head>
<body>
<h1>Service-level burn</h1>
<p>{time}. A burn rate of 1 spends the error budget exactly in {period} h.</p>
{plot}
{table}
<h2>What burnt the budget</h2>
{causes}
</body>
</html>
"""


def format_text(burns: list[burn.PlanBurn]) -> str:
    """Return the report as a plain-text table, followed by the causes."""
    rows = [_make_header(), *map(_make_row, burns)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
    for plan_burn in burns:
        for cause in plan_burn.causes:
            lines.append(
                f"{plan_burn.plan} {plan_burn.objective}: {cause.bad} x "
                f"{cause.account}: {cause.reason}"
            )
    return "\n".join(lines) + "\n"


def format_json(burns: list[burn.PlanBurn]) -> str:
    """Return the report as JSON."""
    return json.dumps(
        {"burn": [burn.encode_burn(plan_burn) for plan_burn in burns]}, indent=2
    )


def format_html(burns: list[burn.PlanBurn], time: str) -> str:
    """Return the report as an HTML page without external resources.

    Args:
        burns: The burn rates of each plan and objective.
        time: Time of the report, formatted for display.
    """
    return _PAGE_TEMPLATE.format(
        time=html.escape(time),
        period=burn.BUDGET_PERIOD_MS // _HOUR_MS,
        plot=_draw_plot(burns) if burns else "<p>No job has ended.</p>",
        table=_make_table([_make_header(), *map(_make_row, burns)]),
        causes=_make_causes(burns),
    )


def _make_header() -> list[str]:
    windows = [f"{window // _HOUR_MS} h" for window in burn.WINDOWS_MS]
    return ["plan", "objective", "target", *windows, "budget left"]


def _make_row(plan_burn: burn.PlanBurn) -> list[str]:
    window_rates = [
        f"{window.rate:.2f} ({window.bad}/{window.total})"
        for window in plan_burn.windows
    ]
    return [
        plan_burn.plan,
        plan_burn.objective,
        f"{100 * plan_burn.target:.1f}%",
        *window_rates,
        f"{100 * plan_burn.budget_left:.0f}%",
    ]


def _make_table(rows: list[list[str]]) -> str:
    lines = [
        "<tr>"
        + "".join(f"<td>{html.escape(cell)}</td>" for cell in row)
        + "</tr>"
        for row in rows
    ]
    return "<table>\n" + "\n".join(lines) + "\n</table>"


def _make_causes(burns: list[burn.PlanBurn]) -> str:
    rows = [["plan", "objective", "account", "reason", "jobs"]]
    rows += [
        [
            plan_burn.plan,
            plan_burn.objective,
            cause.account,
            cause.reason,
            str(cause.bad),
        ]
        for plan_burn in burns
        for cause in plan_burn.causes
    ]
    return _make_table(rows)


def _draw_plot(burns: list[burn.PlanBurn]) -> str:
    """Return an SVG bar chart of the burn rates per window."""
    # Imported lazily: importing matplotlib takes half a second, which only
    # the HTML report needs to spend.
    from matplotlib import figure

    chart = figure.Figure(figsize=(9, 1 + 0.6 * len(burns)))
    axes = chart.subplots()
    height = 0.8 / len(burn.WINDOWS_MS)
    for index, window_ms in enumerate(burn.WINDOWS_MS):
        axes.barh(
            [row + index * height for row in range(len(burns))],
            [plan_burn.windows[index].rate for plan_burn in burns],
            height=height,
            label=f"{window_ms // _HOUR_MS} h",
        )
    axes.axvline(1.0, linestyle="--", color="black", linewidth=1)
    axes.set_yticks(
        [row + height for row in range(len(burns))],
        [f"{plan_burn.plan} {plan_burn.objective}" for plan_burn in burns],
    )
    axes.set_xlabel("burn rate")
    axes.legend()
    chart.tight_layout()
    buffer = io.StringIO()
    chart.savefig(buffer, format="svg", metadata={"Date": None})
    svg = buffer.getvalue()
    return svg[svg.index("<svg") :]
