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
