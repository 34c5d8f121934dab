"""Threads that take turns on a virtual clock.

Code that waits by `threading`, `queue` and the injected clock runs unchanged:
only one thread runs at a time, and the time advances when all of them wait. A
history of a minute takes a fraction of a second, and the same seed gives the
same order of events.
"""

import collections
import heapq
import itertools
import queue
import threading
import types

from cyclamenshelf_core import clock as clocks

_WALL_START_MS = 1_700_000_000_000


class ProcessKilledError(BaseException):
    """Ends a thread whose process was killed."""


class Process:
    """A group of threads that are frozen or killed together."""

    def __init__(self, name):
        self.name = name
        self.killed = False
        self.frozen_until_ms = 0


class Scheduler:
    """Runs one thread or callback at a time, in the order of virtual time."""

    def __init__(self):
        self.now_ms = 0
        self.limit_ms = 0
        self.current = None
        self.threads = set()
        self.failures = []
        self._agenda = []
        self._numbers = itertools.count()
        self._control = threading.Lock()
        self._control.acquire()

    def make_clock(self):
        return clocks.Clock(
            lambda: self.now_ms,
            lambda: _WALL_START_MS + self.now_ms,
            self.sleep_ms,
        )

    def sleep_ms(self, duration_ms):
        self.block(duration_ms)

    def call_at(self, due_ms, call):
        """Call a function that doesn't wait at a later time."""
        due_ms = max(due_ms, self.now_ms)
        heapq.heappush(self._agenda, (due_ms, next(self._numbers), call, None))

    def call_after(self, delay_ms, call):
        self.call_at(self.now_ms + delay_ms, call)

    def wake(self, thread, delay_ms=0):
        """Let a thread run after a delay, which replaces any earlier one."""
        thread.token = object()
        self._add_wake(thread, self.now_ms + delay_ms)

    def _add_wake(self, thread, due_ms):
        heapq.heappush(
            self._agenda,
            (due_ms, next(self._numbers), thread, thread.token),
        )

    def block(self, timeout_ms=None):
        """Let others run until this thread is woken or the time has passed."""
        thread = self.current
        thread.token = object()
        if timeout_ms is not None:
            self._add_wake(thread, self.now_ms + max(0, int(timeout_ms)))
        chosen = self._advance()
        if chosen is not thread:
            self._hand_over(chosen)
            thread.baton.acquire()
        self.current = thread
        if thread.process.killed:
            raise ProcessKilledError

    def run_until(self, limit_ms):
        """Run all threads up to a time; called by the test only."""
        self.limit_ms = limit_ms
        chosen = self._advance()
        if chosen is not None:
            self._hand_over(chosen)
            self._control.acquire()
        self.now_ms = limit_ms
        if self.failures:
            raise self.failures[0]

    def start(self, process, call, arguments=()):
        thread = _Carrier(self, process, call, arguments)
        self.threads.add(thread)
        self.wake(thread)
        return thread

    def kill(self, process):
        process.killed = True
        process.frozen_until_ms = 0
        for thread in list(self.threads):
            if thread.process is process and thread is not self.current:
                self.wake(thread)

    def finish(self, thread):
        self.threads.discard(thread)
        self._hand_over(self._advance())

    def _hand_over(self, chosen):
        if chosen is None:
            self._control.release()
        else:
            chosen.baton.release()

    def _advance(self):
        """Run callbacks; return the next thread, or None at the limit."""
        while self._agenda and self._agenda[0][0] <= self.limit_ms:
            due_ms, _, item, token = heapq.heappop(self._agenda)
            if not isinstance(item, _Carrier):
                self.now_ms = max(self.now_ms, due_ms)
                self.current = None
                self._run_callback(item)
                continue
            if item.token is not token or item not in self.threads:
                continue
            if item.process.frozen_until_ms > due_ms:
                self._add_wake(item, item.process.frozen_until_ms)
                continue
            self.now_ms = max(self.now_ms, due_ms)
            return item
        return None

    def _run_callback(self, call):
        try:
            call()
        except Exception as error:  # noqa: BLE001 - raised by run_until
            self.failures.append(error)


class _Carrier:
    """A real thread, which runs while it has the baton."""

    def __init__(self, scheduler, process, call, arguments):
        self.scheduler = scheduler
        self.process = process
        self.token = None
        self.baton = threading.Lock()
        self.baton.acquire()
        self._call = call
        self._arguments = arguments
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        self.baton.acquire()
        self.scheduler.current = self
        try:
            if not self.process.killed:
                self._call(*self._arguments)
        except ProcessKilledError:
            pass
        except Exception as error:  # noqa: BLE001 - raised by run_until
            self.scheduler.failures.append(error)
        self.scheduler.finish(self)


class Event:
    """Stands in for `threading.Event`."""

    def __init__(self, scheduler):
        self._scheduler = scheduler
        self._set = False
        self._waiting = []

    def is_set(self):
        return self._set

    def clear(self):
        self._set = False

    def set(self):
        self._set = True
        waiting, self._waiting = self._waiting, []
        for thread in waiting:
            self._scheduler.wake(thread)

    def wait(self, timeout=None):
        if self._set:
            return True
        thread = self._scheduler.current
        self._waiting.append(thread)
        self._scheduler.block(None if timeout is None else timeout * 1_000)
        if thread in self._waiting:
            self._waiting.remove(thread)
        return self._set


class _Thread:
    """Stands in for `threading.Thread`; belongs to its starter's process."""

    def __init__(self, scheduler, target, args=(), name="", daemon=True):
        self._scheduler = scheduler
        self._target = target
        self._arguments = args
        self._carrier = None

    def start(self):
        self._carrier = self._scheduler.start(
            self._scheduler.current.process, self._target, self._arguments
        )


class _Queue:
    """Stands in for `queue.SimpleQueue`."""

    def __init__(self, scheduler):
        self._items = collections.deque()
        self._filled = Event(scheduler)

    def put(self, item):
        self._items.append(item)
        self._filled.set()

    def empty(self):
        return not self._items

    def get(self, timeout=None):
        if not self._items:
            self._filled.clear()
            self._filled.wait(timeout)
        if not self._items:
            raise queue.Empty
        return self._items.popleft()


def make_threading(scheduler):
    """Return what the code uses of `threading`."""
    return types.SimpleNamespace(
        Thread=lambda **values: _Thread(scheduler, **values),
        Event=lambda: Event(scheduler),
        Lock=threading.Lock,
    )


def make_queue(scheduler):
    """Return what the code uses of `queue`."""
    return types.SimpleNamespace(
        SimpleQueue=lambda: _Queue(scheduler), Empty=queue.Empty
    )
