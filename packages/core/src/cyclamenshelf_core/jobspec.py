"""Validation of the job specification that a caller submits."""

from collections.abc import Callable
import enum
from typing import Any

from cyclamenshelf_core import errors
from cyclamenshelf_core import model

MAX_PARTS = 128
MAX_ACCELERATORS_PER_PART = 64
MAX_DURATION_S = 30 * 24 * 3600
_DEFAULT_EXPECTED_RUN_S = 60

_FIELDS = {
    "shape",
    "urgency",
    "deadline_s",
    "expected_run_s",
    "repeatable",
    "checkpointable",
    "payload",
}


def parse_job_spec(body: Any, wall_ms: int) -> model.JobSpec:
    """Return the validated job specification of a request body.

    Args:
        body: Decoded JSON of the request.
        wall_ms: Unix time of acceptance, from which `deadline_s` counts.

    Raises:
        errors.InvalidFieldError: A field is missing, unknown or out of range.
    """
    if not isinstance(body, dict):
        raise errors.InvalidFieldError("body", "an object", body)
    _reject_unknown_fields(body, _FIELDS, "")
    deadline_s = _read_number(body, "deadline_s", None, MAX_DURATION_S)
    expected_run_s = _read_number(
        body, "expected_run_s", _DEFAULT_EXPECTED_RUN_S, MAX_DURATION_S
    )
    return model.JobSpec(
        shape=_parse_shape(body.get("shape")),
        urgency=_read_choice(body, "urgency", model.Urgency, "normal"),
        deadline_ms=(
            None if deadline_s is None else wall_ms + int(deadline_s * 1000)
        ),
        expected_run_ms=int(expected_run_s * 1000),
        repeatable=_read_bool(body, "repeatable"),
        checkpointable=_read_bool(body, "checkpointable"),
        payload=body.get("payload"),
    )


def _parse_shape(shape: Any) -> model.Shape:
    if not isinstance(shape, dict):
        raise errors.InvalidFieldError("shape", "an object", shape)
    _reject_unknown_fields(shape, {"parts", "accelerators", "within"}, "shape.")
    return model.Shape(
        parts=_read_int(shape, "parts", MAX_PARTS),
        accelerators=_read_int(
            shape, "accelerators", MAX_ACCELERATORS_PER_PART
        ),
        within=_read_choice(shape, "within", model.Within, "cell", "shape."),
    )


def _reject_unknown_fields(body: dict, allowed: set[str], prefix: str) -> None:
    for name in body:
        if name not in allowed:
            raise errors.InvalidFieldError(
                f"{prefix}{name}", f"one of {sorted(allowed)}", name
            )


def _read_int(shape: dict, name: str, maximum: int) -> int:
    value = shape.get(name)
    if type(value) is not int or not 1 <= value <= maximum:
        raise errors.InvalidFieldError(
            f"shape.{name}", f"an integer from 1 to {maximum}", value
        )
    return value


def _read_number(
    body: dict, name: str, default: float | None, maximum: int
) -> Any:
    value = body.get(name, default)
    if value is None and default is None:
        return None
    if type(value) not in (int, float) or not 0 < value <= maximum:
        raise errors.InvalidFieldError(
            name, f"a number over 0, up to {maximum}", value
        )
    return value


def _read_bool(body: dict, name: str) -> bool:
    value = body.get(name, False)
    if type(value) is not bool:
        raise errors.InvalidFieldError(name, "true or false", value)
    return value


def _read_choice(
    body: dict,
    name: str,
    choices: Callable[[str], Any],
    default: str,
    prefix: str = "",
) -> Any:
    value = body.get(name, default)
    try:
        return choices(value)
    except ValueError:
        names = [str(member) for member in _list_members(choices)]
        raise errors.InvalidFieldError(
            prefix + name, f"one of {names}", value
        ) from None


def _list_members(choices: Any) -> list[enum.StrEnum]:
    return list(choices)
