"""Parsing of the operators' two lists."""

from typing import Any

import yaml

from cyclamenshelf_core import errors
from cyclamenshelf_core import model


def parse_lists(
    plans_text: str, allowances_text: str, version: int = 0
) -> model.Lists:
    """Return the checked lists.

    Args:
        plans_text: YAML that gives each client account its plan.
        allowances_text: YAML that gives each plan what it may use.
        version: Version of the stored configuration.

    Raises:
        errors.InvalidListsError: Either list does not parse or breaks a rule.
    """
    try:
        allowances = yaml.safe_load(allowances_text) or {}
        accounts = yaml.safe_load(plans_text) or {}
        plans = {
            name: _parse_plan(name, fields)
            for name, fields in allowances["plans"].items()
        }
        return model.Lists(
            version=version,
            plans=plans,
            accounts={
                name: model.Account(
                    name, fields["plan"], tuple(fields["token_sha256"])
                )
                for name, fields in accounts["accounts"].items()
            },
        )
    except (yaml.YAMLError, KeyError, TypeError, AttributeError) as error:
        raise errors.InvalidListsError([str(error)]) from error


def _parse_plan(name: str, fields: dict[str, Any]) -> model.Plan:
    return model.Plan(
        name=name,
        weight=fields["weight"],
        max_queued_jobs=fields["max_queued_jobs"],
        max_accelerators=fields["max_accelerators"],
        request_rate_per_s=fields["request_rate_per_s"],
        guarantees=tuple(
            model.Guarantee(
                guarantee["workers"],
                guarantee["accelerators"],
                model.Within(guarantee["within"]),
            )
            for guarantee in fields.get("guarantees", [])
        ),
    )
