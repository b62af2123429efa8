import hypothesis
from hypothesis import strategies
import pytest

from bronzehold.connection import forward_codec as codec
from bronzehold.connection import platform_session
from bronzehold.core import clock
from bronzehold.core import errors
from bronzehold.core import routes
from bronzehold.core import statements
from bronzehold.proto import forward_pb2 as pb

POSITION = statements.LogPosition(term=3, number=1207)
COMPLETED = statements.Completed(
    body=b"ROW \xff\r\nCOMPLETE 7.1f3\r\n",
    state=statements.TransactionState.OPEN,
    position=POSITION,
)
FRESHNESS = [
    routes.Latest(),
    routes.Bounded(max_age_s=1.5),
    routes.OwnWrites(max_age_s=2.5),
]


def _call(statement, **fields):
    route = routes.Route(
        name="r",
        database="d",
        service="s",
        freshness=fields.pop("freshness", routes.Latest()),
        timeout_s=3.0,
        target_latency_s=0.3,
        priority=2,
    )
    return codec.Call(
        request=statements.Request(
            id="5c0e", text="READ \xe9", statement=statement, arrived=1.0
        ),
        route=route,
        deadline=clock.now() + 2.0,
        **fields,
    )


@pytest.mark.parametrize("freshness", FRESHNESS)
@pytest.mark.parametrize(
    "statement", [statements.Read(), statements.Write(), statements.Commit()]
)
def test_statement_keeps_its_text_and_route(statement, freshness):
    session = platform_session.PlatformSession(name="p/1")
    call = _call(statement, freshness=freshness, block=pb.FIRST, writes=True)
    packed = codec.encode_call(call, session)
    request = codec.parse_request(packed.SerializeToString())
    decoded = codec.decode_call(request, clock.now())
    assert decoded.request.text == call.request.text
    assert decoded.request.id == call.request.id
    assert decoded.request.statement == statement
    assert decoded.route == call.route
    assert (decoded.block, decoded.writes) == (pb.FIRST, True)
    assert decoded.deadline <= call.deadline + 0.01


def test_prepared_statement_keeps_the_blanks_at_its_end():
    """Guards against UNASKED: data lost the blanks at its end."""
    session = platform_session.PlatformSession(name="p/1")
    session.names["s1"] = platform_session.Prepared(
        writes=True, shape="q2c", shared_name="r1"
    )
    statement = statements.Execute(name="s1", arguments="1a4 SHRED     ")
    call = _call(statement, prepared_name="r1", writes=True)
    packed = codec.encode_call(call, session)
    request = codec.parse_request(packed.SerializeToString())
    decoded = codec.decode_call(request, clock.now())
    assert decoded.request.statement.arguments == statement.arguments


def test_session_is_sent_with_each_statement():
    session = platform_session.PlatformSession(name="p/1")
    session.values["tenant"] = "a \xff"
    session.record_write(POSITION)
    prepare = statements.Prepare(name="s1", writes=True, shape="q2c")
    stored = platform_session.make_prepared(prepare)
    session.names["s1"] = stored
    call = _call(
        statements.Execute(name="s1", arguments="1a4 x"),
        prepared_name=stored.shared_name,
    )
    request = codec.encode_call(call, session)
    other = platform_session.PlatformSession(name="")
    codec.apply_session(request, other)
    assert other.name == session.name
    assert other.values == session.values
    assert other.last_write == POSITION
    assert other.find_prepared(stored.shared_name) == stored
    decoded = codec.decode_call(request, 1.0)
    assert decoded.request.statement.arguments == "1a4 x"


@pytest.mark.parametrize(
    "failure",
    [
        errors.Overloaded(endpoint="e", expected_ms=7),
        errors.OutcomeUnknown(endpoint="e", reason="cut"),
        errors.TransactionLost(endpoint="e"),
        errors.EndpointError(
            endpoint="e",
            reason=statements.RefusalReason.READ_ONLY,
            detail="i-1",
        ),
        errors.InFailedTransaction(),
    ],
)
def test_failure_keeps_its_type_and_fields(failure):
    reply = codec.Reply(
        state=statements.TransactionState.FAILED,
        endpoint="e",
        last_write=None,
        failure=failure,
    )
    packed = codec.encode_reply(reply).SerializeToString()
    assert codec.decode_reply(packed) == reply


def test_answer_is_forwarded_unchanged():
    reply = codec.Reply(
        state=statements.TransactionState.OPEN,
        endpoint="e",
        last_write=POSITION,
        answer=COMPLETED,
    )
    packed = codec.encode_reply(reply).SerializeToString()
    assert codec.decode_reply(packed) == reply


@hypothesis.given(body=strategies.binary(max_size=200))
def test_garbage_is_refused_with_an_error_of_its_own(body):
    for decode in (codec.decode_reply, _decode_request):
        try:
            decode(body)
        except codec.CodecError:
            continue


def _decode_request(body):
    request = codec.parse_request(body)
    codec.apply_session(request, platform_session.PlatformSession(name=""))
    return codec.decode_call(request, 1.0)


@pytest.mark.parametrize(
    "fields",
    [
        {"failure": "NoSuchFailure", "failure_fields": "{}"},
        {"failure": "NoPrimary", "failure_fields": "{}"},
        {"failure": "NoPrimary", "failure_fields": "["},
        {"failure": "NoPrimary", "failure_fields": "[1]"},
        {"failure": "NoPrimary", "failure_fields": "[" * 4000},
        {"failure": "EndpointError", "failure_fields": '{"reason": "odd"}'},
        {"state": 9},
    ],
)
def test_invalid_reply_is_refused(fields):
    with pytest.raises(codec.CodecError):
        codec.decode_reply(pb.Reply(**fields).SerializeToString())
