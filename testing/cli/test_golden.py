"""Compares whole sessions with testing/cli/golden/*.txt.

GOLDEN_UPDATE=1 writes what was printed into the files, to be read in review.
"""

import os
import pathlib

import pytest
from testing.cli import sessions

GOLDEN = pathlib.Path(__file__).parent / "golden"
FILES = sorted(GOLDEN.glob("*.txt"))


@pytest.fixture
def site(tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    site = sessions.Site(tmp_path)
    yield site
    site.stop()


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_session_prints_the_same_as_before(site, path):
    expected = path.read_text()
    printed = ""
    for line in expected.splitlines():
        if line.startswith("## "):
            printed += line + "\n"
        elif line.startswith(("$ ", "! ")):
            printed += f"{line}\n{site.run(line)}"
    if os.environ.get("GOLDEN_UPDATE"):
        path.write_text(printed)
    assert printed == expected
    assert "CREDENTIAL PRINTED" not in printed
