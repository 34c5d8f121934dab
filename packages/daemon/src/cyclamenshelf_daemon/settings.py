"""Settings of a daemon, from a YAML file."""

from typing import Any
from typing import NamedTuple

import yaml

from cyclamenshelf_core import errors


class Settings(NamedTuple):
    """Checked settings; see `examples/` for a commented file."""

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


class Secrets(NamedTuple):
    """Secrets that the settings name the files of.

    Attributes:
        peer_key: Key that signs the messages between entry hosts.
    """

    peer_key: bytes


def read_settings(path: str) -> Settings:
    """Return the settings of a file.

    Raises:
        errors.InvalidSettingsError: The file is unreadable or invalid.
    """
    try:
        with open(path, encoding="utf-8") as file:
            values = yaml.safe_load(file)
    except (OSError, yaml.YAMLError) as error:
        raise errors.InvalidSettingsError([str(error)]) from error
    return check_settings(values)


def check_settings(values: Any) -> Settings:
    """Return checked settings.

    Raises:
        errors.InvalidSettingsError: With every problem found.
    """
    if not isinstance(values, dict):
        raise errors.InvalidSettingsError(["settings: expected a mapping"])
    types = Settings.__annotations__
    problems = [f"{key}: unknown key" for key in values if key not in types]
    for key, expected in types.items():
        if key not in values:
            problems.append(f"{key}: missing")
        elif type(values[key]) is not expected:
            problems.append(
                f"{key}: expected {expected.__name__}, got {values[key]!r:.80}"
            )
    if problems:
        raise errors.InvalidSettingsError(problems)
    return Settings(**values)


def read_secrets(settings: Settings) -> Secrets:
    """Return the secrets of the files that the settings name.

    Raises:
        errors.InvalidSettingsError: A file is unreadable or empty.
    """
    path = settings.peer_key_file
    try:
        with open(path, "rb") as file:
            peer_key = file.read().strip()
    except OSError as error:
        raise errors.InvalidSettingsError(
            [f"peer_key_file: {error}"]
        ) from error
    if not peer_key:
        raise errors.InvalidSettingsError([f"peer_key_file: {path} is empty"])
    return Secrets(peer_key)
