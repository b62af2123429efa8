"""Control calls that every endpoint must support.

Each call is a SQL function that returns one text value; docs/ENDPOINTS.md
describes them. Their SQL and JSON forms are defined only in this module.
"""

import json

from bronzehold.connection import client
from bronzehold.core import data
from bronzehold.core import integers
from bronzehold.core import json_text

MARK_PARAMETER = "bronzehold.mark"
NOT_PRIMARY_SQLSTATE = "25006"
NOT_PRIMARY_MESSAGE = "this endpoint is not the primary"
REFUSED_SQLSTATE = "55000"
TOO_MANY_SQLSTATE = "53300"
# Above any real age; excludes infinity.
MAX_AGE_S = 1e12

loads = json.loads


def status_to_json(status: data.EndpointStatus) -> str:
    """Serializes a status as JSON."""
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
    """Parses a status from JSON.

    Raises:
        ValueError: The text is not a status.
    """
    fields = json_text.parse(text)
    match fields:
        case {
            "role": str(role),
            "term": int(term),
            "log_term": int(log_term),
            "received": int(received),
            "applied": int(applied),
            "age": int(age) | float(age),
            "following": str(following),
            "history": [*history],
        } if abs(age) < MAX_AGE_S and all(
            map(integers.is_valid, (term, log_term, received, applied))
        ):
            return data.EndpointStatus(
                role=data.Role(role),
                term=term,
                log_term=log_term,
                received=received,
                applied=applied,
                age=age,
                following=following,
                history=tuple(_term_start(start) for start in history),
            )
        case _:
            raise ValueError(f"status {text[:60]!r}")


def _term_start(fields: object) -> data.TermStart:
    match fields:
        case [int(term), int(fork)] if integers.is_valid(
            term
        ) and integers.is_valid(fork):
            return data.TermStart(term=term, fork=fork)
        case _:
            raise ValueError("the start of a term is not a pair of numbers")


def status(
    conn: client.Client, *, after: int, wait_ms: int
) -> data.EndpointStatus:
    """Waits until the log passes a position and returns the status.

    Args:
        conn: An open connection to the endpoint.
        after: The log position that must be exceeded.
        wait_ms: The maximum wait in milliseconds.

    Returns:
        The status at the end of the wait, also if the position was not passed.
    """
    return status_from_json(
        conn.value(f"SELECT bronzehold_status({after}, {wait_ms})")
    )


def fence(conn: client.Client, term: int) -> data.EndpointStatus:
    """Makes the endpoint promise a term and reject older ones."""
    return status_from_json(conn.value(f"SELECT bronzehold_fence({term})"))


def promote(conn: client.Client, term: int) -> data.EndpointStatus:
    """Promotes the endpoint to primary of the term it has promised."""
    return status_from_json(conn.value(f"SELECT bronzehold_promote({term})"))


def follow(conn: client.Client, primary: str, term: int) -> data.EndpointStatus:
    """Makes the endpoint replicate the log of another endpoint."""
    return status_from_json(
        conn.value(f"SELECT bronzehold_follow('{primary}', {term})")
    )
