"""Defines the bronzehold command line.

Each public function is a command; defopt derives its flags and help text from
its signature and doc comment. The functions return the exit code. The work
itself is done in the other modules of this package.
"""

import json
import pathlib
import signal
import sys
import threading
import time

import defopt

from bronzehold.core import settings
from bronzehold.core import structure
from bronzehold.core import validation
from bronzehold.platform import config_check
from bronzehold.platform import config_diff
from bronzehold.platform import demo as platform_demo
from bronzehold.platform import settings_file as platform_settings
from bronzehold.process import etcd_store
from bronzehold.process import malloc
from bronzehold.process import proxy as proxy_lib
from bronzehold.process import signals
from bronzehold.process import timeline as timeline_lib
from bronzehold.standin import launch
from bronzehold.tools import demo as demo_lib
from bronzehold.tools import explain as explain_lib
from bronzehold.tools import operators
from bronzehold.tools import soak as soak_lib

OK = 0
BAD_ROUTES = 1
BAD_INPUT = 2
NOT_IN_FORCE = 3
PLATFORM_UNAVAILABLE = 4
CONFLICT = 5
FAILED = 6
NANOSECONDS_PER_SECOND = 1_000_000_000


class _ExitError(Exception):
    """Exits the program with a given exit code."""

    def __init__(self, code: int):
        super().__init__(code)
        self.code = code


def _print_line(line: str) -> None:
    print(line, flush=True)  # noqa: T201


def _print_error(line: str) -> None:
    print(line, file=sys.stderr, flush=True)  # noqa: T201


def _load_settings(path: str, kind):
    try:
        return structure.load(path, kind)
    except validation.ProblemsError as exc:
        for problem in exc.problems:
            _print_error(str(problem))
        raise _ExitError(BAD_INPUT) from exc


def _stop_on_signal() -> signals.SignalPipe:
    return signals.SignalPipe(signal.SIGTERM, signal.SIGINT)


def proxy(*, config: str) -> int:
    """Run a proxy; SIGTERM or SIGINT starts a planned shutdown.

    Args:
        config: JSON file with the proxy's settings.
    """
    cfg = _load_settings(config, settings.Settings)
    malloc.set_up()
    timeline_lib.set_up_logging(cfg.log_level)
    running = proxy_lib.Proxy(cfg=cfg)
    stop = _stop_on_signal()
    running.start()
    threading.Thread(
        target=lambda: (stop.wait(), running.drain()), daemon=True
    ).start()
    running.wait()
    return OK


def group(*, config: str, only: str = "") -> int:
    """Run the endpoints of a stand-in database group.

    Args:
        config: JSON file with the group's settings.
        only: Name of the only endpoint to run; all endpoints if not given.
    """
    cfg = _load_settings(config, launch.GroupSettings)
    launch.run_group(cfg, only, _stop_on_signal())
    return OK


def platform_standin(*, config: str) -> int:
    """Run a stand-in for the platform's key-value store.

    Args:
        config: JSON file with the store's settings.
    """
    cfg = _load_settings(config, launch.PlatformSettings)
    launch.run_platform(cfg, _stop_on_signal())
    return OK


def check(sheet: str, *, config: str) -> int:
    """Validate a sheet and print every problem found in it.

    Args:
        sheet: CSV file from the planners.
        config: JSON file with the operators' settings.
    """
    cfg = _load_settings(config, operators.OperatorSettings)
    found = operators.read_sheet(sheet, cfg.zones)
    for problem in found.problems:
        _print_error(str(problem))
    if found.problems:
        return BAD_INPUT
    endpoints = sum(len(s.endpoints) for s in found.services)
    _print_line(
        f"{sheet}: {len(found.services)} services, {endpoints} endpoints"
    )
    return OK


