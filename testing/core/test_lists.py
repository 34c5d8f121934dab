import hashlib

import hypothesis
from hypothesis import strategies as st
import pytest

from cyclamenshelf_core import errors
from cyclamenshelf_core import lists
from cyclamenshelf_core import model

HASH = hashlib.sha256(b"one").hexdigest()
PLANS = f"""\
accounts:
  shop:
    plan: large
    token_sha256: [{HASH}]
  desk:
    plan: large
    token_sha256: []
"""
ALLOWANCES = """\
plans:
  large:
    weight: 2
    max_queued_jobs: 10
    max_accelerators: 16
    request_rate_per_s: 5
    guarantees:
      - {workers: 2, accelerators: 8, within: rack}
"""


def parse_and_list_problems(plans=PLANS, allowances=ALLOWANCES):
    with pytest.raises(errors.InvalidListsError) as caught:
        lists.parse_lists(plans, allowances)
    return [str(problem) for problem in caught.value.problems]


def make_workers(racks, per_rack):
    return {
        f"w{rack}-{number}": model.Worker(
            f"w{rack}-{number}", "", "dc0", f"r{rack}", 8
        )
        for rack in range(racks)
        for number in range(per_rack)
    }


def test_valid_lists_are_parsed():
    parsed = lists.parse_lists(PLANS, ALLOWANCES, 7)
    assert parsed.version == 7
    assert parsed.accounts["shop"] == model.Account("shop", "large", (HASH,))
    assert parsed.plans["large"].guarantees == (
        model.Guarantee(2, 8, model.Within.RACK),
    )


def test_all_problems_of_both_lists_are_reported_with_their_lines():
    # Guards against parsing that stops at the first problem.
    plans = PLANS.replace("plan: large", "plan: lage", 1) + "  desk: {}\n"
    allowances = ALLOWANCES.replace("weight: 2", "wieght: 2").replace(
        "rack", "cell"
    )
    assert parse_and_list_problems(plans, allowances) == [
        "plans:8: accounts.desk: expected each key only once, got a duplicate "
        "of line 5",
        "allowances:3: plans.large.wieght: expected one of weight, "
        "max_queued_jobs, max_accelerators, request_rate_per_s, guarantees, "
        "got an unknown key",
        "allowances:2: plans.large.weight: expected a value, got nothing",
        "allowances:8: plans.large.guarantees[0].within: expected one of "
        "rack, data_centre, got 'cell'",
        "plans:3: accounts.shop.plan: expected a plan of the allowances "
        "(large), got 'lage'",
    ]


@pytest.mark.parametrize(
    ("allowances", "part"),
    [
        ("", "allowances:1: expected a mapping, got nothing"),
        ("plans: [", "allowances:1: expected YAML"),
        ("plans: &a {x: *a}", "aliases are not allowed"),
        ("plans: " + "[" * 500 + "]" * 500, "nested deeper than"),
        ("plans: {1: {}}", "expected a string as key"),
        ("plans: {a: !!python/name:os.system x}", "expected a plain value"),
        ("plans: {}\n---\nplans: {}", "expected YAML"),
        ("plans: {}\x00", "expected YAML"),
        ("#" * (lists.MAX_LIST_BYTES + 1), "expected at most 98304 bytes"),
        (ALLOWANCES.replace("weight: 2", "weight: 0"), "from 1 to 1000000"),
        (ALLOWANCES.replace("weight: 2", "weight: true"), "got True"),
        (ALLOWANCES.replace("tors: 16", "tors: 15"), "got 16 in total"),
        (ALLOWANCES.replace("large", "la rge"), "expected a name of 1 to 63"),
    ],
)
def test_invalid_allowances_are_rejected(allowances, part):
    # Guards against invalid lists that are accepted, and against documents
    # that exhaust the parser's memory or stack.
    assert any(
        part in text for text in parse_and_list_problems(allowances=allowances)
    )


def test_token_given_instead_of_its_hash_is_not_shown():
    # Guards against a leaked token: problems are logged and sent to operators.
    texts = parse_and_list_problems(PLANS.replace(HASH, "secret-token"))
    assert len(texts) == 1
    assert "secret" not in texts[0]


def test_token_of_two_accounts_is_rejected():
    # Guards against requests of one account that count as the other's:
    # authentication would find the first account for both.
    texts = parse_and_list_problems(PLANS.replace("[]", f"[{HASH}]"))
    assert texts == [
        "plans:7: accounts.desk.token_sha256[0]: expected a token hash that "
        "is listed only once, got one already listed for account shop"
    ]


@hypothesis.given(st.text(), st.text())
def test_any_text_parses_or_is_refused_with_problems(plans, allowances):
    # Another error type would end the thread that reads the configuration.
    try:
        lists.parse_lists(plans, allowances)
    except errors.InvalidListsError as error:
        assert error.problems


@hypothesis.given(st.data())
def test_damaged_lists_parse_or_are_refused_with_problems(data):
    start = data.draw(st.integers(0, len(ALLOWANCES)))
    end = data.draw(st.integers(start, start + 10))
    text = ALLOWANCES[:start] + data.draw(st.text()) + ALLOWANCES[end:]
    try:
        lists.parse_lists(PLANS, text)
    except errors.InvalidListsError as error:
        assert all(problem.line >= 1 for problem in error.problems)


def test_fleet_that_fits_all_guarantees_has_no_conflict():
    parsed = lists.parse_lists(PLANS, ALLOWANCES)
    assert lists.check_fleet(parsed, make_workers(2, 2)) == []


def test_conflicting_guarantees_are_reported_with_accounts_and_racks():
    parsed = lists.parse_lists(PLANS, ALLOWANCES)
    # Three workers fit only one guarantee of two workers. Equal shapes are
    # assigned in order of account name, so the second account gets none.
    conflicts = lists.check_fleet(parsed, make_workers(1, 3))
    assert [str(conflict) for conflict in conflicts] == [
        "account shop: guarantee 0 (2 workers x 8 accelerators in one rack) "
        "cannot be assigned: rack dc0/r0 taken by accounts desk"
    ]


def test_guarantee_larger_than_any_rack_is_reported():
    # Guards against a conflict that blames other accounts for a guarantee
    # that no rack can hold.
    parsed = lists.parse_lists(PLANS, ALLOWANCES)
    conflicts = lists.check_fleet(parsed, make_workers(4, 1))
    assert [conflict.groups for conflict in conflicts] == [(), ()]
    assert "no rack of the fleet is large enough" in str(conflicts[0])
