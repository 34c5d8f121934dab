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
    assert burnreport.format_text(burns).splitlines() == [
        "plan  objective              target  1 h           6 h           "
        "72 h          budget left",
        "gold  completed_by_deadline  99.0%   2.00 (2/100)  2.00 (2/100)  "
        "2.00 (2/100)  -100%",
        "gold completed_by_deadline: 2 x shop: <script>lost</script>",
    ]


def test_json_report_has_every_figure(burns):
    (one,) = json.loads(burnreport.format_json(burns))["burn"]
    assert one["windows"][0] == {
        "window_ms": burn.HOUR_MS,
        "total": 100,
        "bad": 2,
        "rate": 2.0,
    }
    assert one["budget_left"] == -1.0


def test_page_is_self_contained_and_escapes_reasons(burns):
    page = burnreport.format_html(burns, "now")
    assert "<svg" in page
    assert "<script" not in page
    assert "src=" not in page


def test_empty_report_is_a_page(burns):
    assert "No job has ended." in burnreport.format_html([], "now")
