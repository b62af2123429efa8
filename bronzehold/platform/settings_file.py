"""Reads the settings file that the platform fills in from our template."""

from bronzehold.core import settings
from bronzehold.core import validation
from bronzehold.platform import fields as fields_lib


def load(path: str) -> settings.HostedSettings:
    """Reads the settings of a proxy.

    Raises:
        validation.ProblemsError: The file cannot be read, or a field is wrong.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as exc:
        problem = validation.Problem(source=path, where="$", what=str(exc))
        raise validation.ProblemsError((problem,)) from exc
    fields = fields_lib.Fields(source=path, value=fields_lib.parse(path, text))
    regions = fields.take("regions", dict)
    zone = fields.text("zone")
    if zone not in regions:
        raise fields.problem("zone", "is not among the regions")
    return settings.HostedSettings(
        name=fields.text("name"),
        zone=zone,
        regions=regions,
        host=fields.text("host"),
        callers=fields.address("callers"),
        readiness=fields.address("readiness"),
        peer_port=fields.whole("peer_port"),
        metrics_port=fields.whole("metrics_port"),
        store=fields.address("store"),
        promoter=fields.address("promoter"),
        seeds=tuple(fields.list("seeds")),
        stop_s=fields.number("stop_s"),
        log_level=fields.text("log_level", "INFO"),
    )
