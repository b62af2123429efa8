"""Entry point of the proxy on the platform's instances.

SIGTERM starts a graceful stop. SIGHUP rereads the settings file and logs which
settings differ from the running ones, without applying them.
"""

import dataclasses
import faulthandler
import os
import signal
import sys

from bronzehold.core import events
from bronzehold.core import settings
from bronzehold.core import validation
from bronzehold.platform import instance
from bronzehold.platform import settings_file
from bronzehold.process import logwriter
from bronzehold.process import malloc
from bronzehold.process import signals
from bronzehold.process import timeline as timeline_lib

SETTINGS_VARIABLE = "BRONZEHOLD_NODE_FILE"
EXIT_INVALID_SETTINGS = 2
# Maximum wait at exit until the last log lines are written.
LOG_DRAIN_TIMEOUT_S = 0.3


def main() -> int:
    """Runs a proxy until SIGTERM.

    Returns:
        EXIT_INVALID_SETTINGS if the settings file is invalid. Otherwise the
        function does not return; the process exits with 0 after the drain.
    """
    faulthandler.enable()
    malloc.set_up()
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        cfg = settings_file.load(path)
    except validation.ProblemsError as exc:
        for problem in exc.problems:
            print(problem, file=sys.stderr)  # noqa: T201
        return EXIT_INVALID_SETTINGS
    pipe = signals.SignalPipe(signal.SIGTERM, signal.SIGHUP)
    writer = logwriter.Handler(stream=sys.stdout)
    timeline_lib.set_up_logging(cfg.log_level, writer)
    proxy = instance.Instance(cfg=cfg)
    proxy.start()
    while signal.SIGTERM not in (received := pipe.wait()):
        if signal.SIGHUP in received:
            proxy.timeline.add(_compare_settings(path, cfg))
    proxy.drain()
    writer.drain(LOG_DRAIN_TIMEOUT_S)
    # Exits without joining tasks that are blocked on sockets.
    os._exit(0)


def _compare_settings(
    path: str, cfg: settings.PlatformSettings
) -> events.SettingsSignalled:
    """Compares the settings file with the running settings.

    The changes are only reported: addresses cannot change without a restart.
    """
    try:
        new_cfg = settings_file.load(path)
    except validation.ProblemsError as exc:
        return events.SettingsSignalled(changed=f"not readable: {exc}")
    old_values, new_values = (
        dataclasses.asdict(cfg),
        dataclasses.asdict(new_cfg),
    )
    changed = [
        name for name in old_values if old_values[name] != new_values[name]
    ]
    return events.SettingsSignalled(changed=", ".join(changed))


if __name__ == "__main__":
    sys.exit(main())
