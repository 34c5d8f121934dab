"""Parsing and validation of the settings file of a daemon."""

from collections.abc import Callable
import ipaddress
import re
from typing import Any
from typing import NamedTuple

from cyclamenshelf_core import documents
from cyclamenshelf_core import errors

_MAX_FILE_BYTES = 64 * 1024
_MIN_KEY_BYTES = 16
_MAX_KEY_BYTES = 4_096
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
# URLs with user names or passwords are rejected, because URLs are logged.
_URL_PATTERN = re.compile(r"https?://[^/@\s?#]+(/[^@\s?#]*)?")
_SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
_LOG_LEVELS = ("INFO", "DEBUG", "WARNING", "ERROR")


class Settings(NamedTuple):
    """Validated settings; see `examples/` for commented files.

    Attributes:
        host_id: Id of this entry host in the host list.
        data_centre: Data centre of this host.
        cell: Cell whose lease this host tries to acquire.
        listen_host: IP address that all servers listen on.
        caller_port: TCP port for callers; 0 selects a free port.
        operator_port: TCP port for operators; must be the same on all entry
            hosts.
        peer_port: UDP port for messages of other entry hosts.
        caller_threads: Maximum number of concurrent caller requests.
        table_url: URL of the table service.
        objects_url: URL of the object store.
        hosts_url: URL of the host list service.
        peer_key_file: File with the key that all entry hosts share.
        operator_token_sha256: SHA-256 of the operator token, in hex.
        operator_threads: Maximum number of concurrent operator requests.
        log_level: Lowest level that is logged.
    """

    host_id: str
    data_centre: str
    cell: str
    listen_host: str
    caller_port: int
    operator_port: int
    peer_port: int
    caller_threads: int
    table_url: str
    objects_url: str
    hosts_url: str
    peer_key_file: str
    operator_token_sha256: str
    operator_threads: int = 8
    log_level: str = "INFO"


class Secrets(NamedTuple):
    """Secrets read from the files that the settings name.

    Attributes:
        peer_key: Key of the signatures of messages between entry hosts.
    """

    peer_key: bytes

    def __repr__(self) -> str:
        return "Secrets(...)"


_Reader = Callable[[documents.Item, documents.Problems], Any]


def read_settings(path: str) -> Settings:
    """Read and validate a settings file.

    Raises:
        errors.InvalidSettingsError: The file has problems; lists all of them.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(_MAX_FILE_BYTES + 1)
    except (OSError, UnicodeError) as error:
        problem = errors.Problem(
            path, 1, "", "a UTF-8 text file", _describe_error(error)
        )
        raise errors.InvalidSettingsError([problem]) from error
    return parse_settings(path, text)


def parse_settings(source: str, text: str) -> Settings:
    """Parse and validate settings in YAML.

    Args:
        source: Name of the text in error messages.
        text: Settings in YAML.

    Raises:
        errors.InvalidSettingsError: The text has problems; lists all of them.
    """
    problems: documents.Problems = []
    root = documents.load_document(source, text, _MAX_FILE_BYTES, problems)
    defaults = Settings._field_defaults
    required = tuple(name for name in Settings._fields if name not in defaults)
    items = documents.read_fields(root, required, tuple(defaults), problems)
    values = {
        name: _READERS[name](item, problems) for name, item in items.items()
    }
    if root is not None:
        _check_ports(items, problems)
    if problems:
        raise errors.InvalidSettingsError(problems)
    return Settings(**values)


def read_secrets(settings: Settings) -> Secrets:
    """Read the secrets from the files that the settings name.

    Raises:
        errors.InvalidSettingsError: A file is unreadable, or its content is too
            short or too long for a key.
    """
    path = settings.peer_key_file
    try:
        with open(path, "rb") as file:
            peer_key = file.read(_MAX_KEY_BYTES + 1).strip()
    except OSError as error:
        got = _describe_error(error)
    else:
        if _MIN_KEY_BYTES <= len(peer_key) <= _MAX_KEY_BYTES:
            return Secrets(peer_key)
        got = f"{len(peer_key)} bytes"
    expected = f"a file of {_MIN_KEY_BYTES} to {_MAX_KEY_BYTES} bytes"
    problem = errors.Problem(path, 1, "peer_key_file", expected, got)
    raise errors.InvalidSettingsError([problem])


def _describe_error(error: Exception) -> str:
    return getattr(error, "strerror", None) or "bytes that are not UTF-8"


def _check_ports(
    items: dict[str, documents.Item], problems: documents.Problems
) -> None:
    caller, operator = items.get("caller_port"), items.get("operator_port")
    if caller and operator and caller.value == operator.value != 0:
        documents.add_problem(
            problems, operator, "a port other than caller_port"
        )


def _make_int_reader(minimum: int, maximum: int) -> _Reader:
    return lambda item, problems: documents.read_int(
        item, minimum, maximum, problems
    )


def _make_text_reader(
    matches: Callable[[str], object], expected: str, hidden: bool = False
) -> _Reader:
    """Return a reader of strings.

    With `hidden`, problems do not show the value, which may contain a secret.
    """

    def read(item: documents.Item, problems: documents.Problems) -> str:
        if not isinstance(item.value, str) or not matches(item.value):
            got = "a value that is not shown" if hidden else None
            documents.add_problem(problems, item, expected, got)
        return item.value

    return read


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


_read_name = _make_text_reader(
    _NAME_PATTERN.fullmatch,
    "a name of 1 to 63 letters, digits, '.', '_' or '-'",
)
_read_url = _make_text_reader(
    _URL_PATTERN.fullmatch, "http://HOST:PORT or https://HOST:PORT", hidden=True
)
_read_port = _make_int_reader(0, 65_535)
_READERS: dict[str, _Reader] = {
    "host_id": _read_name,
    "data_centre": _read_name,
    "cell": _read_name,
    "listen_host": _make_text_reader(_is_ip_address, "an IP address"),
    "caller_port": _read_port,
    "operator_port": _read_port,
    "peer_port": _read_port,
    # Up to a third of the threads may wait for jobs, so that allowing one
    # waiting caller takes three threads.
    "caller_threads": _make_int_reader(3, 512),
    "table_url": _read_url,
    "objects_url": _read_url,
    "hosts_url": _read_url,
    "peer_key_file": _make_text_reader(bool, "a path"),
    "operator_token_sha256": _make_text_reader(
        _SHA256_PATTERN.fullmatch, "64 lower-case hex digits", hidden=True
    ),
    # One thread is reserved for health checks.
    "operator_threads": _make_int_reader(2, 64),
    "log_level": lambda item, problems: documents.read_choice(
        item, _LOG_LEVELS, problems
    ),
}
