import contextlib
import socket

import pytest

from bronzehold.core import errors
from bronzehold.core import ports
from bronzehold.core import statements
from bronzehold.platform import wire


def _parse(text: bytes) -> statements.Statement:
    return wire.parse_query(b"QUERY 5c0e " + text, 0.0).statement


@pytest.mark.parametrize(
    ("text", "statement"),
    [
        (b"READ 1a4", statements.Read()),
        (b"WRITE 1a4 some data", statements.Write()),
        (b"BEGIN", statements.Begin(read_only=False)),
        (b"BEGIN READ", statements.Begin(read_only=True)),
        (b"COMMIT", statements.Commit()),
        (b"ROLLBACK", statements.Rollback()),
        (b"SET a b c", statements.SetValue(name="a", value="b c")),
        (
            b"PARSE s1 WRITE q2c",
            statements.Prepare(name="s1", writes=True, shape="q2c"),
        ),
        (
            b"EXECUTE s1 1a4 x y",
            statements.Execute(name="s1", arguments="1a4 x y"),
        ),
        (b"DEALLOC s1", statements.Deallocate(name="s1")),
    ],
)
def test_each_statement_is_decoded(text, statement):
    assert _parse(text) == statement


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"READ",
        b"WRITE a",
        b"COMMIT now",
        b"BEGIN WRITE",
        b"STATUS",
        b"EXECUTE s1 ",
    ],
)
def test_unknown_statement_is_invalid(text):
    assert isinstance(_parse(text), statements.Invalid)


@pytest.mark.parametrize("line", [b"", b"GET / HTTP/1.1", b"QUERY"])
def test_line_without_query_raises_protocol_error(line):
    with pytest.raises(wire.ProtocolError):
        wire.parse_query(line, 0.0)


def test_every_byte_value_passes_through_unchanged():
    data = bytes(range(32, 256))
    req = wire.parse_query(b"QUERY 5c0e WRITE 1a4 " + data, 0.0)
    line = wire.encode_command(statements.ForwardStatement(request=req))
    assert line == b"QUERY 5c0e WRITE 1a4 " + data + b"\r\n"


def test_prepared_statement_is_renamed_and_position_is_prefixed():
    req = wire.parse_query(b"QUERY 5c0e EXECUTE s1 1a4", 0.0)
    line = wire.encode_command(
        statements.ForwardStatement(
            request=req,
            min_position=statements.LogPosition(term=3, number=1207),
            prepared_name="r1",
        )
    )
    assert line == b"QUERY 5c0e SINCE 3.1207 EXECUTE r1 1a4\r\n"


@pytest.mark.parametrize(
    "fields",
    [b"", b" 1a4", b" 1a4 ", b" 1a4 SHRED     ", b" 1a4   a  b  ", b"  x"],
)
def test_prepared_statement_keeps_every_blank_of_its_fields(fields):
    """Guards against UNASKED: data lost the blanks at its end."""
    req = wire.parse_query(b"QUERY 5c0e EXECUTE s1" + fields, 0.0)
    line = wire.encode_command(
        statements.ForwardStatement(request=req, prepared_name="r1")
    )
    assert line == b"QUERY 5c0e EXECUTE r1" + fields + b"\r\n"


def _reader(data: bytes, *, close: bool = True) -> wire.LineReader:
    local_sock, remote_sock = socket.socketpair()
    remote_sock.sendall(data)
    if close:
        remote_sock.close()
    local_sock.settimeout(2.0)
    return wire.LineReader(sock=local_sock)


def test_answer_body_contains_received_bytes():
    reader = _reader(b"ROW a b\r\nCOMPLETE 7.1\r\nREADY T 3.9\r\n")
    answer = wire.read_answer(reader)
    assert answer.body == b"ROW a b\r\nCOMPLETE 7.1\r\n"
    assert answer.state is statements.TransactionState.OPEN
    assert answer.position == statements.LogPosition(term=3, number=9)


