"""Routing of short requests: from a caller to a backend server and back.

A request passes the account's rate, waits in the account's fair queue for a
dispatch slot, and is sent to a backend server with a free slot. It is sent
again only within the deadline and the service's retry budget, and one that
may not be repeated only if it certainly was not run.
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
_MAX_TRIES = 4
# A shorter wait says little about the server; an account with very short
# deadlines could otherwise open the breakers of all servers.
_MIN_TIMEOUT_MS = 2_000
_RETRY_AFTER_MS = 1_000
_REQUEST_ID = re.compile(r"[!-~]{1,128}")
_DEADLINE = re.compile(r"-?[0-9]{1,9}")
_PASSED_ON = ("Content-Type", "Content-Encoding", "Retry-After")
# Statuses of servers and of proxies before them that cannot tell whether the
# request was run.
_UNKNOWN_STATUSES = (502, 503, 504)


class Limits(NamedTuple):
    """How many requests this host holds; each holds a thread of the server.

    Attributes:
        dispatched: Requests that hold a dispatch slot.
        requests: Requests that hold a dispatch slot or wait for one.
        account_waiting: Requests of one account that wait for one.
        retrying: Requests that sleep before they are tried again.
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
        self.retrying = threading.BoundedSemaphore(limits.retrying)
        self.lock = threading.Lock()
        self.budgets: dict[str, retrybudget.RetryBudget] = {}


class Call(NamedTuple):
    """A caller's request, checked.

    Attributes:
        deadline_ms: Monotonic time by which the answer is to be there.
        repeatable: Whether a second run does no harm.
    """

    account: str
    weight: int
    service: str
    request_id: str
    body: bytes
    content_type: str
    deadline_ms: int
    repeatable: bool


class Fate(enum.Enum):
    """What one try came to."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Outcome(NamedTuple):
    """The result of one try.

    Attributes:
        timed_out: Whether the deadline ended the try.
        retry_after_ms: Delay that the backend server asked for, or None.
    """

    fate: Fate
    detail: str = ""
    backend_id: str = ""
    answer: exchange.Answer | None = None
    timed_out: bool = False
    retry_after_ms: int | None = None


def make_limits(threads: int) -> Limits:
    """Return limits that leave threads of the callers' server free.

    Short requests hold at most half of the threads, waiting callers of jobs a
    third, so that a sixth always serves what does not wait.
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
    """Send a short request to a backend server and return its whole answer.

    Raises:
        errors.RequestRefusedError: No answer; `run` says what is certain.
    """
    call = _read_call(router, account, service, request)
    if not router.admit(account):
        raise errors.QueueFullError(
            "the plan's request rate is used up", retry_after_ms=_RETRY_AFTER_MS
        )
    if not backend_servers.is_known(router.backends, service):
        raise errors.BackendFailedError(
            f"no backend server of {service[:80]} is listed",
            retry_after_ms=_RETRY_AFTER_MS,
        )
    budget = _get_budget(router, service)
    with router.lock:
        retrybudget.record_request(budget, router.clock.now_ms())
    return _try_until_answered(router, call, budget)


def mark_leaving(router: Router, backend_ids: Iterable[str]) -> None:
    """Give no new work to servers that another host's `list_leaving` named."""
    listed = router.backends.host_list.hosts.backends
    leaving.mark_heard(router.backends.leaving, backend_ids, listed)


def list_leaving(router: Router) -> list[str]:
    """Return the leaving servers to tell other hosts of, as opaque texts."""
    return leaving.list_marks(router.backends.leaving)


def _read_call(
    router: Router, account: str, service: str, request: webserver.Request
) -> Call:
    """Return the checked request; its time starts to run here."""
    headers = request.headers
    deadline = headers.get("x-deadline-ms", str(DEFAULT_DEADLINE_MS))
    if not _DEADLINE.fullmatch(deadline):
        raise errors.InvalidFieldError(
            "X-Deadline-Ms", "milliseconds left", deadline
        )
    request_id = headers.get("x-request-id")
    if request_id is None:
        request_id = f"{router.generator.getrandbits(128):032x}"
    if not _REQUEST_ID.fullmatch(request_id):
        raise errors.InvalidFieldError(
            "X-Request-Id", "up to 128 visible ASCII characters", request_id
        )
    left_ms = min(int(deadline), MAX_DEADLINE_MS)
    return Call(
        account,
        max(1, model.get_plan(router.get_lists(), account).weight),
        service,
        request_id,
        request.body,
        headers.get("content-type", "application/octet-stream"),
        router.clock.now_ms() + left_ms,
        headers.get("x-repeatable") == "1",
    )


def _try_until_answered(
    router: Router, call: Call, budget: retrybudget.RetryBudget
) -> webserver.Response:
    run = errors.Run.NOT_RUN
    tried: set[str] = set()
    for tries in range(1, _MAX_TRIES + 1):
        outcome = _try_once(router, call, frozenset(tried), run)
        if outcome.fate is Fate.ANSWERED:
            return _make_response(call, outcome.answer)
        tried.add(outcome.backend_id)
        if outcome.fate is Fate.UNKNOWN:
            run = errors.Run.UNKNOWN
        logs.log_event(
            "try_failed",
            request=call.request_id,
            backend=outcome.backend_id,
            run=outcome.fate.value,
            detail=outcome.detail,
        )
        may_repeat = call.repeatable or run is errors.Run.NOT_RUN
        if tries == _MAX_TRIES or not may_repeat:
            break
        if outcome.timed_out or not _prepare_retry(router, call, budget, tries):
            break
    if outcome.timed_out:
        raise errors.DeadlinePassedError(outcome.detail, run=run)
    raise errors.BackendFailedError(
        f"backend server {outcome.backend_id}: {outcome.detail}",
        run=run,
        retry_after_ms=outcome.retry_after_ms or _RETRY_AFTER_MS,
    )


