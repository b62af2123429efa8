"""The failover calls of a deployment on stand-ins, with faults."""

import collections.abc
import threading


class FailoverCalls:
    """Passes the failover calls of a deployment on, or leaves some unanswered.

    Attributes:
        cut_off: Names of the proxies whose calls never reach the platform.
        holders: Names of the proxies that called, in order.
        is_left: Returns whether the platform leaves the call that names a
            given endpoint without an answer.
        late_s: Time after which a call that was left is carried out, in
            seconds; None if it never is.
    """

    def __init__(self, deployment):
        self.cut_off: set[str] = set()
        self.holders: list[str] = []
        self.left: list[str] = []
        self.is_left: collections.abc.Callable[[str], bool] = lambda _: False
        self.late_s: float | None = None
        self._handle = deployment.store.handle_call
        deployment.store.handle_call = self._handle_call

    def _handle_call(self, method, path, query, body, headers):
        if path != "/failover":
            return self._handle(method, path, query, body, headers)
        self.holders.append(headers["Duty-Holder"])
        if headers["Duty-Holder"] in self.cut_off:
            return 0, {}
        if self.is_left(body["id"]):
            self.left.append(body["id"])
            if self.late_s is not None:
                call = (method, path, query, body, dict(headers))
                threading.Timer(self.late_s, self._handle, args=call).start()
            return 0, {}
        return self._handle(method, path, query, body, headers)
