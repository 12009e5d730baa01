"""Changes of bans that two processes of one node pass on to each other."""

from typing import NamedTuple


class BanChange(NamedTuple):
    """An endpoint is banned, or a ban of it ends.

    Attributes:
        endpoint_id: The identifier of the endpoint.
        is_banned: Whether it is banned from now on by the one who changes it.
        by_operator: Whether an operator changes it; otherwise a component of the fleet does.
        was_restarted: When a ban ends, whether the process may have been restarted during it.
        is_banned_by_any: Whether it is banned after the change by an operator or a component.
    """

    endpoint_id: str
    is_banned: bool
    by_operator: bool
    was_restarted: bool
    is_banned_by_any: bool