def apply(sheet: str, *, config: str) -> int:
    """Apply a sheet to every proxy, or reject it without any change.

    Args:
        sheet: CSV file from the planners.
        config: JSON file with the operators' settings.
    """
    cfg = _load_settings(config, operators.OperatorSettings)
    match operators.apply(cfg, sheet, _print_line):
        case operators.Rejected(problems=problems):
            for problem in problems:
                _print_error(str(problem))
            _print_error("nothing was changed")
            return BAD_INPUT
        case operators.Conflict(author=author, revision=revision):
            _print_error(f"conflict: {author} stored revision {revision} first")
            _print_error("nothing was changed")
            return CONFLICT
        case operators.Unchanged(revision=revision):
            _print_line(
                f"the sheet equals revision {revision}; nothing to apply"
            )
        case operators.NotInForce(revision=revision, lagging=lagging):
            names = ", ".join(lagging)
            _print_error(
                f"revision {revision} is stored, not yet adopted by {names}"
            )
            return NOT_IN_FORCE
        case operators.InForce(revision=revision, proxies=names, took_s=took):
            where = ", ".join(names) or "no proxy"
            _print_line(
                f"revision {revision} in force on {where} in {took:.2f} s"
            )
        case operators.PlatformUnavailable(reason=reason):
            _print_error(
                f"the platform's key-value store is unavailable: {reason}"
            )
            return PLATFORM_UNAVAILABLE
    return OK


def _proxy_addresses(config: str) -> dict[str, str]:
    cfg = _load_settings(config, operators.OperatorSettings)
    try:
        return operators.proxy_addresses(cfg)
    except etcd_store.EtcdError as exc:
        _print_error(f"the platform's key-value store is unavailable: {exc}")
        raise _ExitError(PLATFORM_UNAVAILABLE) from exc


def status(*, config: str, as_json: bool = False) -> int:
    """Print the status of every proxy.

    Args:
        config: JSON file with the operators' settings.
        as_json: Print one JSON object per line.
    """
    unanswered = 0
    for name, address in sorted(_proxy_addresses(config).items()):
        found = operators.fetch_status(address)
        if found is None:
            _print_error(f"proxy {name} does not answer at {address}")
            unanswered += 1
        elif as_json:
            _print_line(json.dumps(found))
        else:
            _print_status(found)
    return FAILED if unanswered else OK


def _print_status(found: dict) -> None:
    _print_line(
        f"{found['proxy']} ({found['zone']}): revision {found['revision']}, "
        f"{found['callers']} callers, peers {', '.join(found['peers'])}"
        + (", stopping" if found["stopping"] else "")
    )
    for row in found["groups"]:
        granted = "granted" if row["granted"] else "no grant"
        _print_line(
            f"  {row['service']}: primary {row['primary'] or 'unknown'}, "
            f"term {row['term']}, {granted}, spent "
            f"{row['spent_seconds']}/{row['spend_cap'] or 'any'} s"
        )
        for ep in row["endpoints"]:
            leaving = ", leaving" if ep["leaving"] else ""
            _print_line(
                f"    {ep['endpoint']}: {ep['role']}, received "
                f"{ep['received']}, applied {ep['applied']}, running "
                f"{ep['running']}/{ep['slots_cap']}, waiting "
                f"{ep['waiting']}, connections "
                f"{ep['open']}/{ep['connections_cap']}{leaving}"
            )
    for row in found["latencies"]:
        _print_line(
            f"  {row['service']} {row['work']} on {row['place']}, "
            f"{row['outcome']}: {row['count']}, p50 {row['p50_ms']} ms, "
            f"p99 {row['p99_ms']} ms"
        )


def _proxy_address(config: str, name: str) -> str:
    found = _proxy_addresses(config)
    if name and name not in found:
        _print_error(f"no live proxy {name!r}; live proxies: {sorted(found)}")
        raise _ExitError(BAD_INPUT)
    if not found:
        _print_error("no proxy is live")
        raise _ExitError(FAILED)
    return found[name] if name else found[min(found)]


def drain(name: str, *, config: str) -> int:
    """Start the planned shutdown of a proxy.

    Args:
        name: Name of the proxy.
        config: JSON file with the operators' settings.
    """
    if not operators.drain(_proxy_address(config, name)):
        _print_error(f"proxy {name} does not answer")
        return FAILED
    _print_line(f"proxy {name} is shutting down")
    return OK


def promote(
    service: str, *, config: str, target: str = "", via: str = ""
) -> int:
    """Switch a service's primary without interrupting any request.

    Args:
        service: Name of the service.
        config: JSON file with the operators' settings.
        target: Endpoint to promote; the most suitable one if not given.
        via: Proxy that runs the promotion; the first by name if not given.
    """
    reply = operators.promote(_proxy_address(config, via), service, target)
    if not reply.done:
        _print_error(f"no promotion in {service}: {reply.why}")
        return FAILED
    _print_line(f"{reply.primary} is primary of {service} in term {reply.term}")
    return OK


