"""grebedyke check: checks a configuration."""

import json
import os

import click

from grebedyke.commands.failing import fail


@click.command()
@click.argument("path", required=False, type=click.Path())
@click.option("--explain", is_flag=True, help="Print all values in force with their origins.")
@click.option("--schema", is_flag=True, help="Print the reference page of all keys, in Markdown.")
def check(path, explain, schema):
    """Checks a configuration as a node does: the file PATH, or the one that BALANCER_CONFIG names.

    Prints nothing if the configuration is valid. Otherwise prints one line with file, line, key and reason;
    the exit code is 2.

    \b
    Example:
      grebedyke check node.toml --explain
    """
    from grebedyke.service import configuration

    if schema:
        _print_reference_page()
        return
    environ = dict(os.environ)
    if path:
        environ["BALANCER_CONFIG"] = path
    path = environ.get("BALANCER_CONFIG", "")
    try:
        node_configuration = configuration.read_node(environ)
    except configuration.ConfigurationError as problem:
        fail(message_with_location(path, problem))
    if explain:
        _print_values(path, environ, node_configuration)


def _print_reference_page():
    from grebedyke.service.configuration import reference_page, schema_keys

    for line in reference_page.page_lines(schema_keys.all_keys()):
        click.echo(line)


def _print_values(path, environ, node_configuration):
    from grebedyke.service import configuration

    with open(path, "rb") as file:
        tree = configuration.parse_node_file(file.read(), path)
    for row in configuration.values_in_force(environ, node_configuration, tree):
        value = json.dumps(row.value, default=str, ensure_ascii=False)
        click.echo(f"{row.path} = {value}   ({row.origin})")


def message_with_location(path, problem):
    """Returns the message of a `ConfigurationError` with file and line, on one line.

    Args:
        path: Path of the file, empty if there is none.
        problem: The error.
    """
    from grebedyke.service.configuration import source_lines

    reason = str(problem).replace("BALANCER_CONFIG ", "").replace("BALANCER_CONFIG: ", "")
    if not path:
        return str(problem)
    if not problem.path:
        return f"{path}: {reason}"
    find_line = source_lines.line_in_toml if path.endswith(".toml") else source_lines.line_in_json
    try:
        with open(path, encoding="utf-8") as file:
            return f"{path}:{find_line(file.read(), problem.path)}: {reason}"
    except (OSError, UnicodeDecodeError):
        return f"{path}: {reason}"
