"""What the owner knows of the rows that keep its learned profiles."""

from cyclamenshelf_core.workerprofiles import profilerows


class StoredProfiles:
    """State of the stored profiles during one tenure.

    Attributes:
        versions: Version of each row, by key.
        unconfirmed: Stored speeds of workers that are not listed yet.
        written_ms: Monotonic time of the last write.
        written_revision: Revision of the speeds that was written.
    """

    def __init__(self) -> None:
        self.versions: dict[str, int] = {}
        self.unconfirmed: dict[str, profilerows.StoredSpeed] = {}
        self.written_ms = 0
        self.written_revision = 0
