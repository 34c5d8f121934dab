"""Test that the platform's names and the scheduling logic stay separate."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[2]
# Routes, headers and fields that only the platform uses, not the product.
PLATFORM_NAMES = re.compile(
    r"run-start|run-stop|rows-tx|rows-get|rows-feed|/api/|fencing_token"
    r"|last_seen|memory_request_mb|front_addr|readiness_addr|gang_scheduled"
    r"|estimated_duration_ms|anti_affinity|expected_revision|row-version"
    r"|drain_remaining_ms|api_keys|Cyclamenshelf-|CYCLAMENSHELF_SETTINGS"
)
# Imports of scheduling modules: the adapter must leave scheduling decisions to
# the product.
SCHEDULING_IMPORTS = re.compile(
    r"\btask(plan|space|progress)\b.*\bimport\b|import (taskplan|freecapacity)"
    r"|tasks import (owner|ownership|planning|ledger|fleet|links|orders)"
)


def list_sources(*directories):
    return [
        path
        for directory in directories
        for path in sorted((ROOT / directory).rglob("*.py"))
        if "build" not in path.parts
    ]


@pytest.mark.parametrize(
    ("pattern", "sources"),
    [
        (
            PLATFORM_NAMES,
            list_sources("packages", "testing/core", "testing/daemon"),
        ),
        (SCHEDULING_IMPORTS, list_sources("platform")),
    ],
    ids=["names", "decisions"],
)
def test_only_adapter_uses_platform_names_and_schedules_nothing(
    pattern, sources
):
    # Guards against platform names in the product and against scheduling
    # decisions in the adapter; both would tie the two together.
    assert sources
    matches = [
        f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
        for path in sources
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if pattern.search(line)
    ]
    assert matches == []