def _prepare_retry(
    router: Router, call: Call, budget: retrybudget.RetryBudget, tries: int
) -> bool:
    """Wait before the next try; return whether there is to be one.

    A Retry-After holds back the server that sent it, not the request: another
    server may have a free slot.
    """
    now_ms = router.clock.now_ms()
    delay_ms = backoff.choose_delay(router.generator, tries - 1)
    if now_ms + delay_ms >= call.deadline_ms:
        return False
    if not router.retrying.acquire(blocking=False):
        return False
    try:
        with router.lock:
            if not retrybudget.allows_retry(budget, now_ms):
                return False
            retrybudget.record_retry(budget, now_ms)
        router.clock.sleep_ms(delay_ms)
    finally:
        router.retrying.release()
    return True


def _try_once(
    router: Router, call: Call, avoid: frozenset[str], run: errors.Run
) -> Outcome:
    """Wait for a slot, send the request and return what became of it.

    Raises:
        errors.RequestRefusedError: No slot came; `run` tells of earlier tries.
    """
    try:
        if router.clock.now_ms() >= call.deadline_ms:
            raise errors.DeadlinePassedError("deadline passed before the send")
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
        outcome = _send(router, call, avoid, release)
        streaming = outcome.answer is not None and isinstance(
            outcome.answer.body, exchange.Stream
        )
        return outcome
    finally:
        if not streaming:
            release()


def _send(
    router: Router,
    call: Call,
    avoid: frozenset[str],
    release: Callable[[], None],
) -> Outcome:
    """Send the request to a chosen server and tell what it says of it."""
    sending = backend_servers.take_backend(router.backends, call.service, avoid)
    if sending is None:
        return Outcome(Fate.NOT_RUN, "no backend server is available")
    backend = sending.backend
    sent_at_ms = router.clock.now_ms()
    try:
        answer = exchange.send_request(
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
            backend_servers.note_abandoned(router.backends, sending)
        else:
            backend_servers.note_failure(router.backends, sending)
        fate = Fate.UNKNOWN if error.sent else Fate.NOT_RUN
        return Outcome(fate, str(error), backend.id, timed_out=error.timed_out)
    except BaseException:
        backend_servers.note_abandoned(router.backends, sending)
        raise
    return _judge_answer(router, sending, answer, release)


def _judge_answer(
    router: Router,
    sending: backend_servers.Sending,
    answer: exchange.Answer,
    release: Callable[[], None],
) -> Outcome:
    """Tell what an answer means and count it for its server."""
    backend, backends = sending.backend, router.backends
    if answer.headers.get("X-Leaving") == "1":
        leaving.mark_announced(backends.leaving, backend)
    fate = Fate.ANSWERED
    if answer.status == 503 and answer.headers.get("X-Not-Run") == "1":
        fate = Fate.NOT_RUN
    elif answer.status in _UNKNOWN_STATUSES:
        fate = Fate.UNKNOWN
    retry_after_ms = exchange.read_retry_after(answer)
    if retry_after_ms and fate is not Fate.ANSWERED:
        backend_servers.hold_backend(backends, sending, retry_after_ms)
    if isinstance(answer.body, exchange.Stream):
        _follow_stream(router, sending, answer, release)
        if fate is not Fate.ANSWERED:
            answer.body.close()
    elif fate is Fate.NOT_RUN:
        backend_servers.note_refusal(backends, sending)
    else:
        _note_whole(router, sending, answer)
    return Outcome(
        fate,
        f"status {answer.status}",
        backend.id,
        answer,
        retry_after_ms=retry_after_ms,
    )


def _note_whole(
    router: Router, sending: backend_servers.Sending, answer: exchange.Answer
) -> None:
    """Count a whole answer for its server by its status."""
    if answer.status in _UNKNOWN_STATUSES:
        backend_servers.note_failure(router.backends, sending)
    elif answer.status >= 500:
        backend_servers.note_server_error(router.backends, sending)
    else:
        backend_servers.note_answer(router.backends, sending, answer.slots_free)


def _follow_stream(
    router: Router,
    sending: backend_servers.Sending,
    answer: exchange.Answer,
    release: Callable[[], None],
) -> None:
    """Keep the slot until the stream ends, and count how it ended."""

    def end(whole: bool | None) -> None:
        if whole is None:
            backend_servers.note_abandoned(router.backends, sending)
        elif whole:
            _note_whole(router, sending, answer)
        else:
            backend_servers.note_failure(router.backends, sending)
        release()

    answer.body.on_end = end


def _get_budget(router: Router, service: str) -> retrybudget.RetryBudget:
    with router.lock:
        return router.budgets.setdefault(service, retrybudget.RetryBudget())


def _make_response(call: Call, answer: exchange.Answer) -> webserver.Response:
    headers = [
        (name, answer.headers[name])
        for name in _PASSED_ON
        if name in answer.headers
    ]
    if "Content-Type" not in answer.headers:
        headers.append(("Content-Type", "application/octet-stream"))
    headers.append(("X-Request-Id", call.request_id))
    if isinstance(answer.body, exchange.Stream):
        headers.append(("Content-Length", str(answer.length)))
    return webserver.Response(answer.status, answer.body, tuple(headers))
