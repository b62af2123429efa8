"""Interprets an endpoint's answer to a read."""

from bronzehold.connection import platform_blocks as blocks
from bronzehold.core import errors
from bronzehold.core import statements


def accept(
    context: blocks.StatementContext,
    target: str,
    answer: statements.Answer,
    min_position: statements.LogPosition | None = None,
) -> statements.Completed:
    """Returns the answer to a read.

    Args:
        context: The context of the statement.
        target: The id of the endpoint.
        answer: Its answer.
        min_position: The log position that the read required, None for none.

    Raises:
        blocks.TryOtherEndpointError: The endpoint refused the read.
    """
    match answer:
        case statements.Completed():
            context.service.group.note_answered(target, answer.position)
            return answer
        case statements.Refused(reason=reason, detail=detail):
            context.service.group.note_answered(target, answer.position)
            if reason is statements.RefusalReason.LAGGING:
                detail = f"at {answer.position}, needed {min_position}"
            raise blocks.TryOtherEndpointError(
                errors.EndpointError(
                    endpoint=target, reason=reason, detail=detail
                ),
                sent=reason not in statements.NOT_RUN_REASONS,
            )
