import io
import json

import pytest

from cyclamenshelf_cli import main
from cyclamenshelf_cli import output as outputs
from cyclamenshelf_daemon import webserver

SECRET = "credential-secret"
ENVIRON = {"CYCLAMENSHELF_CREDENTIAL": SECRET}


class Terminal(io.StringIO):
    def isatty(self):
        return True


@pytest.fixture
def start_host():
    """Start HTTP hosts that return the same response to every request."""
    servers = []

    def start(status, body):
        requests = []

        def handle(request):
            requests.append(request)
            return webserver.Response(status, body)

        server = webserver.start_server(
            "127.0.0.1", 0, handle, threads=1, stop_timeout_s=0.5
        )
        servers.append(server)
        return f"http://127.0.0.1:{server.port}", requests

    yield start
    for server in servers:
        server.stop()


def run(*argv, environ=ENVIRON):
    out, err = io.StringIO(), io.StringIO()
    code = main.run(list(argv), environ, out, err)
    printed = out.getvalue() + err.getvalue()
    assert SECRET not in printed
    return code, printed


@pytest.mark.parametrize(
    ("environ", "is_coloured"),
    [({}, True), ({"NO_COLOR": "1"}, False), ({"TERM": "dumb"}, False)],
)
def test_colours_only_on_a_terminal_that_allows_them(environ, is_coloured):
    """Guards against escape sequences in files and on plain terminals."""
    for stream, expected in ((Terminal(), is_coloured), (io.StringIO(), False)):
        output = outputs.make_output(stream, stream, environ, "text")
        outputs.print_diff(output, "+added\n")
        assert ("\x1b[" in stream.getvalue()) is expected


def test_control_characters_are_replaced():
    """Guards against escape sequences in authors and reasons.

    Other people write these texts, which the command prints.
    """
    assert outputs.replace_unprintable("a\x1b[2Jb\r") == "a?[2Jb?"


@pytest.mark.parametrize("text", ["", "  \n", "two words", "é"])
def test_credential_file_without_a_credential_is_a_usage_error(tmp_path, text):
    """Guards against sending or printing an unusable credential."""
    path = tmp_path / "credential"
    path.write_text(text)
    code, printed = run(
        "status",
        "--operator=http://127.0.0.1:1",
        f"--credential-file={path}",
        environ={},
    )
    assert code == 2
    assert not text.strip() or text.strip() not in printed


def test_credential_file_is_read_from_the_environment_variable(
    tmp_path, start_host
):
    """Guards against ignoring CYCLAMENSHELF_CREDENTIAL_FILE."""
    path = tmp_path / "credential"
    path.write_text(SECRET + "\n")
    url, requests = start_host(200, b'{"accounts": [], "store_answers": true}')
    environ = {
        "CYCLAMENSHELF_CREDENTIAL_FILE": str(path),
        "CYCLAMENSHELF_OPERATORS": f"http://127.0.0.1:1 {url}",
    }
    assert run("accounts", environ=environ)[0] == 0
    assert requests[0].headers["authorization"] == f"Bearer {SECRET}"


def test_credential_given_as_an_unknown_option_is_not_printed():
    """Guards against the usage error of docopt, which repeats arguments."""
    assert run("status", f"--credential={SECRET}")[0] == 2


@pytest.mark.parametrize(
    ("status", "body", "code"),
    [
        (502, b"<html>bad gateway</html>", 6),
        (200, b"[]", 6),
        (500, b"{}", 6),
        (503, b'{"code": "outcome_unknown", "run": "unknown"}', 6),
        (503, b'{"code": "store_unavailable", "run": "not_run"}', 5),
        (401, b'{"code": "unauthenticated", "run": "not_run"}', 5),
        (302, b"{}", 5),
    ],
)
def test_exit_code_shows_whether_a_command_may_have_been_applied(
    start_host, status, body, code
):
    """Guards against reporting a command that may have run as refused."""
    url, _ = start_host(status, body)
    command = ["quarantine", "remove", "w1", "--author=ann"]
    assert run(*command, f"--operator={url}")[0] == code


def test_query_without_a_response_exits_with_no_response(start_host):
    """Guards against an unknown outcome for a request that changes nothing."""
    url, _ = start_host(502, b"<html>")
    assert run("workers", f"--operator={url}")[0] == 3


def test_refusal_after_a_lost_response_leaves_the_outcome_unknown(start_host):
    """Guards against trusting the second host for what the first one ran."""
    first, _ = start_host(502, b"<html>")
    second, _ = start_host(
        401, b'{"code": "unauthenticated", "run": "not_run"}'
    )
    command = ["quarantine", "remove", "w1", "--author=ann"]
    hosts = [f"--operator={first}", f"--operator={second}"]
    assert run(*command, *hosts)[0] == 6


def test_explain_follows_the_owner_address_in_a_refusal(start_host):
    """Guards against failing if only the cell owner can respond."""
    explanation = {
        "job_id": "j-1",
        "state": "queued",
        "reasons": ["no_capacity"],
    }
    owner, _ = start_host(200, json.dumps(explanation).encode())
    refusal = {"code": "not_owner", "operator_url": owner}
    non_owner, _ = start_host(421, json.dumps(refusal).encode())
    code, printed = run("jobs", "explain", "j-1", f"--operator={non_owner}")
    assert (code, "no_capacity" in printed) == (0, True)


@pytest.mark.parametrize("group", sorted(main.GROUPS))
def test_help_of_each_group_has_examples_and_exit_codes(group):
    """Guards against help that is incomplete or needs a credential."""
    code, printed = run(group, "--help", environ={})
    assert code == 0
    assert "Examples:\n  cyclamenshelf " + group in printed
    assert "  6  outcome unknown" in printed
