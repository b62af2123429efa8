import socket
import time

from bronzehold.core import addresses
from bronzehold.platform import local


def test_callers_port_in_use_at_start_is_retried():
    # The task that listens fails while another process holds the port, and is
    # restarted until the port is free.
    with local.running(proxies=1) as deployment:
        callers_port = local.tools_local.free_port()
        with socket.create_server(("127.0.0.3", callers_port)):
            proxy = deployment.start_proxy(
                2, ready=False, callers_port=callers_port
            )
            deployment.proxies.append(proxy)
            local.wait_until(proxy.process.ready)
            time.sleep(0.5)
            assert not proxy.listening
        local.wait_until(lambda: proxy.listening)
        host, port = addresses.split(proxy.cfg.callers)
        socket.create_connection((host, port), 1.0).close()
