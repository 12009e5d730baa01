"""The decisions of a node: which endpoint a request is sent to, when it is retried, cut or given up.

Nothing here does I/O. A host feeds one `Dispatcher` with events and takes its actions; every time is an
argument.
"""
