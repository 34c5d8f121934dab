"""Rows of the lease under which one host owns the scheduling of the fleet."""

import json
from typing import NotRequired
from typing import TypedDict

from cyclamenshelf_core import errors
from cyclamenshelf_core import jsontexts
from cyclamenshelf_daemon import logs
from cyclamenshelf_daemon.tasks import ports

TABLE = "cell"
EPOCH_KEY = ports.RowKey(TABLE, "epoch")
_LEASE_KEY = ports.RowKey(TABLE, "lease")
# The lease has its own partition, so that renewals do not queue behind the
# transactions of jobs, which take long when the store is slow.
_LEASE_PART = "lease"
# Short enough for a second renewal within the lease if a response is lost.
CALL_TIMEOUT_MS = 500


class LeaseRow(TypedDict):
    """Value of the lease row.

    Attributes:
        holder: Name of the host that holds the lease, or held it last.
        epoch: Its epoch; missing in rows of earlier versions.
        released: Whether any host may acquire the lease.
    """

    holder: str
    epoch: NotRequired[int]
    released: bool


class _EpochRow(TypedDict):
    epoch: int


def make_lease_key(cross_part_transactions: bool) -> ports.RowKey:
    """Return the key of the lease row.

    Args:
        cross_part_transactions: Whether the store allows transactions across
            partitions. Acquiring the lease is one if the lease row has its
            own partition, as it also writes the epoch row.
    """
    if cross_part_transactions:
        return _LEASE_KEY._replace(part=_LEASE_PART)
    return _LEASE_KEY


def read_row(store: ports.Store, key: ports.RowKey) -> ports.Row | None:
    """Return a row, or None if it does not exist.

    Raises:
        errors.StoreUnavailableError: The store did not respond.
    """
    rows = store.read_row(key, CALL_TIMEOUT_MS).rows
    return rows[0] if rows else None


def decode_lease(row: ports.Row | None) -> LeaseRow | None:
    """Return the lease in a row, or None if there is none.

    A row that cannot be decoded is taken for the lease of an unknown holder,
    which has to expire.
    """
    if row is None or not row.value:
        return None
    try:
        return jsontexts.decode(row.value, LeaseRow)
    except errors.InvalidTextError as error:
        logs.log_event("lease_unreadable", "WARNING", detail=error)
        return {"holder": "", "released": False}


def decode_epoch(row: ports.Row | None) -> int:
    """Return the epoch in a row; 0 if there is none.

    Raises:
        errors.InvalidTextError: The row cannot be decoded.
    """
    if row is None or not row.value:
        return 0
    return jsontexts.decode(row.value, _EpochRow)["epoch"]


def make_lease(holder: str, epoch: int, released: bool = False) -> LeaseRow:
    """Return the value of the lease row of a holder."""
    return {"holder": holder, "epoch": epoch, "released": released}


def encode_lease(holder: str, epoch: int, released: bool = False) -> bytes:
    """Return the encoded value of the lease row of a holder."""
    return json.dumps(make_lease(holder, epoch, released)).encode()


def encode_epoch(epoch: int) -> bytes:
    """Return the encoded value of the epoch row."""
    return json.dumps({"epoch": epoch}).encode()
