"""Only the adapter and its tests know the platform's names."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[2]
# Calls, headers and fields of the platform that are no words of ours.
NAMES = re.compile(
    r"run-start|run-stop|rows-tx|rows-get|rows-feed|/api/|fencing_token"
    r"|last_seen|memory_request_mb|front_addr|readiness_addr|gang_scheduled"
    r"|estimated_duration_ms|anti_affinity|expected_revision|row-version"
    r"|drain_remaining_ms|api_keys|Cyclamenshelf-|CYCLAMENSHELF_SETTINGS"
)
# Decisions of the scheduler, which the adapter must leave to the product.
DECIDING = re.compile(
    r"\btask(plan|space|progress)\b.*\bimport\b|import (taskplan|taskspace)"
    r"|tasks import (owner|ownership|planning|ledger|fleet|links|orders)"
)


def list_sources(*folders):
    return [
        path
        for folder in folders
        for path in sorted((ROOT / folder).rglob("*.py"))
        if "build" not in path.parts
    ]


@pytest.mark.parametrize(
    ("pattern", "sources"),
    [
        (NAMES, list_sources("packages", "testing/core", "testing/daemon")),
        (DECIDING, list_sources("platform")),
    ],
    ids=["names", "decisions"],
)
def test_adapter_is_the_only_place_of_names_and_decides_nothing(
    pattern, sources
):
    assert sources
    found = [
        f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
        for path in sources
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if pattern.search(line)
    ]
    assert found == []
