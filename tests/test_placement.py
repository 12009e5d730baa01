"""Which waiting request goes next, and where."""

import os
import subprocess
import sys

from helpers import dispatcher, pull, rows

from grebedyke.model.actions import Forward
from grebedyke.policy.tenant_quotas import TenantQuotas


def test_small_work_does_not_pay_for_another_zone():
    """Sending to another zone has a price: for small work it is higher than what there is to gain."""
    for size, crosses in ((400, False), (9_000, True)):
        node = dispatcher(cross=0.13)
        node.context.settings.operations["op"].mean_work = 4_000.0
        node.listed(10, True, rows(1, zone="b"))
        node.taken(10, 5, "op", None, 50_000, size, 1)
        kinds = {type(x) for now in range(10, 20_000, 100) for x in pull(node, now)}
        assert (Forward in kinds) == crosses


def test_one_pass_looks_at_few_of_many_executors():
    """A fleet grows to hundreds of executors: were all looked at for each request, CPU would grow with it."""
    node, asked = dispatcher(), []
    node.listed(10, True, rows(*range(300)))
    node.endpoints.is_ready = lambda endpoint, now: asked.append(endpoint) or True
    node.taken(10, 5, "op", None, 50_000, 1_000, 1)
    assert len(pull(node, 10, Forward)) == 1 and len(asked) < 40


def test_newest_first():
    """Under overload the oldest request first would make every answer late."""
    node = dispatcher()
    node.listed(10, True, [])
    for i in range(3):
        node.taken(10 + i, i, "op", None, 50_000, 1_000, 1)
    node.listed(20, True, rows(1))
    assert [x.request_id for x in pull(node, 20, Forward)] == [2, 1]


def test_same_decisions_under_any_hash_seed():
    code = (
        "import sys; sys.path.insert(0, 'tests')\nfrom helpers import *\nnode = dispatcher()\n"
        "node.listed(10, True, rows(*range(9)))\n"
        "for i in range(40): node.taken(10 + i, i, 'op', None, 50000, 900, 1); print(pull(node, 10 + i))"
    )
    seen = {
        subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": h},
            check=True,
            capture_output=True,
        ).stdout
        for h in "012"
    }
    assert len(seen) == 1 and b"Forward(" in seen.pop()


def test_only_the_surplus_of_a_tenant_is_over_its_quota():
    """Quota: ten a second."""
    for rate, parts, passed in ((5, 1, 50), (20, 1, 110), (20, 2, 55), (1, 10, 10)):
        shares = TenantQuotas({"t": 10.0}, 1)
        within = sum(not shares.is_over_quota(i * 10_000 // rate, "t", parts) for i in range(10 * rate))
        assert abs(within - passed) <= 1, (rate, parts, within)
    assert not TenantQuotas({}, 1).is_over_quota(0, "t")


def test_work_of_several_slots_waits_for_room_and_not_for_ever():
    """A wide request at the head of an executor's queue blocks it while others have room."""
    for now, sent in ((20, 0), (9_000, 1)):
        node = dispatcher(split=1)
        node.listed(10, True, rows(1))
        node.endpoints.by_id[1].credit = 4.0
        node.taken(10, 1, "op", None, 50_010, 20_000, 2)
        assert len(pull(node, 10, Forward)) == 1
        node.started(12, 1, 0)
        node.taken(15, 2, "op", None, 50_015, 20_000, 3)
        assert len(pull(node, 15, Forward)) == 0 and len(pull(node, now, Forward)) == sent
