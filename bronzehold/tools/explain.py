"""Explains the outcome of a request from the logs of several processes.

The request's own events are printed with the related events shortly before
them and with the dependencies that its instance had lost and not regained.
"""

import collections.abc
import dataclasses
import json

# Events in this window around the end of a request are shown as possible
# causes; the request's own duration is added to the start of the window.
WINDOW_BEFORE_S = 4.0
WINDOW_AFTER_S = 0.2
NANOSECONDS_PER_SECOND = 1_000_000_000

# Events that add nothing to what the others show about a failure.
_IGNORED_EVENTS = frozenset({"EndpointListed"})
_REQUEST_EVENTS = frozenset({"RequestFailed", "RequestSlow", "RequestServed"})
_FORWARDED_EVENT = "ForwardedRequestFailed"
_HIDDEN_FIELDS = frozenset(
    {
        "asctime",
        "at_ns",
        "event",
        "instance",
        "level",
        "message",
        "sequence",
        "time",
        "zone",
    }
)

# Maps an event to the kind of dependency and whether it was lost (True) or
# regained (False).
_DEPENDENCY_EVENTS = {
    "EndpointFails": ("endpoint", True),
    "EndpointAnswers": ("endpoint", False),
    "PeerSilent": ("peer", True),
    "PeerSeen": ("peer", False),
    "PlatformAway": ("store", True),
    "PlatformBack": ("store", False),
    "PrimaryLost": ("primary", True),
    "PrimaryFound": ("primary", False),
}

