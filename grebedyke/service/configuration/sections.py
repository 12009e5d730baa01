"""The configuration sections of the components: consensus, maintenance, rate limits."""

from grebedyke.validation import validate


def settings_modules():
    """Returns the settings module of each component by the key of its section.

    The modules are imported here, so that a node without components does not load them.
    """
    from grebedyke.consensus import settings as consensus
    from grebedyke.maintenance import settings as maintenance
    from grebedyke.rate_limits import settings as rate_limits

    return {"fleet": consensus, "maintenance": maintenance, "shares": rate_limits}


def check_sections(configuration):
    """Checks each configured section by itself and against the rest; fills in defaults.

    Args:
        configuration: A node's configuration, whose other parts are already checked; its sections are
            replaced.

    Raises:
        ConfigurationError: A section is invalid.
    """
    modules = settings_modules()
    for name, module in modules.items():
        if configuration[name] is not None:
            configuration[name] = validate(module.SECTION, configuration[name], f"{name}.")
    fleet = configuration["fleet"]
    if fleet is not None:
        modules["fleet"].check(fleet, len(configuration["peers"]))
    if configuration["maintenance"] is not None:
        modules["maintenance"].check(configuration["maintenance"], fleet)
    if configuration["shares"] is not None:
        settings = configuration["settings"]
        modules["shares"].check(
            configuration["shares"],
            fleet,
            int(settings["balancers"]),
            [row["name"] for row in settings["operations"]],
            [row["name"] for row in settings["parties"]],
            fleet and fleet["waitMs"],
        )