@pytest.mark.parametrize("length", range(0, 38, 3))
def test_truncated_answer_raises(length):
    whole = b"ROW a b\r\nCOMPLETE 7.1\r\nREADY I 3.9\r\n"
    with pytest.raises((ports.TransportError, OSError)):
        wire.read_answer(_reader(whole[: min(length, len(whole) - 1)]))


def test_line_without_end_is_limited_in_length():
    local_sock, remote_sock = socket.socketpair()
    remote_sock.settimeout(0.2)
    local_sock.settimeout(1.0)
    reader = wire.LineReader(sock=local_sock)

    # Without the limit, a peer that never ends its line would fill the memory.
    def send_more() -> float:
        with contextlib.suppress(TimeoutError):
            remote_sock.send(b"x" * 65536)
        return 1.0

    remote_sock.send(b"x")
    with pytest.raises(wire.ProtocolError):
        reader.read_line(send_more)


@pytest.mark.parametrize(
    ("failure", "code"),
    [
        (errors.Overloaded(endpoint="e", expected_ms=1), "BUSY"),
        (errors.NoPrimary(group="g"), "BUSY"),
        (errors.RateLimited(workspace="w", retry_after_ms=250), "BUSY"),
        (errors.NoFreshEndpoint(group="g"), "LAGGING"),
        (errors.TransactionLost(endpoint="e"), "ABORTED"),
        (errors.OutcomeUnknown(endpoint="e", reason="w"), "INDOUBT"),
        (errors.TimedOut(endpoint="e", waited_ms=1), "TIMEOUT"),
        (errors.AnswerCut(endpoint="e"), "FAILED"),
        (errors.ServiceUnknown(service="s"), "NODATABASE"),
        (errors.NameMissing(kind="statement", name="s"), "NOSTMT"),
        (errors.InFailedTransaction(), "MALFORMED"),
    ],
)
def test_not_executed_code_is_never_sent_for_unknown_outcome(failure, code):
    # These codes promise that the statement had no effect. A caller that relies
    # on the promise and repeats the statement would execute it twice.
    assert wire.encode_error(failure).split(b" ")[1].decode() == code
    not_executed_codes = {"BUSY", "ABORTED", "LAGGING", "READONLY"}
    if errors.report(failure).outcome is errors.Outcome.UNKNOWN:
        assert code not in not_executed_codes


ODD_NUMBERS = ["", "-1", "\u00b2", "9" * 19, "9" * 5000, "1e9", "nan", " 1"]


@pytest.mark.parametrize("number", ODD_NUMBERS)
def test_position_with_an_odd_number_is_none(number):
    """Guards against LOST: an odd number ended the caller's session."""
    assert wire.parse_position(f"{number}.1") is None
    assert wire.parse_position(f"1.{number}") is None


@pytest.mark.parametrize("number", ODD_NUMBERS)
@pytest.mark.parametrize("index", [1, 3, 5, 6])
def test_status_with_an_odd_number_is_a_protocol_error(number, index):
    fields = ["replica", "3", "3.1209", "0", "12", "2", "17"]
    fields[index] = number
    with pytest.raises(wire.ProtocolError):
        wire.parse_status(" ".join(fields))


@pytest.mark.parametrize("lag", ["", "nan", "inf", "-1", "x"])
def test_status_with_an_odd_lag_is_a_protocol_error(lag):
    with pytest.raises(wire.ProtocolError):
        wire.parse_status(f"replica 3 3.1209 0 {lag} 2 17")


def test_status_is_parsed():
    assert wire.parse_status("replica 3 3.1209 4 12.5 2 17") == (
        statements.Status(
            leads=False,
            term=3,
            received=statements.LogPosition(term=3, number=1209),
            paused_term=4,
            lag_s=0.0125,
            busy_slots=2,
            connections=17,
        )
    )


def test_refusal_above_a_rate_limit_names_the_time_of_the_next_turn():
    failure = errors.RateLimited(workspace="w", retry_after_ms=250)
    assert wire.encode_error(failure) == (
        b"ERROR BUSY not run: w is over its rate limit for another 250 ms\r\n"
    )
