"""Routes short requests from callers to backend servers.

A request is checked against the account's rate limit, waits in the account's
fair queue for a dispatch slot, and is sent to a backend server with a free
slot. It is retried only within its deadline and the service's retry budget. A
request that is not repeatable is retried only if it was certainly not run.
"""

from collections.abc import Callable
from collections.abc import Iterable
import enum
import functools
import random
import re
import threading
from typing import NamedTuple

import urllib3

from cyclamenshelf_core import backoff
from cyclamenshelf_core import clock as clocks
from cyclamenshelf_core import errors
from cyclamenshelf_core import model
from cyclamenshelf_core import retrybudget
from cyclamenshelf_daemon import backends as backend_servers
from cyclamenshelf_daemon import dispatch
from cyclamenshelf_daemon import exchange
from cyclamenshelf_daemon import fairqueue
from cyclamenshelf_daemon import hostlist
from cyclamenshelf_daemon import leaving
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon import webserver

DEFAULT_DEADLINE_MS = 10_000
MAX_DEADLINE_MS = 60_000
_MAX_ATTEMPTS = 4
# A timeout after a shorter wait says little about the server and is not counted
# as its failure. An account with very short deadlines could otherwise open the
# circuit breakers of all servers.
_MIN_TIMEOUT_MS = 2_000
_RETRY_AFTER_MS = 1_000
_REQUEST_ID_PATTERN = re.compile(r"[!-~]{1,128}")
_DEADLINE_PATTERN = re.compile(r"-?[0-9]{1,9}")
_FORWARDED_HEADERS = ("Content-Type", "Content-Encoding", "Retry-After")
# With these statuses, which proxies before a server also return, it is unknown
# whether the request was run.
_AMBIGUOUS_STATUSES = (502, 503, 504)


class Limits(NamedTuple):
    """Limits of concurrent requests; each request occupies a server thread.

    Attributes:
        dispatched: Requests that hold a dispatch slot.
        requests: Requests that hold a dispatch slot or wait for one.
        account_waiting: Requests of one account that wait for one.
        retrying: Requests that sleep before a retry.
    """

    dispatched: int
    requests: int
    account_waiting: int
    retrying: int


class Router:
    """The state of routing on this host."""

    def __init__(
        self,
        pool: urllib3.PoolManager,
        host_list: hostlist.HostList,
        clock: clocks.Clock,
        limits: Limits,
        get_lists: Callable[[], model.Lists],
        admit: Callable[[str], bool],
        generator: random.Random | None = None,
    ) -> None:
        self.pool = pool
        self.clock = clock
        self.get_lists = get_lists
        self.admit = admit
        self.generator = generator or random.Random()
        self.backends = backend_servers.Backends(
            host_list, clock, self.generator
        )
        self.dispatcher = dispatch.Dispatcher(
            fairqueue.FairQueue(
                limits.dispatched, limits.requests, limits.account_waiting
            ),
            self.backends,
            clock,
        )
        self.retry_permits = threading.BoundedSemaphore(limits.retrying)
        self.lock = threading.Lock()
        self.retry_budgets: dict[str, retrybudget.RetryBudget] = {}


class Call(NamedTuple):
    """A validated request of a caller.

    Attributes:
        deadline_ms: Monotonic time by which the response must be complete.
        repeatable: Whether the request is safe to run more than once.
    """

    account: str
    weight: int
    service: str
    request_id: str
    body: bytes
    content_type: str
    deadline_ms: int
    repeatable: bool


