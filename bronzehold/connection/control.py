"""The control calls that are asked of every endpoint: the endpoint contract.

Each is a SQL function over the ordinary protocol, with one text value as its
answer; docs/ENDPOINTS.md says what they map to. This is the one module that
knows their form.
"""

import json

from bronzehold.connection import client
from bronzehold.core import data

MARK_PARAMETER = "bronzehold.mark"
NOT_PRIMARY_SQLSTATE = "25006"
NOT_PRIMARY_MESSAGE = "this endpoint is not the primary"
REFUSED_SQLSTATE = "55000"
TOO_MANY_SQLSTATE = "53300"

loads = json.loads


def status_to_json(status: data.EndpointStatus) -> str:
    """Returns the text form of a status."""
    return json.dumps(
        {
            "role": status.role.value,
            "term": status.term,
            "log_term": status.log_term,
            "received": status.received,
            "applied": status.applied,
            "age": round(status.age, 4),
            "following": status.following,
            "history": [[s.term, s.fork] for s in status.history],
        }
    )


def status_from_json(text: str) -> data.EndpointStatus:
    """Reads a status from its text form."""
    fields = json.loads(text)
    return data.EndpointStatus(
        role=data.Role(fields["role"]),
        term=fields["term"],
        log_term=fields["log_term"],
        received=fields["received"],
        applied=fields["applied"],
        age=fields["age"],
        following=fields["following"],
        history=tuple(
            data.TermStart(term=term, fork=fork)
            for term, fork in fields["history"]
        ),
    )


def status(
    conn: client.Client, *, after: int, wait_ms: int
) -> data.EndpointStatus:
    """Asks for the status, once more than a position is held.

    Args:
        conn: An open connection to the endpoint.
        after: The position to wait beyond.
        wait_ms: The longest wait.

    Returns:
        The status at the time of the answer.
    """
    return status_from_json(
        conn.value(f"SELECT bronzehold_status({after}, {wait_ms})")
    )


def fence(conn: client.Client, term: int) -> data.EndpointStatus:
    """Makes the endpoint promise a term and refuse anything older."""
    return status_from_json(conn.value(f"SELECT bronzehold_fence({term})"))


def promote(conn: client.Client, term: int) -> data.EndpointStatus:
    """Makes the endpoint the primary of the term it has promised."""
    return status_from_json(conn.value(f"SELECT bronzehold_promote({term})"))


def follow(conn: client.Client, primary: str, term: int) -> data.EndpointStatus:
    """Makes the endpoint take the log of another."""
    return status_from_json(
        conn.value(f"SELECT bronzehold_follow('{primary}', {term})")
    )
