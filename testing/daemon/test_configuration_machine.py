"""Concurrent edits of the lists over an unreliable link, with polling hosts.

Guards against lost, duplicated or reordered versions in the history, and
against hosts that revert to an older version or confirm an outdated one.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
from testing.daemon import faketable

from cyclamenshelf_core import errors
from cyclamenshelf_daemon import configuration
from cyclamenshelf_daemon import configurationedit
from cyclamenshelf_daemon import configurationhistory

FAULTS = st.lists(
    st.sampled_from(["ok", "ok", "lost", "dropped", "held", "down"]),
    max_size=6,
)
RESTS = st.sampled_from(["ok", "ok", "ok", "down", "dropped"])
OPERATORS = st.sampled_from(["ann", "bob"])
HOSTS = st.sampled_from([0, 1])


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.fake = faketable.FakeTable()
        self.hosts = [
            configuration.Configuration(self.fake.client, self.fake.clock)
            for _ in range(2)
        ]
        self.read = {"ann": 0, "bob": 0}
        self.edits = []
        self.outcomes = {}
        self.last_versions = [0, 0]
        self.current_until_ms = {}

    def _count_versions(self, edit):
        return sum(
            (stored["plans"], stored["allowances"], stored["author"])
            == (edit.plans, edit.allowances, edit.author)
            for stored in self._list_history()
        )

    def _list_history(self):
        return [
            row["value"]
            for key, row in sorted(self.fake.table.rows.items())
            if key.startswith("config/history/")
        ]

    def _submit_edit(self, edit, script, rest):
        self.fake.script, self.fake.rest = script, rest
        before = self._count_versions(edit)
        try:
            written = configurationedit.write_lists(
                self.fake.client, self.fake.clock, {}, edit
            )
            self.outcomes[edit] = "written"
            assert self._count_versions(edit) == 1
            assert written.version == edit.base_version + 1
        except errors.ConfigurationConflictError as conflict:
            assert before == self._count_versions(edit) == 0
            assert conflict.current_version != edit.base_version
            self.outcomes[edit] = "conflict"
        except errors.StoreDownError as refusal:
            # Holds for this call only: an earlier write may be in transit.
            assert refusal.run == errors.Run.NOT_RUN
            assert before == self._count_versions(edit)
        except errors.CommandOutcomeUnknownError:
            pass
        self.fake.script, self.fake.rest = [], "ok"

    @stateful.rule(operator=OPERATORS)
    def read_current(self, operator):
        current = configurationhistory.read_current(self.fake.client)
        self.read[operator] = current.version if current else 0

    @stateful.rule(operator=OPERATORS, script=FAULTS, rest=RESTS)
    def apply_new_edit(self, operator, script, rest):
        texts = faketable.make_lists(len(self.edits) + 1)
        edit = configurationedit.Edit(self.read[operator], *texts, operator)
        self.edits.append(edit)
        self._submit_edit(edit, script, rest)

    @stateful.rule(script=FAULTS)
    def overtake_between_read_and_commit(self, script):
        texts = faketable.make_lists(len(self.edits) + 1)
        others = faketable.make_lists(len(self.edits) + 2)
        self.edits += [
            configurationedit.Edit(self.read["ann"], *texts, "ann"),
            configurationedit.Edit(self.read["bob"], *others, "bob"),
        ]
        first, second = self.edits[-2:]

        def run_concurrently():
            self._submit_edit(second, [], "ok")
            self.fake.script = list(script)

        self.fake.before_answer = run_concurrently
        self._submit_edit(first, [], "ok")
        self.fake.before_answer = None

    @stateful.precondition(lambda self: self.edits)
    @stateful.rule(data=st.data(), script=FAULTS, rest=RESTS)
    def repeat_edit(self, data, script, rest):
        edit = data.draw(st.sampled_from(self.edits))
        self._submit_edit(edit, script, rest)

    @stateful.rule()
    def deliver_held_writes(self):
        self.fake.deliver_held()

    @stateful.rule(host=HOSTS, down=st.booleans())
    def poll(self, host, down):
        self.fake.rest = "down" if down else "ok"
        configuration.refresh(self.hosts[host])
        self.fake.rest = "ok"

    @stateful.rule(host=HOSTS)
    def poll_with_a_late_answer(self, host):
        def run_concurrently():
            self.fake.deliver_held()
            configuration.refresh(self.hosts[host])

        self.fake.before_answer = run_concurrently
        configuration.refresh(self.hosts[host])

    @stateful.rule(duration_ms=st.sampled_from([500, 59_000, 61_000]))
    def wait(self, duration_ms):
        self._record_current_version()
        self.fake.now_ms += duration_ms

    @stateful.invariant()
    def history_is_unbroken_and_ends_with_the_current_version(self):
        versions = [stored["version"] for stored in self._list_history()]
        assert versions == list(range(1, len(versions) + 1))
        current = self.fake.table.rows.get("config/current")
        if versions:
            assert current["value"] == self._list_history()[-1]
        else:
            assert current is None

    @stateful.invariant()
    def written_edits_stay_and_conflicting_ones_never_appear(self):
        for edit, outcome in self.outcomes.items():
            expected = 1 if outcome == "written" else 0
            assert self._count_versions(edit) == expected

    @stateful.invariant()
    def versions_on_hosts_only_rise_and_match_the_history(self):
        history = self._list_history()
        for index, host in enumerate(self.hosts):
            version = host.lists.version
            assert version >= self.last_versions[index]
            self.last_versions[index] = version
            if version:
                stored = history[version - 1]
                assert host.stored.plans == stored["plans"]
                assert host.stored.allowances == stored["allowances"]

    @stateful.invariant()
    def confirmed_version_was_current_within_the_bound(self):
        self._record_current_version()
        for host in self.hosts:
            if configuration.is_confirmed(host):
                age = self.fake.now_ms - self.current_until_ms.get(
                    host.lists.version, -configuration.CONFIRM_BOUND_MS
                )
                assert age <= configuration.CONFIRM_BOUND_MS

    def _record_current_version(self):
        row = self.fake.table.rows.get("config/current")
        if row is not None:
            version = row["value"]["version"]
            self.current_until_ms[version] = self.fake.now_ms


ConfigurationMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40
)
TestConfiguration = ConfigurationMachine.TestCase
