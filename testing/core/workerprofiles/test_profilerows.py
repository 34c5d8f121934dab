"""Tests of the rows that keep what was learned."""

import pytest

from cyclamenshelf_core.workerprofiles import profilerows
from cyclamenshelf_core.workerprofiles import runestimates
from cyclamenshelf_core.workerprofiles import speeds


def test_rows_hold_what_was_learned():
    workers = {
        f"w{number:03}": profilerows.StoredSpeed(
            1_700_000_000_000 + number, speeds.Belief(-0.5, 100)
        )
        for number in range(450)
    }
    kinds = {
        runestimates.Kind("q", "image"): runestimates.Fit(3, 24, 25, 200, 201)
    }
    rows = profilerows.encode_rows(profilerows.Content(workers, kinds))
    assert len(rows) == 3
    assert max(map(len, rows)) < 10_000
    contents = [profilerows.decode_row(row) for row in rows]
    assert contents[0].kinds == kinds
    read = contents[0].workers | contents[1].workers | contents[2].workers
    assert read.keys() == workers.keys()
    assert read["w449"].started_ms == 1_700_000_000_449
    assert read["w449"].belief.mean == pytest.approx(-0.5)
    assert read["w449"].belief.precision == pytest.approx(100)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b'{"workers":3,"kinds":{}}',
        b'{"workers":[["w",1,"x",5],["w",1,1],["w",1,1,0],null]}',
        b'{"kinds":[["q","",0,0,0,0,0],["q","",1e300,0,0,0,0]]}',
        b'{"workers":[["w",1,99999999999,5]]}',
    ],
)
def test_malformed_row_only_costs_knowledge(value):
    # An exception would end the tenure of each owner that reads the row.
    assert profilerows.decode_row(value) == profilerows.Content({}, {})


def test_nothing_learned_still_makes_a_row():
    # Rows of an earlier owner would otherwise stay for ever.
    rows = profilerows.encode_rows(profilerows.Content({}, {}))
    assert profilerows.decode_row(rows[0]) == profilerows.Content({}, {})


def test_best_known_kind_of_long_runs_is_kept():
    # Sums of squares over many steps exceeded a limit meant for odd rows.
    times = runestimates.RunTimes()
    kind = runestimates.Kind("queue", "")
    for number in range(300):
        runestimates.record_run(times, kind, f"j{number}", 0, 600_000, 600_000)
        content = profilerows.Content({}, times.by_kind)
        (row,) = profilerows.encode_rows(content)
        assert kind in profilerows.decode_row(row).kinds


def test_factor_beyond_the_range_of_numbers_is_left_out():
    row = b'{"workers": [["w", 1, 10000000, 100]]}'
    assert not profilerows.decode_row(row).workers
