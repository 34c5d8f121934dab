import json

import pytest

from cyclamenshelf_cli import burnreport
from cyclamenshelf_core import burn


@pytest.fixture
def burns():
    windows = tuple(
        burn.WindowBurn(window_ms, 100, 2, 2.0) for window_ms in burn.WINDOWS_MS
    )
    cause = burn.Cause("shop", "<script>lost</script>", 2)
    return [
        burn.PlanBurn(
            "gold", "completed_by_deadline", 0.99, windows, -1.0, (cause,)
        )
    ]


def test_text_report(burns):
    """Guards against changes to the table and the list of causes."""
    assert burnreport.format_text(burns).splitlines() == [
        "plan  objective              target  1 h           6 h           "
        "72 h          budget left",
        "gold  completed_by_deadline  99.0%   2.00 (2/100)  2.00 (2/100)  "
        "2.00 (2/100)  -100%",
        "gold completed_by_deadline: 2 x shop: <script>lost</script>",
    ]


def test_json_report_has_window_rates_and_budget(burns):
    """Guards against figures missing from the JSON report."""
    (plan_burn,) = json.loads(burnreport.format_json(burns))["burn"]
    assert plan_burn["windows"][0] == {
        "window_ms": burn.HOUR_MS,
        "total": 100,
        "bad": 2,
        "rate": 2.0,
    }
    assert plan_burn["budget_left"] == -1.0


def test_html_report_is_self_contained_and_escapes_reasons(burns):
    """Guards against script injection and loading of other resources."""
    page = burnreport.format_html(burns, "now")
    assert "<svg" in page
    assert "<script" not in page
    assert "src=" not in page


def test_html_report_without_data_says_so(burns):
    """Guards against plotting no rows when no job has ended."""
    assert "No job has ended." in burnreport.format_html([], "now")