# Explanation of each failure kind, and where to look next.
_FAILURE_MEANINGS = {
    "Overloaded": "not run: no connection or slot came free in time; look at "
    "bronzehold_wait_ms and bronzehold_connections of the endpoints tried",
    "NoPrimary": "not run: no primary was known or reachable; look for "
    "PrimaryLost, PromotionOrdered and PrimaryFound of the group",
    "NoFreshEndpoint": "not run: no endpoint was fresh enough; compare "
    "proof_age_ms with the age that the route allows",
    "Unreachable": "not run: no connection to the endpoint could be opened",
    "EndpointError": "the endpoint returned this error; it was passed on",
    "TransactionLost": "not committed: the endpoint became unreachable or was "
    "demoted before the commit was sent",
    "OutcomeUnknown": "the commit or write was sent and no answer was "
    "received; look at the log of the endpoint for the request's id",
    "TimedOut": "the endpoint did not answer within the statement's timeout",
    "AnswerCut": "the answer to a read was lost on every endpoint tried",
    "Stopping": "not run: the proxy that it was forwarded to was stopping and "
    "no other could take it",
    "MemoryShort": "not run: the proxy had no memory for the message, the "
    "session's values or the answer; look for LimitReached",
    "ServiceUnknown": "not run: no route for the database in this version",
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogEvent:
    """An event read from a log line.

    Attributes:
        at_s: Wall clock time of the process that logged it, in seconds.
        instance: Name of the instance that logged it.
        name: Name of the event.
        fields: Fields of the event, without those common to all events.
    """

    at_s: float
    instance: str
    name: str
    fields: dict[str, object]

    def format_line(self, since_s: float) -> str:
        """Returns the event as text, with its time relative to `since_s`."""
        shown = " ".join(f"{k}={v}" for k, v in self.fields.items() if v != "")
        return (
            f"{self.at_s - since_s:+8.3f} s  {self.instance:24} "
            f"{self.name} {shown}"
        )


def parse_lines(lines: collections.abc.Iterable[str]) -> list[LogEvent]:
    """Returns the events in log lines and skips lines without an event.

    Args:
        lines: Log lines; any text before the JSON object is ignored.
    """
    found = []
    for text in lines:
        _, brace, rest = text.partition("{")
        if not brace:
            continue
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        if not isinstance(fields, dict) or "event" not in fields:
            continue
        found.append(
            LogEvent(
                at_s=fields.get("at_ns", 0) / NANOSECONDS_PER_SECOND,
                instance=str(fields.get("instance", "")),
                name=str(fields["event"]),
                fields={
                    k: v for k, v in fields.items() if k not in _HIDDEN_FIELDS
                },
            )
        )
    return found


def explain(
    request: str, events: collections.abc.Sequence[LogEvent]
) -> list[str]:
    """Returns an explanation of a request's outcome, as lines of text.

    Args:
        request: Request id given by the caller, or a prefix of it.
        events: Events of all processes. Their clocks may differ, so times are
            comparable only within the process that served the request; use
            the group's terms to order the events of other processes.
    """
    own = [
        event
        for event in events
        if event.name in _REQUEST_EVENTS
        and str(event.fields.get("request", "")).startswith(request)
    ]
    if not own:
        return [
            f"no line for {request}: it was served in time, or its line "
            "was dropped (EventsNotLogged, LinesDropped)"
        ]
    out: list[str] = []
    for event in own:
        out += _explain_request(event, events)
    return out


def _explain_request(
    request_event: LogEvent, events: collections.abc.Sequence[LogEvent]
) -> list[str]:
    failure = str(request_event.fields.get("failure", ""))
    out = [request_event.format_line(request_event.at_s)]
    if failure:
        out.append(
            f"  {failure}: {_FAILURE_MEANINGS.get(failure, 'see the detail')}"
        )
    tried = str(request_event.fields.get("tried", ""))
    out += [f"  tried {part}" for part in tried.split(", ") if part]
    out += _explain_forwarding(request_event, events)
    out.append("  related events on the same instance or in the same group:")
    took_s = float(request_event.fields.get("took_ms", 0)) / 1000
    nearby = [
        event
        for event in events
        if _is_related(event, request_event)
        and -WINDOW_BEFORE_S - took_s
        <= event.at_s - request_event.at_s
        <= WINDOW_AFTER_S
    ]
    nearby.sort(key=lambda event: event.at_s)
    out += [f"  {event.format_line(request_event.at_s)}" for event in nearby]
    losses = [
        event
        for event in _unresolved_losses(request_event, events)
        if event not in nearby
    ]
    if losses:
        out.append("  lost earlier and not regained on this instance:")
        out += [
            f"  {event.format_line(request_event.at_s)}" for event in losses
        ]
    return out


def _explain_forwarding(
    request_event: LogEvent, events: collections.abc.Sequence[LogEvent]
) -> list[str]:
    """Returns what the proxy logged that the request was forwarded to."""
    via = request_event.fields.get("via")
    if not via:
        return []
    served = [
        event
        for event in events
        if event.name == _FORWARDED_EVENT
        and event.fields.get("request") == request_event.fields.get("request")
    ]
    return [
        f"  forwarded to {via}",
        *(f"  {event.format_line(request_event.at_s)}" for event in served),
    ]


def _unresolved_losses(
    request_event: LogEvent, events: collections.abc.Sequence[LogEvent]
) -> list[LogEvent]:
    """Returns the instance's earlier losses that had not been regained."""
    lost: dict[tuple[str, str], LogEvent] = {}
    for event in sorted(events, key=lambda event: event.at_s):
        if event.at_s > request_event.at_s or not _is_related(
            event, request_event
        ):
            continue
        if (
            event.instance != request_event.instance
            or event.name not in _DEPENDENCY_EVENTS
        ):
            continue
        kind, is_lost = _DEPENDENCY_EVENTS[event.name]
        dependency = str(
            event.fields.get("endpoint", event.fields.get("peer", ""))
        )
        if is_lost:
            lost.setdefault((kind, dependency), event)
        else:
            lost.pop((kind, dependency), None)
    return list(lost.values())


def _is_related(event: LogEvent, request_event: LogEvent) -> bool:
    if event.name in _REQUEST_EVENTS | _IGNORED_EVENTS | {_FORWARDED_EVENT}:
        return False
    group = event.fields.get("group")
    if group is not None:
        return group == request_event.fields.get("group")
    return event.instance in (
        request_event.instance,
        request_event.fields.get("via"),
    )
