from bronzehold.request import comparison

NOW = 1000.0
USUAL = 1.0


def _observed(slowness=USUAL, **fields):
    defaults = {
        "responses": 100,
        "failed_share": 0.0,
        "outcomes": 100,
        "service_s": 0.018,
        "round_trip_s": 0.001,
        "probed_s": 0.001,
        "usual_s": {},
        "measured_at": NOW,
    }
    return comparison.Observation(slowness=slowness, **{**defaults, **fields})


def _marked(marks=None, now=NOW, **observations):
    marks = comparison.assess(observations, marks or {}, now)
    return {
        name: mark.cause
        for name, mark in marks.items()
        if mark.cause is not None
    }


def test_one_of_three_is_slow():
    marked = _marked(a=_observed(7.0), b=_observed(), c=_observed(1.2))
    assert marked == {"a": comparison.Cause.SLOW}


def test_unmeasured_siblings_count_as_usual():
    """All reads went to the nearest replica, so nothing is known of others."""
    unknown = _observed(responses=0, outcomes=0, measured_at=float("-inf"))
    marked = _marked(a=_observed(7.0), b=unknown)
    assert marked == {"a": comparison.Cause.SLOW}


def test_group_that_is_slow_as_a_whole_has_no_marks():
    assert not _marked(a=_observed(7.0), b=_observed(6.0), c=_observed(8.0))


def test_few_responses_decide_nothing():
    assert not _marked(a=_observed(7.0, responses=4), b=_observed())


def test_old_measurement_decides_nothing():
    old = NOW - comparison.KEEP_S - 1
    assert not _marked(a=_observed(7.0, measured_at=old), b=_observed())


def test_time_that_a_move_would_not_save_is_no_reason():
    """Statements of 1 ms that take 5 ms lose more on the way elsewhere."""
    assert not _marked(a=_observed(5.0, service_s=0.001), b=_observed())


def test_failing_endpoint_is_marked_against_its_siblings():
    marked = _marked(a=_observed(failed_share=0.46), b=_observed())
    assert marked == {"a": comparison.Cause.FAILING}
    everywhere = _observed(failed_share=0.46)
    assert not _marked(a=everywhere, b=everywhere), "the statements fail"


def test_quick_but_failing_sibling_does_not_make_others_slow():
    failing = _observed(0.1, failed_share=0.9)
    marked = _marked(a=_observed(2.6), b=failing, c=_observed(2.4))
    assert marked == {"b": comparison.Cause.FAILING}


def test_endpoint_known_from_slow_times_only_is_slow():
    """Its own past is slow too, so only its sibling tells."""
    fast = _observed(usual_s={"k": 0.030}, service_s=0.029)
    slow = _observed(usual_s={"k": 0.400}, service_s=0.200)
    assert _marked(a=slow, b=fast) == {"a": comparison.Cause.SLOW}


def test_far_endpoint_is_not_slow():
    """Names the load: a region at 180 ms, beside an endpoint at 1 ms."""
    near = _observed(usual_s={"k": 0.007}, service_s=0.006)
    far = _observed(usual_s={"k": 0.187}, service_s=0.006, round_trip_s=0.18)
    assert not _marked(far=far, near=near)
    constant = _observed(usual_s={"k": 0.046}, round_trip_s=0.046)
    assert not _marked(far=constant, near=near), "the least round trip is long"


def test_constant_durations_are_not_the_network_of_one_endpoint_only():
    """Guards against a mark that never ended: one was probed, one was not."""
    probed = _observed(usual_s={"k": 0.0114})
    other = _observed(usual_s={"k": 0.011}, round_trip_s=0.0105, probed_s=0.0)
    marks = comparison.assess({"a": _observed(7.0), "b": other}, {}, NOW - 10)
    marks = comparison.assess({"a": probed, "b": other}, marks, NOW)
    assert marks["a"].cause is None


def test_mark_is_held_and_ends_with_the_recovery():
    marks = comparison.assess({"a": _observed(7.0), "b": _observed()}, {}, NOW)
    good = {"a": _observed(1.1), "b": _observed()}
    soon = NOW + comparison.MIN_MARKED_S / 2
    marks = comparison.assess(good, marks, soon)
    assert marks["a"].cause is comparison.Cause.SLOW
    later = NOW + comparison.MIN_MARKED_S
    between = {"a": _observed(2.0), "b": _observed()}
    marks = comparison.assess(between, marks, later)
    assert marks["a"].cause is comparison.Cause.SLOW, "no flapping at the bound"
    marks = comparison.assess(good, marks, later)
    assert marks["a"].cause is None


def test_flapping_endpoint_is_marked_for_longer_each_time():
    marks, now, holds = {}, NOW, []
    for _ in range(7):
        bad = {"a": _observed(7.0, measured_at=now), "b": _observed()}
        marks = comparison.assess(bad, marks, now)
        holds.append(marks["a"].hold_s)
        now += marks["a"].hold_s
        good = {"a": _observed(measured_at=now), "b": _observed()}
        marks = comparison.assess(good, marks, now)
        now += 1.0
    assert holds == [1.0, 2.0, 4.0, 8.0, 16.0, 16.0, 16.0]


def test_single_endpoint_has_no_marks():
    assert not _marked(a=_observed(7.0, failed_share=0.9))


def test_trials_are_few_and_spaced():
    trials = comparison.Trials()
    taken = [
        read for read in range(1200) if trials.take("e", NOW + read * 0.001)
    ]
    assert 4 <= len(taken) <= 5, "not more often than the interval"
    slowly = sum(trials.take("f", NOW + read) for read in range(120))
    assert slowly == 120 // comparison.READS_PER_TRIAL
