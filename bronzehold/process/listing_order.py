"""Decides whether an endpoint's listing is older than one already acted on.

After the store has returned from an older copy, it holds listings of some
seconds ago until the endpoints write theirs again.
"""

import dataclasses

from bronzehold.core import routes


@dataclasses.dataclass(kw_only=True, slots=True)
class Removed:
    """An endpoint that was removed.

    Attributes:
        listing: Its last listing.
        at: The time of the removal, in seconds of clock.now().
        was_found: Whether the store held it again after a return, and it was
            not used.
    """

    listing: routes.Listing
    at: float
    was_found: bool = False


def incarnation(listing: routes.Listing) -> str:
    """Returns the text by which peers name an endpoint since its start."""
    return f"{listing.id}@{listing.started_ms}"


def latest(
    known: routes.Listing | None,
    found: routes.Listing,
    *,
    removed: routes.Listing | None = None,
    is_copy: bool = False,
) -> routes.Listing | None:
    """Returns the listing to act on.

    Args:
        known: The listing in force, None if there is none.
        found: The listing that the store holds.
        removed: The last listing of the same incarnation, if it was removed
            lately.
        is_copy: Whether the listing found may be part of the copy from which
            the store has returned, rather than written since.

    Returns:
        The listing found, as leaving if this incarnation of the endpoint is
        known to leave; None if it is older than what was acted on.
    """
    if not found.started_ms:
        # Its incarnation is unknown, so nothing can be compared.
        return found
    if known is not None and known.started_ms:
        if found.started_ms < known.started_ms:
            return None
        if found.started_ms == known.started_ms:
            if found.sequence < known.sequence:
                return None
            return _keep_leaving(known, found)
    if removed is not None:
        if found.sequence < removed.sequence:
            return None
        if is_copy and found.sequence == removed.sequence:
            return None
        return _keep_leaving(removed, found)
    return found


def _keep_leaving(
    before: routes.Listing, found: routes.Listing
) -> routes.Listing:
    """Returns a listing as leaving if its incarnation was leaving before."""
    if before.leaving and not found.leaving:
        return dataclasses.replace(found, leaving=True)
    return found
