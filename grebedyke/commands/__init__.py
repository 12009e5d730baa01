"""The command line: a module for each command or group of commands.

What a command needs of the rest of the package is imported in its function, so that no command pays for
another's imports. The docstrings of the commands are their help pages.
"""
