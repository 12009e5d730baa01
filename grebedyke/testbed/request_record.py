"""The record of the requests that a node has read, written by its launcher and read by a trial's checker."""


def record_requests(listener, path):
    """Appends the identifier of each request to a file, before the node handles the request.

    Args:
        listener: The node's `ClientListener`.
        path: The file; the processes of a node share it.
    """
    record = open(path, "ab", buffering=0)
    handle = listener.on_request

    def record_and_handle(connection, incoming):
        record.write(incoming.request_id + b"\n")
        handle(connection, incoming)

    listener.on_request = record_and_handle


def read_requests(path):
    """Returns the identifiers in a record; none if no node has written it."""
    try:
        return set(path.read_text().split())
    except FileNotFoundError:
        return set()
