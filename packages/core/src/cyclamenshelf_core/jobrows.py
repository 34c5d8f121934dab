"""Encoding of jobs as table rows."""

import hashlib
import json
from typing import Any

from cyclamenshelf_core import model


def make_job_id(account: str, idempotency_key: str) -> str:
    """Return the job id for an idempotency key of an account.

    The same key gives the same id on every host, so that inserting the job
    row also detects a repeated submission.
    """
    text = json.dumps([account, idempotency_key])
    return "j-" + hashlib.sha256(text.encode()).hexdigest()[:32]


def compute_digest(body: Any) -> str:
    """Return the SHA-256 of a JSON body, independent of key order."""
    text = json.dumps(body, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()


def encode_job(job: model.Job) -> dict[str, Any]:
    """Return a job encoded as a row value."""
    row = job._asdict()
    row["spec"] = job.spec._asdict() | {"shape": job.spec.shape._asdict()}
    row["placement"] = [list(part) for part in job.placement]
    row["manifest"] = [list(part) for part in job.manifest]
    row["history"] = list(job.history)
    row["failed_workers"] = list(job.failed_workers)
    return row


def decode_job(row: dict[str, Any]) -> model.Job:
    """Return the job decoded from a row value."""
    shape = row["spec"]["shape"]
    spec = model.JobSpec(
        **row["spec"]
        | {
            "shape": model.Shape(
                shape["parts"],
                shape["accelerators"],
                model.Within(shape["within"]),
            ),
            "urgency": model.Urgency(row["spec"]["urgency"]),
        }
    )
    return model.Job(
        **row
        | {
            "spec": spec,
            "state": model.JobState(row["state"]),
            "placement": tuple(
                model.PartPlacement(*part) for part in row["placement"]
            ),
            "manifest": tuple(
                model.AnswerPart(*part) for part in row["manifest"]
            ),
            "history": tuple(row["history"]),
            "failed_workers": tuple(row.get("failed_workers", ())),
        }
    )


def make_task_id(job_id: str, attempt: int, part: int) -> str:
    """Return the task id of one part of an attempt, as sent to the worker."""
    return f"{job_id}.{attempt}.{part}"
