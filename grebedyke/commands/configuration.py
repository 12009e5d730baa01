"""grebedyke check: reads a configuration as a node would."""

import json
import os

import click

from grebedyke.commands.failing import fail


@click.command()
@click.argument("path", required=False, type=click.Path())
@click.option("--explain", is_flag=True, help="All values in force, and where each came from.")
@click.option("--schema", is_flag=True, help="The page of all keys, in Markdown.")
def check(path, explain, schema):
    """Reads the configuration as a node would: PATH, or what BALANCER_CONFIG names.

    Nothing is printed where all is well; else one line with file, line, key and reason, and 2.

    \b
    Example:
      grebedyke check node.toml --explain
    """
    from grebedyke.service import configuration

    if schema:
        _print_page()
        return
    environ = dict(os.environ)
    if path:
        environ["BALANCER_CONFIG"] = path
    path = environ.get("BALANCER_CONFIG", "")
    try:
        node_configuration = configuration.read_node(environ)
    except configuration.ConfigurationError as problem:
        fail(message_with_place(path, problem))
    if explain:
        _print_values(path, environ, node_configuration)


def _print_page():
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


def message_with_place(path, problem):
    """Returns file, line, key and reason of a `ConfigurationError` in one line.

    Args:
        path: The file's, empty where none is named.
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
