"""Parsing and validation of the operators' two lists."""

import re
from typing import NamedTuple

from cyclamenshelf_core import documents
from cyclamenshelf_core import errors
from cyclamenshelf_core import guarantees as guarantee_assignment
from cyclamenshelf_core import model

PLANS = "plans"
ALLOWANCES = "allowances"
# A transaction contains both lists twice, each up to three times as long when
# encoded as JSON, and must stay below 2 MiB. The lists of 57 teams take about
# 20 KB.
MAX_LIST_BYTES = 96 * 1024
_MAX_NUMBER = 1_000_000
_MAX_GUARANTEES = 64
_MAX_GUARANTEE_WORKERS = 1_024
_MAX_ACCELERATORS_PER_WORKER = 64
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_SHA256 = re.compile(r"[0-9a-f]{64}")
_PLAN_INT_FIELDS = (
    "weight",
    "max_queued_jobs",
    "max_accelerators",
    "request_rate_per_s",
)
_WITHIN = (str(model.Within.RACK), str(model.Within.DATA_CENTRE))


class FleetConflict(NamedTuple):
    """A guarantee that cannot be assigned together with all the others.

    Attributes:
        account: The account whose guarantee is not assigned.
        index: Index of the guarantee in the plan's list, from 0.
        groups: Racks or data centres that are large enough for it if no
            other guarantee is assigned there.
        competitors: Accounts with guarantees assigned in these groups.
    """

    account: str
    index: int
    guarantee: model.Guarantee
    groups: tuple[str, ...]
    competitors: tuple[str, ...]

    def __str__(self) -> str:
        shape = (
            f"{self.guarantee.workers} workers x "
            f"{self.guarantee.accelerators} accelerators"
        )
        kind = self.guarantee.within.replace("_", " ")
        text = f"account {self.account}: guarantee {self.index} ({shape} "
        text += f"in one {kind}) cannot be assigned: "
        if not self.groups:
            return text + f"no {kind} of the fleet is large enough"
        text += f"{kind} {', '.join(self.groups)}"
        if self.competitors:
            text += f" taken by accounts {', '.join(self.competitors)}"
        return text


def parse_lists(
    plans_text: str, allowances_text: str, version: int = 0
) -> model.Lists:
    """Return the validated lists.

    Args:
        plans_text: YAML with the plan of each client account.
        allowances_text: YAML with the limits and guarantees of each plan.
        version: Version of the stored configuration.

    Raises:
        errors.InvalidListsError: The lists have problems; it holds all of
            them, from both lists.
    """
    problems: documents.Problems = []
    allowances = documents.load_document(
        ALLOWANCES, allowances_text, MAX_LIST_BYTES, problems
    )
    accounts = documents.load_document(
        PLANS, plans_text, MAX_LIST_BYTES, problems
    )
    plans = _parse_plans(allowances, problems)
    parsed = _parse_accounts(accounts, plans, allowances is not None, problems)
    if problems:
        raise errors.InvalidListsError(problems)
    return model.Lists(version=version, plans=plans, accounts=parsed)


def check_fleet(
    lists: model.Lists, workers: dict[str, model.Worker]
) -> list[FleetConflict]:
    """Return the guarantees that cannot be assigned with all the others.

    Args:
        lists: The validated lists.
        workers: Workers of the host list, by id.
    """
    assignment = guarantee_assignment.assign_guarantees(lists, workers)
    return [
        _describe_conflict(lists, workers, assignment, key)
        for key in assignment.unplaced
    ]


def _describe_conflict(
    lists: model.Lists,
    workers: dict[str, model.Worker],
    assignment: guarantee_assignment.Assignment,
    key: guarantee_assignment.GuaranteeKey,
) -> FleetConflict:
    guarantee = model.get_plan(lists, key.account).guarantees[key.index]
    sizes: dict[tuple[str, ...], int] = {}
    for worker in workers.values():
        if worker.accelerators >= guarantee.accelerators:
            group = guarantee_assignment.get_group(worker, guarantee.within)
            sizes[group] = sizes.get(group, 0) + 1
    groups = {
        group for group, size in sizes.items() if size >= guarantee.workers
    }
    competitors = {
        other_key.account
        for other_key, worker_ids in assignment.assigned.items()
        for worker_id in worker_ids
        if guarantee_assignment.get_group(workers[worker_id], guarantee.within)
        in groups
    }
    return FleetConflict(
        key.account,
        key.index,
        guarantee,
        tuple(sorted("/".join(group) for group in groups)),
        tuple(sorted(competitors)),
    )


