"""An in-memory table store that implements the scheduler's store interface."""

import threading

from cyclamenshelf_core import errors
from cyclamenshelf_daemon.tasks import ports

# Checks, puts and deletes of one transaction.
MAX_ENTRIES = 100
# Of the values of one transaction, which are sent in base64.
MAX_CALL_BYTES = 1_000_000
MAX_ROW_BYTES = 65_536


class FakeStore:
    """Rows with versions from a single counter, and scripted faults.

    Attributes:
        commit_faults: Outcomes of the next commits: "ok", "down" (rejected),
            "lost" (applied, but the response is lost) or "dropped" (the
            request is lost).
        before_commit: Called before each commit is applied.
        down: Whether all calls fail as if the store were unavailable.
        unreadable_tables: Tables whose reads fail.
        history_from: Changes up to this version are no longer available.
    """

    def __init__(self):
        self.rows = {}
        self.version = 1
        self.changes = []
        self.commit_faults = []
        self.before_commit = lambda transaction: None
        self.down = False
        self.unreadable_tables = set()
        self.history_from = 0
        self.commits = []
        self.changed = threading.Condition()
        self.store = ports.Store(
            self.commit,
            self.read,
            self.read_row,
            self.list_keys,
            self.follow,
        )

    def put(self, table, key, value):
        """Write a row unconditionally, as another client of the store."""
        with self.changed:
            self._apply(
                ports.Transaction({}, {ports.RowKey(table, key): value})
            )

    def value(self, table, key):
        row = self.rows.get(ports.RowKey(table, key))
        return row and row.value

    def commit(self, transaction, timeout_ms):
        self._check_size(transaction)
        self.before_commit(transaction)
        fault = self.commit_faults.pop(0) if self.commit_faults else "ok"
        if self.down or fault == "down":
            raise errors.StoreUnavailableError("table", "down")
        if fault == "dropped":
            raise errors.OutcomeUnknownError("table", "dropped")
        with self.changed:
            conflicts = {
                key: found
                for key, version in transaction.checks.items()
                if (found := self._get_version(key)) != version
            }
            if conflicts:
                raise errors.WriteConflictError(conflicts)
            self._apply(transaction)
            self.commits.append(transaction)
            version = self.version
        if fault == "lost":
            raise errors.OutcomeUnknownError("table", "lost")
        return version

    def _check_size(self, transaction):
        """Reject for good what the platform's store answers with 400."""
        entries = sum(map(len, transaction))
        sizes = [len(value) for value in transaction.puts.values()]
        if (
            entries > MAX_ENTRIES
            or max(sizes, default=0) > MAX_ROW_BYTES
            or sum(sizes) * 4 // 3 > MAX_CALL_BYTES
        ):
            raise errors.WriteRejectedError(
                "table", f"{entries} entries, sizes {sizes}"
            )

    def read_row(self, key, timeout_ms):
        result = self.read(key.table, timeout_ms, key.part)
        rows = [row for row in result.rows if row.key == key]
        return result._replace(rows=rows)

    def read(self, table, timeout_ms, part=""):
        if self.down or table in self.unreadable_tables:
            raise errors.StoreUnavailableError("table", "down")
        with self.changed:
            rows = [
                row
                for row in self.rows.values()
                if (row.key.table, row.key.part) == (table, part)
            ]
            return ports.ReadResult(rows, self.version)

    def list_keys(self, table, prefix, timeout_ms):
        return [
            row.key.key
            for row in self.read(table, timeout_ms).rows
            if row.key.key.startswith(prefix)
        ]

    def follow(self, table, version, wait_ms):
        if self.down or table in self.unreadable_tables:
            raise errors.StoreUnavailableError("table", "down")
        with self.changed:
            if version < self.history_from:
                raise errors.HistoryLostError("table", "forgotten")
            self.changed.wait_for(
                lambda: self._list_changes(table, version),
                min(wait_ms, 50) / 1000,
            )
            return ports.ReadResult(
                self._list_changes(table, version), self.version
            )

    def _list_changes(self, table, version):
        return [
            row
            for row in self.changes
            if row.key.table == table
            and not row.key.part
            and row.version > version
        ]

    def _get_version(self, key):
        row = self.rows.get(key)
        return row.version if row else 0

    def _apply(self, transaction):
        self.version += 1
        for key, value in transaction.puts.items():
            row = ports.Row(key, self.version, value)
            self.rows[key] = row
            self.changes.append(row)
        for key in transaction.deletes:
            self.rows.pop(key, None)
            self.changes.append(ports.Row(key, self.version, None))
        self.changed.notify_all()