class RunResult(enum.Enum):
    """Whether the request was run in one attempt, as far as is known."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class AttemptOutcome(NamedTuple):
    """The outcome of one attempt.

    Attributes:
        timed_out: Whether the attempt ended at the deadline.
        retry_after_ms: Delay that the backend server requested, or None.
    """

    run_result: RunResult
    detail: str = ""
    backend_id: str = ""
    response: exchange.BackendResponse | None = None
    timed_out: bool = False
    retry_after_ms: int | None = None


def make_limits(threads: int) -> Limits:
    """Return limits that leave threads of the callers' server free.

    Short requests occupy at most half of the threads and callers that wait for
    jobs at most a third, so that a sixth remains for calls that do not wait.
    """
    retrying = max(1, threads // 16)
    requests = max(2, threads // 2 - retrying)
    return Limits(
        dispatched=max(1, requests * 3 // 4),
        requests=requests,
        account_waiting=max(1, requests // 4),
        retrying=retrying,
    )


def route_request(
    router: Router, account: str, service: str, request: webserver.Request
) -> webserver.Response:
    """Send a short request to a backend server and return its response.

    Raises:
        errors.RequestRefusedError: There is no response; `run` says whether
            the request may have been run.
    """
    call = _parse_call(router, account, service, request)
    if not router.admit(account):
        raise errors.QueueFullError(
            "the plan's request rate is used up", retry_after_ms=_RETRY_AFTER_MS
        )
    if not backend_servers.has_service(router.backends, service):
        raise errors.BackendFailedError(
            f"no backend server of {service[:80]} is listed",
            retry_after_ms=_RETRY_AFTER_MS,
        )
    budget = _get_retry_budget(router, service)
    with router.lock:
        retrybudget.record_request(budget, router.clock.now_ms())
    return _send_with_retries(router, call, budget)


def mark_leaving(router: Router, backend_ids: Iterable[str]) -> None:
    """Stop sending to the servers that `list_leaving` of another host named."""
    listed = router.backends.host_list.hosts.backends
    leaving.mark_relayed(router.backends.leaving, backend_ids, listed)


def list_leaving(router: Router) -> list[str]:
    """Return the leaving servers to report to other hosts, as opaque texts."""
    return leaving.list_marks(router.backends.leaving)


def _parse_call(
    router: Router, account: str, service: str, request: webserver.Request
) -> Call:
    """Validate the request; its deadline is counted from this call."""
    headers = request.headers
    deadline = headers.get("x-deadline-ms", str(DEFAULT_DEADLINE_MS))
    if not _DEADLINE_PATTERN.fullmatch(deadline):
        raise errors.InvalidFieldError(
            "X-Deadline-Ms", "milliseconds left", deadline
        )
    request_id = headers.get("x-request-id")
    if request_id is None:
        request_id = f"{router.generator.getrandbits(128):032x}"
    if not _REQUEST_ID_PATTERN.fullmatch(request_id):
        raise errors.InvalidFieldError(
            "X-Request-Id", "up to 128 visible ASCII characters", request_id
        )
    remaining_ms = min(int(deadline), MAX_DEADLINE_MS)
    return Call(
        account,
        max(1, model.get_plan(router.get_lists(), account).weight),
        service,
        request_id,
        request.body,
        headers.get("content-type", "application/octet-stream"),
        router.clock.now_ms() + remaining_ms,
        headers.get("x-repeatable") == "1",
    )


def _send_with_retries(
    router: Router, call: Call, budget: retrybudget.RetryBudget
) -> webserver.Response:
    run = errors.Run.NOT_RUN
    tried_ids: set[str] = set()
    for attempts in range(1, _MAX_ATTEMPTS + 1):
        outcome = _attempt_once(router, call, frozenset(tried_ids), run)
        if outcome.run_result is RunResult.ANSWERED:
            return _make_response(call, outcome.response)
        tried_ids.add(outcome.backend_id)
        if outcome.run_result is RunResult.UNKNOWN:
            run = errors.Run.UNKNOWN
        logs.log_event(
            "try_failed",
            request=call.request_id,
            backend=outcome.backend_id,
            run=outcome.run_result.value,
            detail=outcome.detail,
        )
        may_retry = call.repeatable or run is errors.Run.NOT_RUN
        if attempts == _MAX_ATTEMPTS or not may_retry:
            break
        if outcome.timed_out or not _prepare_retry(
            router, call, budget, attempts
        ):
            break
    if outcome.timed_out:
        raise errors.DeadlinePassedError(outcome.detail, run=run)
    raise errors.BackendFailedError(
        f"backend server {outcome.backend_id}: {outcome.detail}",
        run=run,
        retry_after_ms=outcome.retry_after_ms or _RETRY_AFTER_MS,
    )


def _prepare_retry(
    router: Router, call: Call, budget: retrybudget.RetryBudget, attempts: int
) -> bool:
    """Wait before a retry; return False if the request must not be retried.

    A Retry-After delays only requests to the server that sent it, not this
    retry: another server may have a free slot.
    """
    now_ms = router.clock.now_ms()
    delay_ms = backoff.choose_delay(router.generator, attempts - 1)
    if now_ms + delay_ms >= call.deadline_ms:
        return False
    if not router.retry_permits.acquire(blocking=False):
        return False
    try:
        with router.lock:
            if not retrybudget.allows_retry(budget, now_ms):
                return False
            retrybudget.record_retry(budget, now_ms)
        router.clock.sleep_ms(delay_ms)
    finally:
        router.retry_permits.release()
    return True


def _attempt_once(
    router: Router, call: Call, avoided_ids: frozenset[str], run: errors.Run
) -> AttemptOutcome:
    """Wait for a dispatch slot, send the request and return the outcome.

    Raises:
        errors.RequestRefusedError: No slot was granted; `run` is the result of
            the earlier attempts.
    """
    try:
        if router.clock.now_ms() >= call.deadline_ms:
            raise errors.DeadlinePassedError(
                "deadline passed before the request was sent"
            )
        ticket = dispatch.acquire_slot(
            router.dispatcher,
            call.service,
            call.account,
            call.weight,
            call.deadline_ms,
        )
    except errors.RequestRefusedError as refusal:
        refusal.run = run
        raise
    release = functools.partial(
        dispatch.release_slot, router.dispatcher, ticket
    )
    streaming = False
    try:
        outcome = _send_to_backend(router, call, avoided_ids, release)
        streaming = outcome.response is not None and isinstance(
            outcome.response.body, exchange.ResponseStream
        )
        return outcome
    finally:
        if not streaming:
            release()


def _send_to_backend(
    router: Router,
    call: Call,
    avoided_ids: frozenset[str],
    release: Callable[[], None],
) -> AttemptOutcome:
    """Choose a backend server, send the request and return the outcome."""
    assignment = backend_servers.assign_backend(
        router.backends, call.service, avoided_ids
    )
    if assignment is None:
        return AttemptOutcome(
            RunResult.NOT_RUN, "no backend server is available"
        )
    backend = assignment.backend
    sent_at_ms = router.clock.now_ms()
    try:
        response = exchange.send_request(
            router.pool,
            backend.address + "/v1/run",
            call.body,
            {
                "Content-Type": call.content_type,
                "X-Request-Id": call.request_id,
                "X-Deadline-Ms": str(max(1, call.deadline_ms - sent_at_ms)),
            },
            call.deadline_ms,
            router.clock,
        )
    except exchange.ExchangeError as error:
        waited_ms = router.clock.now_ms() - sent_at_ms
        if error.timed_out and waited_ms < _MIN_TIMEOUT_MS:
            backend_servers.record_abandoned(router.backends, assignment)
        else:
            backend_servers.record_failure(router.backends, assignment)
        run_result = RunResult.UNKNOWN if error.sent else RunResult.NOT_RUN
        return AttemptOutcome(
            run_result, str(error), backend.id, timed_out=error.timed_out
        )
    except BaseException:
        backend_servers.record_abandoned(router.backends, assignment)
        raise
    return _evaluate_response(router, assignment, response, release)


def _evaluate_response(
    router: Router,
    assignment: backend_servers.Assignment,
    response: exchange.BackendResponse,
    release: Callable[[], None],
) -> AttemptOutcome:
    """Return the outcome for a response and record it for its server."""
    backend, backends = assignment.backend, router.backends
    if response.headers.get("X-Leaving") == "1":
        leaving.mark_announced(backends.leaving, backend)
    run_result = RunResult.ANSWERED
    if response.status == 503 and response.headers.get("X-Not-Run") == "1":
        run_result = RunResult.NOT_RUN
    elif response.status in _AMBIGUOUS_STATUSES:
        run_result = RunResult.UNKNOWN
    retry_after_ms = exchange.read_retry_after(response)
    if retry_after_ms and run_result is not RunResult.ANSWERED:
        backend_servers.pause_backend(backends, assignment, retry_after_ms)
    if isinstance(response.body, exchange.ResponseStream):
        _watch_stream(router, assignment, response, release)
        if run_result is not RunResult.ANSWERED:
            response.body.close()
    elif run_result is RunResult.NOT_RUN:
        backend_servers.record_refusal(backends, assignment)
    else:
        _record_complete_response(router, assignment, response)
    return AttemptOutcome(
        run_result,
        f"status {response.status}",
        backend.id,
        response,
        retry_after_ms=retry_after_ms,
    )


def _record_complete_response(
    router: Router,
    assignment: backend_servers.Assignment,
    response: exchange.BackendResponse,
) -> None:
    """Record a complete response for its server according to its status."""
    if response.status in _AMBIGUOUS_STATUSES:
        backend_servers.record_failure(router.backends, assignment)
    elif response.status >= 500:
        backend_servers.record_server_error(router.backends, assignment)
    else:
        backend_servers.record_response(
            router.backends, assignment, response.slots_free
        )


def _watch_stream(
    router: Router,
    assignment: backend_servers.Assignment,
    response: exchange.BackendResponse,
    release: Callable[[], None],
) -> None:
    """Record the result and release the slot when the stream ends."""

    def handle_end(complete: bool | None) -> None:
        if complete is None:
            backend_servers.record_abandoned(router.backends, assignment)
        elif complete:
            _record_complete_response(router, assignment, response)
        else:
            backend_servers.record_failure(router.backends, assignment)
        release()

    response.body.on_end = handle_end


def _get_retry_budget(router: Router, service: str) -> retrybudget.RetryBudget:
    with router.lock:
        return router.retry_budgets.setdefault(
            service, retrybudget.RetryBudget()
        )


def _make_response(
    call: Call, response: exchange.BackendResponse
) -> webserver.Response:
    headers = [
        (name, response.headers[name])
        for name in _FORWARDED_HEADERS
        if name in response.headers
    ]
    if "Content-Type" not in response.headers:
        headers.append(("Content-Type", "application/octet-stream"))
    headers.append(("X-Request-Id", call.request_id))
    if isinstance(response.body, exchange.ResponseStream):
        headers.append(("Content-Length", str(response.length)))
    return webserver.Response(response.status, response.body, tuple(headers))
