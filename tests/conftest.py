"""Passes over the failures that KNOWN-RED.txt lists, and over nothing else.

A listed test still runs. Only when it fails in the listed way, that is when its message matches the entry's
pattern, is the failure reported as expected; any other failure of the same test stays a failure.
"""

import re
from pathlib import Path
from typing import NamedTuple

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


class KnownFailure(NamedTuple):
    """One entry of KNOWN-RED.txt.

    Attributes:
        test: Node id of the test.
        pattern: Regular expression that the failure's message has to match.
        text: The whole entry, as printed at the end of a run.
    """

    test: str
    pattern: str
    text: str


def read_known_failures(text):
    """Reads entries, which are separated by blank lines and consist of `key: value` lines."""
    failures = []
    for entry in filter(None, map(str.strip, text.split("\n\n"))):
        fields = dict(line.split(": ", 1) for line in entry.splitlines())
        failures.append(KnownFailure(fields["test"], fields["pattern"], entry))
    return failures


def known_failures():
    """The entries in force; none where the file is missing."""
    return read_known_failures(KNOWN_RED.read_text()) if KNOWN_RED.exists() else []


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item, call):
    """Reports a listed failure as expected."""
    outcome = yield
    report = outcome.get_result()
    if call.when != "call" or not report.failed:
        return
    message = str(call.excinfo.value)
    for failure in known_failures():
        if failure.test == item.nodeid and re.search(failure.pattern, message):
            report.outcome = "skipped"
            report.wasxfail = f"KNOWN-RED.txt: {failure.pattern}"


def pytest_terminal_summary(terminalreporter):
    """Prints the entries, so that nobody takes a green run for one without known failures."""
    for failure in known_failures():
        terminalreporter.write_line(f"known red:\n{failure.text}")
