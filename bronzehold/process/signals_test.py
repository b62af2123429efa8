import os
import signal

import pytest

from bronzehold.process import signals

BURST = 1000


@pytest.fixture(name="pipe")
def _pipe():
    old = signal.getsignal(signal.SIGUSR1)
    pipe = signals.SignalPipe(signal.SIGUSR1)
    yield pipe
    signal.set_wakeup_fd(-1)
    signal.signal(signal.SIGUSR1, old)


def test_wait_without_a_signal_ends_after_the_timeout(pipe):
    assert pipe.wait(0.01) == frozenset()


def test_burst_of_signals_is_received(pipe):
    """Guards against a stop that never begins after several SIGTERMs."""
    for _ in range(BURST):
        os.kill(os.getpid(), signal.SIGUSR1)
    assert pipe.wait(1.0) == {signal.SIGUSR1}
    assert pipe.wait(0.01) == frozenset()
