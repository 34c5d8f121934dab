"""Compares the output of command line sessions with the files in golden/.

Guards against unintended changes of the printed output and the exit codes,
and against credentials in the output. With GOLDEN_UPDATE=1 in the
environment, the golden files are overwritten with the current output; review
the difference before committing it.
"""

import os
import pathlib

import pytest
from testing.cli import sessions

GOLDEN_DIRECTORY = pathlib.Path(__file__).parent / "golden"
GOLDEN_FILES = sorted(GOLDEN_DIRECTORY.glob("*.txt"))


@pytest.fixture
def site(tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    site = sessions.Site(tmp_path)
    yield site
    site.stop()


@pytest.mark.parametrize("path", GOLDEN_FILES, ids=lambda path: path.stem)
def test_session_output_matches_golden_file(site, path):
    expected = path.read_text()
    output = ""
    for line in expected.splitlines():
        if line.startswith("## "):
            output += line + "\n"
        elif line.startswith(("$ ", "! ")):
            output += f"{line}\n{site.run(line)}"
    if os.environ.get("GOLDEN_UPDATE"):
        path.write_text(output)
    assert output == expected
    assert "CREDENTIAL PRINTED" not in output
