"""Rows that keep what was learned, for the next owner.

Whatever is missing or malformed in them is left out: it only has to be learned
again.
"""

import itertools
import json
from typing import Any
from typing import NamedTuple

from cyclamenshelf_core import jsontexts
from cyclamenshelf_core.workerprofiles import runestimates
from cyclamenshelf_core.workerprofiles import speeds

# Limits of the entries in one row, which keep it small.
_MAX_WORKERS = 200
_MAX_KINDS = 100
_MAX_TEXT = 200
# Numbers are stored as integers, in thousandths.
_SCALE = 1_000
# Limit of the logarithms of run times in ms and of factors.
_MAX_LOG = 50


class StoredSpeed(NamedTuple):
    """What is known of one incarnation of a worker."""

    started_ms: int
    belief: speeds.Belief


class Content(NamedTuple):
    """What the rows hold.

    Attributes:
        workers: Speeds by worker.
        kinds: Fits of declared to observed run times.
    """

    workers: dict[str, StoredSpeed]
    kinds: dict[runestimates.Kind, runestimates.Fit]


def encode_rows(content: Content) -> list[bytes]:
    """Return the values of the rows, the first one with the run times."""
    entries = [
        [
            worker_id,
            stored.started_ms,
            round(stored.belief.mean * _SCALE),
            round(stored.belief.precision**-0.5 * _SCALE),
        ]
        for worker_id, stored in sorted(content.workers.items())
    ]
    chunks = [
        entries[start : start + _MAX_WORKERS]
        for start in range(0, max(1, len(entries)), _MAX_WORKERS)
    ]
    kinds = [
        [kind.queue, kind.image, *(round(value * _SCALE) for value in fit)]
        for kind, fit in itertools.islice(content.kinds.items(), _MAX_KINDS)
        if len(kind.queue) + len(kind.image) <= _MAX_TEXT
    ]
    return [
        json.dumps(
            {"workers": chunk} | ({} if number else {"kinds": kinds}),
            separators=(",", ":"),
        ).encode()
        for number, chunk in enumerate(chunks)
    ]


def decode_row(value: bytes) -> Content:
    """Return what a row holds, without its malformed entries."""
    content = Content({}, {})
    try:
        row = jsontexts.decode(value)
    except ValueError:
        return content
    for entry in _list_entries(row, "workers", texts=1, numbers=3):
        worker_id, started_ms, mean, deviation = entry
        if deviation > 0 and abs(mean) <= _MAX_LOG * _SCALE:
            belief = speeds.Belief(mean / _SCALE, (_SCALE / deviation) ** 2)
            content.workers[worker_id] = StoredSpeed(started_ms, belief)
    for entry in _list_entries(row, "kinds", texts=2, numbers=5):
        queue, image, *numbers = entry
        fit = runestimates.Fit(*(number / _SCALE for number in numbers))
        if _is_plausible(fit):
            content.kinds[runestimates.Kind(queue, image)] = fit
    return content


def _is_plausible(fit: runestimates.Fit) -> bool:
    """Return whether a fit may be one of run times.

    Others would give estimates that exceed the range of numbers.
    """
    limit = _MAX_LOG * fit.steps
    return (
        fit.steps >= 1
        and max(abs(fit.declared), abs(fit.observed)) <= limit
        and max(abs(fit.declared_squared), abs(fit.product)) <= _MAX_LOG * limit
    )


def _list_entries(
    row: Any, name: str, texts: int, numbers: int
) -> list[list[Any]]:
    """Return the entries of a list that have the expected types."""
    entries = row.get(name) if isinstance(row, dict) else None
    if not isinstance(entries, list):
        return []
    types = [str] * texts + [int] * numbers
    return [
        entry
        for entry in entries
        if isinstance(entry, list) and [type(part) for part in entry] == types
    ]
