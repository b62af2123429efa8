"""Control calls: simple queries that call a bronzehold_ function.

They fence, promote or observe an endpoint, or inject faults into it.
"""

import re

from bronzehold.connection import control
from bronzehold.core import data
from bronzehold.standin import endpoint as endpoint_lib
from bronzehold.standin import faults
from bronzehold.standin import results
from bronzehold.standin import statement_errors

_CONTROL_CALL = re.compile(
    r"^\s*SELECT\s+bronzehold_(\w+)\((.*)\)\s*;?\s*$", re.S | re.I
)


def is_control_call(text: str) -> bool:
    """Returns whether a query is a control call."""
    return _CONTROL_CALL.match(text) is not None


def run(endpoint: endpoint_lib.Endpoint, text: str) -> results.Result:
    """Runs a control call.

    Args:
        endpoint: The endpoint.
        text: The query.

    Returns:
        One row with the answer of the call.

    Raises:
        StatementError: The endpoint refused the call or it does not exist.
    """
    call_match = _CONTROL_CALL.match(text)
    name = call_match[1].lower()
    try:
        value = _call(endpoint, name, call_match[2])
    except endpoint_lib.RefusedError as exc:
        raise statement_errors.StatementError(
            control.REFUSED_SQLSTATE, str(exc)
        ) from exc
    return results.Result(tag="SELECT 1", names=(name,), rows=[(value,)])


def _call(endpoint: endpoint_lib.Endpoint, name: str, args_text: str) -> str:
    args = [arg.strip().strip("'") for arg in args_text.split(",")]
    match name:
        case "status":
            wait_s = float(args[1]) * data.MILLISECOND
            status = endpoint.wait_received(int(args[0]), wait_s)
            return control.status_to_json(status)
        case "fence":
            return control.status_to_json(endpoint.fence(int(args[0])))
        case "promote":
            return control.status_to_json(endpoint.promote(int(args[0])))
        case "follow":
            status = endpoint.follow(args[0], int(args[1]))
            return control.status_to_json(status)
        case "log":
            wait_s = float(args[1]) * data.MILLISECOND
            return endpoint.read_log(int(args[0]), wait_s)
        case "fault":
            fields = args_text.strip().strip("'")
            endpoint.faults.change(**_parse_fault_fields(fields))
            return ""
        case _:
            raise statement_errors.StatementError(
                "42883", f"control call bronzehold_{name} does not exist"
            )


def _parse_fault_fields(text: str) -> dict:
    fields = control.loads(text)
    conditions = faults.conditions_from_json(fields)
    return {name: getattr(conditions, name) for name in fields}
