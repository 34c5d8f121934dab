"""Measure what a job of many tasks costs the owner of the task scheduler.

Run as a module: python -m benchmarks.large_jobs

Usage: large_jobs [--tasks=LIST] [--workers=N] [--repeats=N]

Options:
  --tasks=LIST  Numbers of tasks of the job [default: 16,128,1000,4000,10000].
  --workers=N   Number of workers [default: 24].
  --repeats=N   Repetitions of each measurement [default: 5].

`bytes` is the size of all pages while all tasks run, `decide` a decision while
all tasks wait for a full fleet, and while all run; `page` the encoding of one
page, which is what the end of a task costs.
"""

import time

from benchmarks import task_decisions
import docopt

from cyclamenshelf_core import progresspages
from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskprogress
from cyclamenshelf_daemon.tasks import fleet
from cyclamenshelf_daemon.tasks import ledger as ledgers

_SMALL = taskjobs.Resources(10, 10, 0)
_JOB_ID = "00000000000000b0"


def _make_ledger(
    tasks: int, members: list[fleet.Worker], running: bool
) -> ledgers.Ledger:
    """Return the ledger of one job, whose tasks all run or all wait."""
    ledger = ledgers.Ledger(1)
    job = task_decisions.make_job(_JOB_ID, tasks, _SMALL)
    progress = taskprogress.Progress(job.queue, job.account)
    ledger.jobs[job.id] = ledgers.JobEntry(job, 1, progress, 1)
    group = taskjobs.Group(job.id, 0, 0)
    for index in range(tasks if running else 0):
        worker_id = members[index % len(members)].info.id
        run = ledgers.Run(taskjobs.Task(group, index), 1_000_001, worker_id, 1)
        run.phase, run.acked_ms = ledgers.Phase.RUNNING, 1
        ledgers.add_run(ledger, run)
    return ledger


def _encode_page(ledger: ledgers.Ledger, page: int) -> bytes:
    entry = ledger.jobs[_JOB_ID]
    assigned: progresspages.Assignments = {}
    for task in progresspages.list_tasks(entry.layout, page):
        run = ledger.runs[task]
        assigned.setdefault(run.worker_id, {})[task] = run.number
    value = progresspages.encode_page(
        entry.progress, entry.layout, page, assigned
    )
    return value or b""


def _measure_decision(
    ledger: ledgers.Ledger, members: list[fleet.Worker], repeats: int
) -> float:
    """Return the processor time of a decision in ms."""
    started_s = time.process_time()
    for _ in range(repeats):
        task_decisions.decide(ledger, members)
    return 1000 * (time.process_time() - started_s) / repeats


def main() -> None:
    """Print the costs of a job at each number of tasks."""
    arguments = docopt.docopt(__doc__)
    repeats = int(arguments["--repeats"])
    members = task_decisions.make_workers(int(arguments["--workers"]))
    for tasks in map(int, arguments["--tasks"].split(",")):
        waiting = _make_ledger(tasks, members, running=False)
        running = _make_ledger(tasks, members, running=True)
        pages = progresspages.count_pages(running.jobs[_JOB_ID].layout)
        started_s = time.process_time()
        sizes = [len(_encode_page(running, page)) for page in range(pages)]
        page_ms = 1000 * (time.process_time() - started_s) / pages
        print(
            f"tasks={tasks} workers={len(members)} pages={pages} "
            f"bytes={sum(sizes)} bytes_per_task={sum(sizes) / tasks:.1f} "
            f"largest_page={max(sizes)} page_ms={page_ms:.2f} "
            f"decide_waiting_ms="
            f"{_measure_decision(waiting, members, repeats):.1f} "
            f"decide_running_ms="
            f"{_measure_decision(running, members, repeats):.1f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
