"""The planner of tasks: room, order, gangs, data, preemption."""

import hypothesis
from hypothesis import strategies as st
import pytest
from testing.core import taskbuilders as builders

from cyclamenshelf_core import taskjobs
from cyclamenshelf_core import taskplan
from cyclamenshelf_core import taskspace


def plan(waiting, rooms, held=(), counts=None):
    return taskplan.plan(list(waiting), list(held), rooms, counts or {})


def list_starts(made):
    return {
        start.group.job_id: [worker for _, worker in start.placements]
        for start in made.starts
    }


def test_tasks_of_a_step_start_one_by_one_as_they_fit():
    job = builders.make_job("j", builders.make_step(5, 8))
    made = plan([builders.make_waiting(job)], builders.make_rooms(2, 2))
    assert len(made.starts[0].placements) == 4


def test_gang_starts_whole_or_not_at_all():
    # A part of a gang that starts alone waits and is then ended.
    job = builders.make_job("j", builders.make_step(5, 8, gang=True))
    assert not plan(
        [builders.make_waiting(job)], builders.make_rooms(2, 2)
    ).starts
    made = plan([builders.make_waiting(job)], builders.make_rooms(2, 3))
    assert len(made.starts[0].placements) == 5


def test_gang_of_one_rack_takes_one_rack():
    job = builders.make_job(
        "j", builders.make_step(2, 8, gang=True, same_rack=True)
    )
    rooms = builders.make_rooms(
        2, 2, w00=taskjobs.NOTHING, w10=builders.CAPACITY
    )
    made = plan([builders.make_waiting(job)], rooms)
    assert list_starts(made) == {"j": ["w10", "w11"]}


def test_task_waits_for_the_rack_of_its_data():
    job = builders.make_job("j", builders.make_step(1, 8, data_rack="r1"))
    rooms = builders.make_rooms(
        2, 1, w00=builders.CAPACITY, w10=taskjobs.NOTHING
    )
    assert not plan([builders.make_waiting(job)], rooms).starts
    late = builders.make_waiting(job, spare_ms=-1)
    assert list_starts(plan([late], rooms)) == {"j": ["w00"]}


def test_step_needs_its_label():
    job = builders.make_job("j", builders.make_step(1, label="r1"))
    made = plan([builders.make_waiting(job)], builders.make_rooms(2, 1))
    assert list_starts(made) == {"j": ["w10"]}


def test_spread_counts_tasks_of_earlier_occurrences():
    # The limit holds for all copies on a worker, whatever their occurrence.
    job = builders.make_job("j", builders.make_step(3, max_per_worker=1))
    made = plan(
        [builders.make_waiting(job)],
        builders.make_rooms(1, 3),
        counts={("j", 0, "w00"): 1},
    )
    assert sorted(list_starts(made)["j"]) == ["w01", "w02"]


def test_small_tasks_leave_whole_workers_free():
    job = builders.make_job("j", builders.make_step(1, 1))
    rooms = builders.make_rooms(
        1, 2, w01=builders.CAPACITY._replace(accelerators=3)
    )
    made = plan([builders.make_waiting(job)], rooms)
    assert list_starts(made) == {"j": ["w01"]}


def test_first_priority_stops_the_least_lost_work():
    urgent = builders.make_job("u", builders.make_step(1, 8), priority=0)
    low = builders.make_job("low", builders.make_step(2, 8), priority=2)
    held = [
        builders.make_held(low, "w00", 0, lost_ms=9_000),
        builders.make_held(low, "w01", 1, lost_ms=1_000),
    ]
    rooms = builders.make_rooms(
        1, 2, w00=taskjobs.NOTHING, w01=taskjobs.NOTHING
    )
    made = plan([builders.make_waiting(urgent)], rooms, held)
    assert [stop.task.index for stop in made.stops] == [1]


def test_room_that_is_being_made_is_not_made_twice():
    urgent = builders.make_job("u", builders.make_step(1, 8), priority=0)
    low = builders.make_job("low", builders.make_step(2, 8), priority=2)
    held = [
        builders.make_held(low, "w00", 0, stopping=True),
        builders.make_held(low, "w01", 1),
    ]
    rooms = builders.make_rooms(
        1, 2, w00=taskjobs.NOTHING, w01=taskjobs.NOTHING
    )
    made = plan([builders.make_waiting(urgent)], rooms, held)
    assert not made.stops


def test_room_made_for_a_group_is_held_for_it():
    urgent = builders.make_job("u", builders.make_step(1, 8), priority=0)
    low = builders.make_job("low", builders.make_step(1, 4), priority=2)
    held = [
        builders.make_held(
            builders.make_job("x", builders.make_step(1, 4)),
            "w00",
            stopping=True,
        )
    ]
    half = builders.CAPACITY._replace(accelerators=4)
    rooms = builders.make_rooms(1, 1, w00=half)
    made = plan(
        [builders.make_waiting(low), builders.make_waiting(urgent)],
        rooms,
        held,
    )
    assert not made.starts


def test_member_of_a_gang_is_stopped_with_all_others():
    urgent = builders.make_job("u", builders.make_step(1, 8), priority=0)
    gang = builders.make_job(
        "g", builders.make_step(2, 8, gang=True), priority=1
    )
    held = [builders.make_held(gang, f"w0{n}", n) for n in range(2)]
    rooms = builders.make_rooms(
        1, 2, w00=taskjobs.NOTHING, w01=taskjobs.NOTHING
    )
    made = plan([builders.make_waiting(urgent)], rooms, held)
    assert sorted(stop.task.index for stop in made.stops) == [0, 1]


