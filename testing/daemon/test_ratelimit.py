import types

from cyclamenshelf_core import model
from cyclamenshelf_daemon import ratelimit


def test_rate_admits_a_burst_of_one_second_then_the_rate(manual_clock):
    plans = {
        name: model.Plan(name, 1, 9, 9, rate, ())
        for name, rate in (("small", 10), ("none", 0))
    }
    accounts = {
        name: model.Account(name, plan, ())
        for name, plan in (("a", "small"), ("b", "small"), ("c", "none"))
    }
    lists = types.SimpleNamespace(accounts=accounts, plans=plans)
    admit = ratelimit.make_local_admit(lambda: lists, manual_clock.clock)
    assert sum(admit("a") for _ in range(50)) == 10
    admitted = 0
    for _ in range(100):
        manual_clock.move(50)
        admitted += sum(admit("a") for _ in range(5))
    assert admitted == 50
    # Another account's use takes nothing from this one.
    assert sum(admit("b") for _ in range(50)) == 10
