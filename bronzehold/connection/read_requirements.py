"""Chooses the log position that a read of bounded staleness requires."""

from bronzehold.connection import platform_blocks as blocks
from bronzehold.core import clock
from bronzehold.core import statements
from bronzehold.version import freshness

# A read is sent at least this long before its proof expires, which leaves time
# for it to arrive and start.
SEND_MARGIN_S = 0.1
# The chosen proof is younger than the limit by this much, which leaves time for
# queueing.
SELECTION_MARGIN_S = 0.4


def make(
    context: blocks.StatementContext,
    max_age_s: float,
    last_write: statements.LogPosition | None,
) -> blocks.ReadRequirement | None:
    """Returns the requirement of a read sent now, None if unproved."""
    proof = _choose_proof(context, max_age_s)
    if proof is None:
        return None
    return blocks.ReadRequirement(
        min_position=freshness.required_position(proof, last_write),
        expires=proof.at + max_age_s,
        max_age_s=max_age_s,
        last_write=last_write,
    )


def _choose_proof(
    context: blocks.StatementContext, max_age_s: float
) -> freshness.Proof | None:
    """Returns a proof for a read, None if no proof is recent enough.

    Prefers the oldest proof that leaves time for queueing, since more endpoints
    hold its position; otherwise the newest proof must leave time to send.
    """
    proofs = context.service.group.proofs
    now = clock.now()
    found = proofs.oldest_since(now - max(max_age_s - SELECTION_MARGIN_S, 0.0))
    if found is not None:
        return found
    newest = proofs.newest()
    if newest is not None and now < newest.at + max_age_s - 2 * SEND_MARGIN_S:
        return newest
    return None
