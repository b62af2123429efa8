import json

from bronzehold.tools import explain


def _line(at_s, event, instance="p1", **fields):
    body = {"at_ns": int(at_s * 1e9), "event": event, "instance": instance}
    return f" 12.5 {instance} " + json.dumps({**body, **fields})


LOG = [
    "not json",
    _line(9.0, "PrimaryLost", "p2", group="g", term=1, primary="a", why="x"),
    _line(9.5, "PrimaryLost", "p2", group="other", term=1, primary="b"),
    _line(9.6, "PlatformAway", why="TimeoutError"),
    _line(9.7, "PlatformAway", "p2", why="TimeoutError"),
    _line(1.0, "ConfigAdopted", revision=3),
    _line(
        10.0,
        "RequestFailed",
        request="5c0e7a",
        group="g",
        failure="NoPrimary",
        tried="a Unreachable +400, a AnswerCut +700",
        took_ms=800,
    ),
]


def test_a_request_is_shown_with_related_events_before_it():
    text = "\n".join(explain.explain("5c0e", explain.parse_lines(LOG)))
    assert "no primary was known or reachable" in text
    assert "tried a Unreachable +400" in text
    assert "-1.000 s  p2" in text
    assert "group=other" not in text
    assert text.count("PlatformAway") == 1
    assert "ConfigAdopted" not in text


def test_an_unknown_request_is_reported_to_have_no_line():
    (text,) = explain.explain("ffff", explain.parse_lines(LOG))
    assert "no line for ffff" in text


def test_a_dependency_lost_earlier_and_not_regained_is_shown():
    log = [
        _line(1.0, "PlatformAway", why="reset"),
        _line(1.0, "PeerSilent", peer="p2"),
        _line(2.0, "PeerSeen", peer="p2"),
        *LOG,
    ]
    text = "\n".join(explain.explain("5c0e", explain.parse_lines(log)))
    _, losses = text.split("not regained on this instance")
    assert "PlatformAway why=reset" in losses
    assert "PeerSilent" not in losses


def test_a_forwarded_request_is_followed_to_the_proxy_that_served_it():
    log = [
        *LOG[:-1],
        _line(
            9.9,
            "ForwardedRequestFailed",
            "p2",
            request="5c0e7a",
            group="g",
            failure="NoPrimary",
        ),
        _line(9.8, "PeerSilent", "p2", peer="p3"),
        _line(
            10.0,
            "RequestFailed",
            request="5c0e7a",
            group="g",
            failure="NoPrimary",
            tried="",
            via="p2",
            took_ms=800,
        ),
    ]
    text = "\n".join(explain.explain("5c0e", explain.parse_lines(log)))
    assert "forwarded to p2" in text
    assert text.count("ForwardedRequestFailed") == 1
    assert "PeerSilent peer=p3" in text