@pytest.mark.parametrize(
    ("guaranteed", "victim_guaranteed", "stops"),
    [(True, False, 1), (True, True, 0), (False, False, 0)],
)
def test_guarantee_is_reclaimed_from_uncovered_jobs_only(
    guaranteed, victim_guaranteed, stops
):
    own = builders.make_job("own", builders.make_step(1, 8), priority=0)
    other = builders.make_job("other", builders.make_step(1, 8), priority=0)
    held = [builders.make_held(other, "w00", guaranteed=victim_guaranteed)]
    rooms = builders.make_rooms(1, 1, w00=taskjobs.NOTHING)
    made = plan(
        [builders.make_waiting(own, guaranteed=guaranteed)], rooms, held
    )
    assert len(made.stops) == stops


_steps = st.builds(
    builders.make_step,
    tasks=st.integers(1, 6),
    accelerators=st.sampled_from([0, 1, 2, 4, 8]),
    cpu_millis=st.sampled_from([500, 9_000, 17_000]),
    gang=st.booleans(),
    same_rack=st.booleans(),
    data_rack=st.sampled_from(["", "", "r0", "r1", "gone"]),
    label=st.sampled_from(["", "", "a", "r1", "none"]),
    max_per_worker=st.sampled_from([0, 0, 1, 2]),
)


@hypothesis.given(
    st.lists(
        st.tuples(_steps, st.integers(0, 2), st.integers(-5_000, 20_000)),
        min_size=1,
        max_size=12,
    ),
    st.lists(st.tuples(_steps, st.integers(0, 2), st.integers(0, 3))),
)
def test_no_plan_breaks_room_gang_label_or_spread(asked, placed):
    """Whatever waits and runs, starts fit beside what runs and is held."""
    rooms = builders.make_rooms(2, 2)
    names = sorted(rooms)
    held = []
    free = {name: rooms[name].free for name in names}
    for number, (step, priority, place) in enumerate(placed):
        job = builders.make_job(f"h{number}", step, priority=priority)
        name = names[place]
        if taskjobs.count_fitting(free[name], step.need) > 0:
            free[name] = taskjobs.subtract(free[name], step.need)
            held.append(builders.make_held(job, name))
    rooms = {name: rooms[name]._replace(free=free[name]) for name in names}
    jobs = {
        f"j{number}": builders.make_job(f"j{number}", step, priority=priority)
        for number, (step, priority, _) in enumerate(asked)
    }
    made = plan(
        [
            builders.make_waiting(jobs[f"j{number}"], spare_ms=spare_ms)
            for number, (_, _, spare_ms) in enumerate(asked)
        ],
        rooms,
        held,
    )
    for start in made.starts:
        job = jobs[start.group.job_id]
        step = job.steps[0]
        assert not step.gang or len(start.placements) == step.tasks
        used = [worker for _, worker in start.placements]
        for worker in used:
            free[worker] = taskjobs.subtract(free[worker], step.need)
            assert taskspace.is_allowed(rooms[worker], job, step)
            assert min(free[worker]) >= 0
            assert not step.max_per_worker or (
                used.count(worker) <= step.max_per_worker
            )
    running = {entry.task: entry for entry in held}
    assert len({stop.task for stop in made.stops}) == len(made.stops)
    for stop in made.stops:
        beneficiary = jobs[stop.beneficiary.job_id]
        assert running[stop.task].priority > beneficiary.priority


def make_lasting(job_id, **values):
    return builders.make_job(
        job_id, builders.make_step(1, 1, long_running=True, **values)
    )


@pytest.mark.parametrize(
    ("there", "new", "expected"),
    [
        ({"tail_target_ms": 50}, {"fills": True}, "w10"),
        ({"fills": True}, {"tail_target_ms": 50}, "w10"),
        ({"fills": True}, {"fills": True}, "w00"),
        ({"fills": True}, {}, "w00"),
    ],
)
def test_tasks_that_fill_and_tasks_that_serve_keep_apart(there, new, expected):
    # A task that fills can push the tail of one beside it over its target.
    first = make_lasting("first", **there)
    rooms = builders.make_rooms(2, 1, w00=taskjobs.Resources(9_000, 9_000, 7))
    step = first.steps[0]
    held = builders.make_held(
        first, "w00", fills=step.fills, serves=step.tail_target_ms > 0
    )
    made = plan(
        [builders.make_waiting(make_lasting("new", **new))], rooms, [held]
    )
    assert list_starts(made) == {"new": [expected]}


def test_tasks_of_one_decision_keep_apart():
    waiting = [
        builders.make_waiting(make_lasting("serves", tail_target_ms=50)),
        builders.make_waiting(make_lasting("fills", fills=True)),
    ]
    assert len(list_starts(plan(waiting, builders.make_rooms(1, 1)))) == 1


def test_tasks_that_fill_make_way_for_tasks_that_serve():
    # They hold every worker, so a task that serves could run nowhere.
    rooms = builders.make_rooms(2, 1)
    held = [
        builders.make_held(
            make_lasting(f"fills{name}", fills=True), name, fills=True
        )
        for name in rooms
    ]
    serving = builders.make_waiting(make_lasting("serves", tail_target_ms=50))
    made = plan([serving], rooms, held)
    assert not made.starts
    assert [stop.task for stop in made.stops] == [held[0].task]
    held[0] = held[0]._replace(stopping=True)
    assert not plan([serving], rooms, held).stops
