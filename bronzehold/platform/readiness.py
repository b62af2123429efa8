"""HTTP endpoint that reports to the load balancer whether the proxy is ready.

A GET of READY_PATH returns 200 if the proxy accepts new callers, else 503.
"""

import collections.abc

from bronzehold.process import bounded_http

READY_PATH = "/bronzehold/ready"
IDLE_TIMEOUT_S = 10.0


def serve(
    address: tuple[str, int], is_ready: collections.abc.Callable[[], bool]
) -> bounded_http.Server:
    """Returns a server that is bound to an address.

    The caller runs its serve_forever method.

    Args:
        address: Host and port to listen on.
        is_ready: Returns whether the proxy accepts new callers.
    """

    class Handler(bounded_http.Handler):
        timeout = IDLE_TIMEOUT_S

        def do_GET(self) -> None:  # noqa: N802
            path_matches = self.path.partition("?")[0] == READY_PATH
            if path_matches:
                self.send_response(200 if is_ready() else 503)
            else:
                self.send_response(404)
            self.send_header("Content-Length", "0")
            self.end_headers()

    return bounded_http.Server(address, Handler)
