"""The node as a process: configuration, start, event loop, reload, hot restart, shutdown and log."""
