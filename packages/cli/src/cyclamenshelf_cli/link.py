"""Calls to entry hosts over a link that may be slow or cut at any time."""

import json
import random
import time
from typing import Any
from typing import NamedTuple

import urllib3

from cyclamenshelf_cli import exitcodes

# Several retransmissions of a lost first packet fit into it.
_CONNECT_TIMEOUT_S = 7.0
_ROUNDS = 2
_MAX_PAUSE_S = 1.0


class Link(NamedTuple):
    """The entry hosts to try, in order, and how."""

    urls: tuple[str, ...]
    headers: dict[str, str]
    timeout: urllib3.Timeout
    pool: urllib3.PoolManager

    def __repr__(self) -> str:
        # The headers hold the credential, which is never printed.
        return f"Link(urls={self.urls})"


class Answer(NamedTuple):
    """What a host answered."""

    url: str
    status: int
    value: dict[str, Any]


class _Attempts:
    """What is known after the hosts tried so far.

    Attributes:
        unknown: Whether an earlier send may have been applied.
        refusal: The last answer that another host may do better than.
        failures: Why each host gave no answer.
    """

    def __init__(self) -> None:
        self.unknown = False
        self.refusal: Answer | None = None
        self.failures: dict[str, str] = {}


def make_link(urls: tuple[str, ...], credential: str, timeout_s: float) -> Link:
    """Return a link to some entry hosts."""
    return Link(
        urls,
        {
            "Authorization": f"Bearer {credential}",
            "Content-Type": "application/json",
        },
        urllib3.Timeout(connect=_choose_connect(timeout_s), read=timeout_s),
        # A redirect could send the credential elsewhere.
        urllib3.PoolManager(retries=False),
    )


def _choose_connect(timeout_s: float) -> float:
    """Return the time for a connection, which also bounds sending a body."""
    return min(timeout_s, max(_CONNECT_TIMEOUT_S, timeout_s / 4))


def read(link: Link, path: str) -> Answer:
    """Return the answer of the first host that answers a question.

    Raises:
        exitcodes.CommandFailedError: No host answers, or it refuses.
    """
    return _call(link, "GET", path, None, changes=False)


def ask(link: Link, path: str, body: dict[str, Any]) -> Answer:
    """Return the answer to a question that has a body.

    Raises:
        exitcodes.CommandFailedError: No host answers, or it refuses.
    """
    return _call(link, "POST", path, body, changes=False)


def command(link: Link, method: str, path: str, body: dict[str, Any]) -> Answer:
    """Return the answer to a command that may be sent more than once.

    Raises:
        exitcodes.CommandFailedError: It was not carried out, or the outcome
            is unknown, as its exit code tells.
    """
    return _call(link, method, path, body, changes=True)


def command_once(link: Link, path: str, body: dict[str, Any]) -> Answer:
    """Return the answer to a command for the first host alone, sent once.

    Raises:
        exitcodes.CommandFailedError: It was not carried out, or the outcome
            is unknown, as its exit code tells.
    """
    single = link._replace(urls=link.urls[:1])
    return _call(single, "POST", path, body, changes=True, rounds=1)


def _call(
    link: Link,
    method: str,
    path: str,
    body: dict[str, Any] | None,
    *,
    changes: bool,
    rounds: int = _ROUNDS,
) -> Answer:
    attempts = _Attempts()
    for number in range(rounds):
        if number:
            time.sleep(random.uniform(0, _MAX_PAUSE_S))
        urls = list(link.urls)
        for url in urls:
            answer = _send(link, method, url, path, body, attempts)
            if answer is None:
                continue
            if answer.status < 300:
                return answer
            owner_url = answer.value.get("operator_url")
            if answer.status == 421 and owner_url and owner_url not in urls:
                urls.append(owner_url)
            if not _may_do_better_elsewhere(answer):
                raise _make_refusal(answer, changes and attempts.unknown)
            attempts.refusal = answer
            if answer.value.get("run") == "unknown" or answer.status == 500:
                attempts.unknown = True
        if not attempts.failures and _is_final(attempts.refusal):
            break
    raise _make_failure(attempts, changes)


def _send(
    link: Link,
    method: str,
    url: str,
    path: str,
    body: dict[str, Any] | None,
    attempts: _Attempts,
) -> Answer | None:
    """Return the answer of one host, or None with the failure noted."""
    try:
        response = link.pool.request(
            method,
            url + path,
            body=None if body is None else json.dumps(body).encode(),
            headers=link.headers,
            timeout=link.timeout,
        )
        value = json.loads(response.data)
        if not isinstance(value, dict):
            raise ValueError("not an object")
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ):
        attempts.failures[url] = "no connection"
        return None
    except (urllib3.exceptions.HTTPError, ValueError):
        attempts.failures[url] = "connected, but no whole answer"
        attempts.unknown = True
        return None
    attempts.failures.pop(url, None)
    return Answer(url, response.status, value)


def _may_do_better_elsewhere(answer: Answer) -> bool:
    return answer.status >= 500 or answer.status == 421


def _is_final(refusal: Answer | None) -> bool:
    """Return whether all hosts refused for a reason that stays."""
    return refusal is not None and refusal.status < 500


def _make_failure(
    attempts: _Attempts, changes: bool
) -> exitcodes.CommandFailedError:
    if changes and attempts.unknown:
        return exitcodes.CommandFailedError(
            exitcodes.OUTCOME_UNKNOWN,
            "outcome unknown: the command may or may not be carried out",
            attempts.refusal.value if attempts.refusal else None,
        )
    if attempts.refusal is not None:
        return _make_refusal(attempts.refusal, False)
    tried = ", ".join(
        f"{url} ({reason})" for url, reason in attempts.failures.items()
    )
    return exitcodes.CommandFailedError(
        exitcodes.NO_ANSWER, f"no host answers: {tried}"
    )


def _make_refusal(answer: Answer, unknown: bool) -> Exception:
    """Return the failure for a refusal.

    Args:
        answer: The refusal.
        unknown: Whether an earlier send of the same command may have been
            applied; a refusal of this one does not tell.
    """
    code = answer.value.get("code", f"status {answer.status}")
    message = f"{code}: {answer.value.get('message', '')}"
    exit_code = exitcodes.REFUSED
    if code == "configuration_conflict":
        # The host compares with the history, so this covers earlier sends.
        exit_code = exitcodes.CONFLICT
    elif unknown:
        exit_code = exitcodes.OUTCOME_UNKNOWN
    return exitcodes.CommandFailedError(exit_code, message, answer.value)
