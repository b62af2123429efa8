"""The token of a caller's operation under the limit of its workspace.

An operation is a statement outside of a transaction, or a whole transaction. It
takes a token before it reaches an endpoint and returns it if it has not run.
"""

from bronzehold.core import clock
from bronzehold.core import data
from bronzehold.core import errors
from bronzehold.process import limit_decisions as decisions
from bronzehold.process import rate_limiter as rate_limiter_lib


class OperationToken:
    """The token of the operation in progress; used by the caller's task only.

    Args:
        limiter: The limits of the workspaces, None if there are none.
    """

    def __init__(self, *, limiter: rate_limiter_lib.RateLimiter | None):
        self._limiter = limiter
        self._spent: decisions.Spent | None = None
        self._is_used = False

    def take(self, workspace: str, deadline: float) -> None:
        """Takes a token, if the operation has none that is still valid.

        An unused token of a transaction that waits for its first statement
        expires: the tokens of many such transactions would otherwise add up and
        be used in one window.

        Args:
            workspace: The workspace of the caller, "" for none.
            deadline: The deadline of the statement, in seconds of clock.now().

        Raises:
            errors.FailureError: The workspace is over its limit.
        """
        if self._limiter is None or not workspace or self._has_valid_token():
            return
        self._spent = None
        match self._limiter.try_spend(workspace, deadline):
            case decisions.Limited(retry_after_s=retry_after_s):
                raise errors.FailureError(
                    errors.RateLimited(
                        workspace=workspace,
                        retry_after_ms=int(retry_after_s / data.MILLISECOND),
                    )
                )
            case spent:
                self._spent = spent

    def _has_valid_token(self) -> bool:
        if self._spent is None:
            return False
        age_s = clock.now() - self._spent.granted_at
        return self._is_used or age_s < rate_limiter_lib.MAX_REFUND_AGE_S

    def use(self) -> None:
        """Records that a statement of the operation has run, or may have."""
        self._is_used = True

    def end(self) -> None:
        """Ends the operation; a token that was not used is refunded."""
        spent, self._spent = self._spent, None
        is_used, self._is_used = self._is_used, False
        if spent is not None and not is_used:
            self._limiter.refund(spent)
