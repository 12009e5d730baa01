"""The command line: a module for each command or group of commands.

The modules that a command needs are imported inside its function, so that no command loads those of another.
The docstrings of the commands are their help pages.
"""