def timeline(*, config: str, as_json: bool = False) -> int:
    """Print the events of all proxies, merged in order of time.

    Args:
        config: JSON file with the operators' settings.
        as_json: Print one JSON object per line.
    """
    for event in operators.timeline(_proxy_addresses(config)):
        _print_line(json.dumps(event) if as_json else _format_event(event))
    return OK


def _format_event(event: dict) -> str:
    shown = dict(event)
    at_ns = shown.pop("at_ns")
    clock = time.strftime(
        "%H:%M:%S", time.gmtime(at_ns // NANOSECONDS_PER_SECOND)
    )
    micros = at_ns % NANOSECONDS_PER_SECOND // 1000
    head = f"{clock}.{micros:06d} {shown.pop('proxy')} {shown.pop('event')}"
    for name in ("sequence", "zone", "clock_error_ms"):
        shown.pop(name, None)
    rest = " ".join(f"{k}={v}" for k, v in shown.items())
    return f"{head} {rest}".rstrip()


def demo() -> int:
    """Run a demo on embedded stand-ins and print its results."""
    postgres_ok = demo_lib.run(_print_line)
    platform_ok = platform_demo.run(_print_line)
    return OK if postgres_ok and platform_ok else FAILED


def soak(*, seed: int = 1, seconds: float = 60.0) -> int:
    """Inject random faults under load and check the guarantees.

    Args:
        seed: Seed of the random faults and load.
        seconds: Duration of the fault injection in seconds.
    """
    report = soak_lib.run(
        seed=seed,
        seconds=seconds,
        transactions=seed % 2 == 0,
        carry_marks=seed % 3 == 0,
        print_line=_print_line,
    )
    _print_line(f"seed {seed}: writes {report.writes}, reads {report.reads}")
    for violation in report.violations:
        _print_error(str(violation))
    return FAILED if report.violations else OK


def explain(request: str, *logs: str) -> int:
    """Explain the outcome of a request from the logs of the processes.

    Args:
        request: Request id given by the caller, or a prefix of it.
        logs: Log files of some or all processes.
    """
    events = []
    for path in logs:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                events += explain_lib.parse_lines(file)
        except OSError as exc:
            _print_error(f"{path}: {exc}")
            raise _ExitError(BAD_INPUT) from exc
    for line in explain_lib.explain(request, events):
        _print_line(line)
    return OK


def check_hosted(settings_file: str) -> int:
    """Check the settings of a proxy on the users' platform.

    Args:
        settings_file: JSON file written by the platform.
    """
    try:
        platform_settings.load(settings_file)
    except validation.ProblemsError as exc:
        for problem in exc.problems:
            _print_error(str(problem))
        return BAD_INPUT
    _print_line(f"{settings_file}: the settings are valid")
    return OK


def check_routes(new: str, *, current: str = "") -> int:
    """Check a configuration of routes before it is written to the store.

    Args:
        new: JSON file with the new configuration.
        current: JSON file with the configuration in force, to compare with.
    """
    text = _read_routes(new)
    findings = config_check.check(text)
    errors = [f for f in findings if config_check.is_error(f)]
    for finding in findings:
        described = config_check.describe(finding)
        if finding in errors:
            _print_error(f"{new}: error: {described}")
        else:
            _print_line(f"{new}: warning: {described}")
    if current:
        current_text = _read_routes(current)
        try:
            differences = config_diff.compare_texts(current_text, text)
        except validation.ProblemsError as exc:
            _print_error(f"{current}: not compared: {exc}")
            return BAD_ROUTES
        for difference in differences:
            _print_line(f"{new}: {config_diff.describe(difference)}")
    _print_line(
        f"{new}: errors: {len(errors)}, warnings: {len(findings) - len(errors)}"
    )
    return BAD_ROUTES if errors else OK


def _read_routes(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as exc:
        _print_error(f"{path}: {exc}")
        raise _ExitError(BAD_ROUTES) from exc


def main() -> None:
    """Parses the command line, runs the command and exits with its code."""
    commands = {
        "proxy": proxy,
        "standin": {"group": group, "platform": platform_standin},
        "check": check,
        "apply": apply,
        "status": status,
        "drain": drain,
        "promote": promote,
        "timeline": timeline,
        "check-hosted": check_hosted,
        "check-routes": check_routes,
        "demo": demo,
        "explain": explain,
        "soak": soak,
    }
    try:
        code = defopt.run(commands, argparse_kwargs={"prog": "bronzehold"})
    except _ExitError as exc:
        code = exc.code
    sys.exit(code)
