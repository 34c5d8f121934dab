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
def serve():
    """Start a host that gives the same answer to every request."""
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
def test_colours_only_on_a_terminal_that_wants_them(environ, is_coloured):
    for stream, expected in ((Terminal(), is_coloured), (io.StringIO(), False)):
        output = outputs.make_output(stream, stream, environ, "text")
        outputs.print_diff(output, "+added\n")
        assert ("\x1b[" in stream.getvalue()) is expected


def test_texts_of_others_cannot_steer_the_terminal():
    # Authors and reasons come from other people.
    assert outputs.clean("a\x1b[2Jb\r") == "a?[2Jb?"


@pytest.mark.parametrize("text", ["", "  \n", "two words", "é"])
def test_credential_file_without_a_credential_is_wrong_usage(tmp_path, text):
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


def test_credential_comes_from_the_file_that_the_environment_names(
    tmp_path, serve
):
    path = tmp_path / "credential"
    path.write_text(SECRET + "\n")
    url, requests = serve(200, b'{"accounts": [], "store_answers": true}')
    environ = {
        "CYCLAMENSHELF_CREDENTIAL_FILE": str(path),
        "CYCLAMENSHELF_OPERATORS": f"http://127.0.0.1:1 {url}",
    }
    assert run("accounts", environ=environ)[0] == 0
    assert requests[0].headers["authorization"] == f"Bearer {SECRET}"


def test_credential_given_as_an_unknown_option_is_not_repeated():
    # The usage error of docopt would print the argument.
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
def test_exit_code_tells_whether_a_command_may_be_applied(
    serve, status, body, code
):
    url, _ = serve(status, body)
    command = ["quarantine", "remove", "w1", "--author=ann"]
    assert run(*command, f"--operator={url}")[0] == code


def test_question_without_an_answer_is_never_unknown(serve):
    url, _ = serve(502, b"<html>")
    assert run("workers", f"--operator={url}")[0] == 3


def test_refusal_after_a_lost_answer_leaves_the_outcome_unknown(serve):
    # The second host did not run it, but the first one may have.
    first, _ = serve(502, b"<html>")
    second, _ = serve(401, b'{"code": "unauthenticated", "run": "not_run"}')
    command = ["quarantine", "remove", "w1", "--author=ann"]
    hosts = [f"--operator={first}", f"--operator={second}"]
    assert run(*command, *hosts)[0] == 6


def test_explain_goes_on_to_the_owner_that_a_host_names(serve):
    answer = {"job_id": "j-1", "state": "queued", "reasons": ["no_capacity"]}
    owner, _ = serve(200, json.dumps(answer).encode())
    refusal = {"code": "not_owner", "operator_url": owner}
    other, _ = serve(421, json.dumps(refusal).encode())
    code, printed = run("jobs", "explain", "j-1", f"--operator={other}")
    assert (code, "no_capacity" in printed) == (0, True)


@pytest.mark.parametrize("group", sorted(main.GROUPS))
def test_help_of_each_group_has_examples_and_exit_codes(group):
    code, printed = run(group, "--help", environ={})
    assert code == 0
    assert "Examples:\n  cyclamenshelf " + group in printed
    assert "  6  outcome unknown" in printed
