import pytest

from bronzehold.core import clock
from bronzehold.core import events
from bronzehold.process import drain
from bronzehold.process import open_connections
from bronzehold.process import shutdown as shutdown_lib
from bronzehold.process import timeline as timeline_lib


class FakeCaller:
    """A caller whose transaction or request ends at a given step."""

    def __init__(self, *, connections, ends_with):
        self._connections = connections
        self._ends_with = ends_with
        self.calls = []
        connections.add("c", self)

    def _call(self, name):
        self.calls.append(name)
        if name == self._ends_with:
            self._connections.serve("c")

    def serve(self):
        pass

    def stop(self):
        self._call("stop")

    def end(self):
        self._call("end")

    def busy(self):
        return True

    def report_cut(self, cause):
        self.calls.append(cause)
        return True


@pytest.fixture(name="run")
def _run():
    def run(ends_with):
        callers = open_connections.OpenConnections()
        caller = FakeCaller(connections=callers, ends_with=ends_with)
        timeline = timeline_lib.Timeline(proxy="p", zone="z")
        now = clock.now()
        drain.Drain(
            schedule=shutdown_lib.Schedule(
                unconditional_until=now,
                answer_by=now + 0.05,
                exit_at=now + 0.1,
            ),
            callers=callers,
            forwarded=open_connections.OpenConnections(),
            timeline=timeline,
            close_port=lambda: caller.calls.append("close port"),
        ).run(0.0)
        return caller.calls, timeline.entries_after(0)[-1].event

    return run


def test_stop_waits_for_a_caller_until_its_transaction_ends(run):
    calls, event = run("stop")
    assert calls == ["close port", "stop"]
    assert event == events.ProxyStopped(cut=0, ended=0)


def test_open_transaction_is_ended_before_the_exit(run):
    calls, event = run("end")
    assert (calls[0], calls[-1]) == ("close port", "end")
    assert event == events.ProxyStopped(cut=0, ended=1)


def test_request_without_an_answer_is_logged(run):
    """Guards against a silent cut: the log named no request (issue 28)."""
    calls, event = run("never")
    assert calls[-2:] == ["end", "the process exits"]
    assert event == events.ProxyStopped(cut=1, ended=1)


def test_schedule_ends_before_the_process_is_killed():
    schedule = drain.make_schedule(100.0, 6.0)
    assert schedule.unconditional_until == pytest.approx(103.0)
    assert schedule.answer_by < schedule.exit_at < 106.0