def _parse_plans(
    root: documents.Item | None, problems: documents.Problems
) -> dict[str, model.Plan]:
    fields = documents.read_fields(root, ("plans",), (), problems)
    plans = documents.read_mapping(fields.get("plans"), problems)
    return {
        name: _parse_plan(_check_name(name, item, problems), item, problems)
        for name, item in plans.items()
    }


def _check_name(
    name: str, item: documents.Item, problems: documents.Problems
) -> str:
    if not _NAME.fullmatch(name):
        expected = "a name of 1 to 63 letters, digits, '.', '_' or '-'"
        documents.add_problem(
            problems, item, expected, documents.format_value(name)
        )
    return name


def _parse_plan(
    name: str, item: documents.Item, problems: documents.Problems
) -> model.Plan:
    fields = documents.read_fields(
        item, _PLAN_INT_FIELDS, ("guarantees",), problems
    )
    numbers = {
        field: documents.read_int(fields.get(field), 1, _MAX_NUMBER, problems)
        for field in _PLAN_INT_FIELDS
    }
    guarantees_item = fields.get("guarantees")
    entries = documents.read_list(guarantees_item, problems)
    if guarantees_item is not None and len(entries) > _MAX_GUARANTEES:
        documents.add_problem(
            problems,
            guarantees_item,
            f"at most {_MAX_GUARANTEES} guarantees",
            str(len(entries)),
        )
    problems_before = len(problems)
    guarantees = tuple(_parse_guarantee(entry, problems) for entry in entries)
    total = sum(
        guarantee.workers * guarantee.accelerators for guarantee in guarantees
    )
    if (
        guarantees_item is not None
        and len(problems) == problems_before
        and total > numbers["max_accelerators"]
    ):
        # Guarantees above the plan's limit could never be used in full.
        documents.add_problem(
            problems,
            guarantees_item,
            "no more accelerators than max_accelerators "
            f"({numbers['max_accelerators']})",
            f"{total} in total",
        )
    return model.Plan(name=name, guarantees=guarantees, **numbers)


def _parse_guarantee(
    item: documents.Item, problems: documents.Problems
) -> model.Guarantee:
    fields = documents.read_fields(
        item, ("workers", "accelerators", "within"), (), problems
    )
    return model.Guarantee(
        documents.read_int(
            fields.get("workers"), 1, _MAX_GUARANTEE_WORKERS, problems
        ),
        documents.read_int(
            fields.get("accelerators"),
            1,
            _MAX_ACCELERATORS_PER_WORKER,
            problems,
        ),
        model.Within(
            documents.read_choice(fields.get("within"), _WITHIN, problems)
        ),
    )


def _parse_accounts(
    root: documents.Item | None,
    plans: dict[str, model.Plan],
    plans_loaded: bool,
    problems: documents.Problems,
) -> dict[str, model.Account]:
    fields = documents.read_fields(root, ("accounts",), (), problems)
    items = documents.read_mapping(fields.get("accounts"), problems)
    accounts: dict[str, model.Account] = {}
    accounts_by_hash: dict[str, str] = {}
    for name, item in items.items():
        _check_name(name, item, problems)
        account = documents.read_fields(
            item, ("plan", "token_sha256"), (), problems
        )
        plan = account.get("plan")
        if plan is not None and plans_loaded:
            _check_plan_listed(plan, plans, problems)
        hashes = _parse_token_hashes(
            account.get("token_sha256"), name, accounts_by_hash, problems
        )
        accounts[name] = model.Account(
            name, plan.value if plan is not None else "", hashes
        )
    return accounts


def _check_plan_listed(
    item: documents.Item,
    plans: dict[str, model.Plan],
    problems: documents.Problems,
) -> None:
    if not isinstance(item.value, str) or item.value not in plans:
        names = ", ".join(sorted(plans)[:10]) or "none is listed"
        documents.add_problem(
            problems, item, f"a plan of the allowances ({names})"
        )


def _parse_token_hashes(
    item: documents.Item | None,
    account: str,
    accounts_by_hash: dict[str, str],
    problems: documents.Problems,
) -> tuple[str, ...]:
    hashes = []
    for entry in documents.read_list(item, problems):
        value = entry.value
        if not isinstance(value, str) or not _SHA256.fullmatch(value):
            # The value may be a plain token entered by mistake, so the message
            # does not contain it.
            documents.add_problem(
                problems,
                entry,
                "64 lower-case hex digits (SHA-256 of a token)",
                f"a {type(value).__name__} that is not shown",
            )
        elif value in accounts_by_hash:
            documents.add_problem(
                problems,
                entry,
                "a token hash that is listed only once",
                f"one already listed for account {accounts_by_hash[value]}",
            )
        else:
            accounts_by_hash[value] = account
            hashes.append(value)
    return tuple(hashes)
