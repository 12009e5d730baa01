"""Exclusions of endpoints while a node's view of the rollout is uncertain, and their end."""

import asyncio
from types import SimpleNamespace

import orjson
from helpers import dispatcher, rows
from test_maintenance import make_rollout, make_settings

from grebedyke.consensus.actions import ExcludeEndpoints
from grebedyke.emulators import http_messages
from grebedyke.maintenance.component import Maintenance
from grebedyke.maintenance.exclusions import Exclusions
from grebedyke.maintenance.rollout import MachineState, MachineStatus, Rollout
from grebedyke.service.endpoint_exclusions import ALL_ENDPOINTS, EndpointExclusions
from grebedyke.service.endpoint_updates import EndpointUpdates
from grebedyke.testbed import trial
from grebedyke.testbed.process_cluster import ProcessCluster
from grebedyke.testbed.process_cluster_settings import ProcessClusterSettings
from grebedyke.wire.list_update import NO_LIST

NAMES = ("s-1", "s-2")
WARM_UP_SECONDS = 20


def rollout_with(revision, **states):
    machines = {name.replace("_", "-"): MachineStatus(state, 2, 0) for name, state in states.items()}
    return make_rollout(revision, machines)


def node_with_exclusions(now=10):
    """Returns a dispatcher with two warm endpoints that have gained credit, and its `EndpointExclusions`."""
    node = dispatcher(node_count=2)
    node.endpoints_changed(now, True, rows(*NAMES))
    for endpoint in node.endpoints.healthy:
        endpoint.credit = 9.0
    access = SimpleNamespace(
        set_ban=node.set_banned,
        listed_names=lambda: node.endpoints.by_id,
        banned_names=lambda: node.endpoints.banned,
    )
    return node, EndpointExclusions(access)


def test_waiting_endpoints_keep_their_credit_and_warmth():
    """A node whose view was uncertain for a short time treated all executors of the plan as restarted.

    It sent them hardly any requests during their warm-up time and refused work although the fleet was idle.
    """
    now = 50_000
    node, exclusions = node_with_exclusions()
    view = Exclusions(drain_grace=0)
    waiting = rollout_with(3, s_1=MachineState.WAITING, s_2=MachineState.WAITING)
    uncertain = view.update(now, waiting, is_certain=False, all_others=False)
    exclusions.request(now, "maintenance", uncertain)
    assert not node.endpoints.healthy
    certain = view.update(now + 5_000, waiting, is_certain=True, all_others=False)
    exclusions.request(now + 5_000, "maintenance", certain)
    assert [endpoint.credit for endpoint in node.endpoints.healthy] == [9.0, 9.0]
    assert all(node.endpoints.warmth(endpoint, now + 5_000) == 1 for endpoint in node.endpoints.healthy)


def test_a_new_process_treats_endpoints_as_warm_after_its_first_lease():
    """After its first lease, a new process treated all endpoints as cold, as it had excluded them before."""
    node, exclusions = node_with_exclusions()
    consensus = SimpleNamespace(keys=[], listeners=[], members=[], is_voting=lambda: False, epoch=1)
    component = Maintenance(consensus, "f", 0, 3, 1, make_settings())
    exclusions.exclude_all([component])
    exclusions.apply(20)
    assert not node.endpoints.healthy and exclusions.requested == {component: ALL_ENDPOINTS}
    view = Exclusions(drain_grace=0)
    view.update(20, Rollout(), is_certain=False, all_others=True)
    exclusions.request(5_000, component, view.update(5_000, Rollout(), is_certain=True, all_others=False))
    assert all(node.endpoints.warmth(endpoint, 5_000) == 1 for endpoint in node.endpoints.healthy)


def test_endpoints_that_were_out_are_treated_as_restarted():
    """Slow start applies (rule 4): the endpoint list may not show a restart during the exclusion yet."""
    for states, restarted in (
        # This node has seen that the machine was out.
        ([MachineState.LEAVING, MachineState.SKIPPED], True),
        ([MachineState.FREE, MachineState.BACK], True),
        # Taken out and back in use while the view was uncertain.
        ([MachineState.WAITING, MachineState.BACK], True),
        ([MachineState.WAITING, None], True),
        # Warmed up according to the driver, or never out.
        ([MachineState.WAITING, MachineState.DONE], False),
        ([MachineState.WAITING, MachineState.SKIPPED], False),
    ):
        view = Exclusions(drain_grace=0)
        before, after = states
        view.update(10, rollout_with(3, s_1=before), is_certain=False, all_others=False)
        rollout = rollout_with(4, s_1=after) if after else Rollout(revision=4)
        action = view.update(20, rollout, is_certain=True, all_others=False)
        expected = frozenset({"s-1"} if restarted else ())
        assert action == ExcludeEndpoints(frozenset(), False, expected), states


def test_the_component_reports_restarted_endpoints_to_its_host():
    consensus = SimpleNamespace(keys=[], listeners=[], members=[], is_voting=lambda: False, epoch=1)
    component = Maintenance(consensus, "f", 0, 3, 1, make_settings())
    component.rollout = rollout_with(3, s_1=MachineState.FREE, s_2=MachineState.DONE)
    component.update_exclusions(0)
    component.lease.certain_until = 1_000
    component.rollout = rollout_with(4, s_1=MachineState.BACK, s_2=MachineState.DONE)
    component.update_exclusions(10)
    first, last = component.take_exclusions()
    assert first.names == {"s-1"} and first.all_others
    assert last == ExcludeEndpoints(frozenset(), False, frozenset({"s-1"}))


def test_a_successor_does_not_treat_inherited_exclusions_as_operator_bans():
    """A process without a lease, which excludes all executors, was replaced in a hot restart.

    Its successor excluded all of them forever, as if an operator had banned them.
    """
    before, exclusions_before = node_with_exclusions()
    updates_before = EndpointUpdates(before, SimpleNamespace(endpoints={}), None)
    updates_before.exclusions = exclusions_before
    exclusions_before.request(20, "maintenance", ALL_ENDPOINTS)
    exclusions_before.operator_ban(30, "s-2", True)
    state = orjson.loads(orjson.dumps(updates_before.export_state()))
    node, exclusions = node_with_exclusions()
    updates = EndpointUpdates(node, SimpleNamespace(update_endpoints=lambda *_: None), None)
    updates.exclusions = exclusions
    updates.import_state(40, state, NO_LIST)
    assert not node.endpoints.healthy
    component = SimpleNamespace(controls_exclusions=True, possibly_excluded_endpoints=lambda: [])
    exclusions.classify_inherited_bans([component])
    exclusions.request(50, "maintenance", ExcludeEndpoints(frozenset(), False))
    assert [endpoint.id for endpoint in node.endpoints.healthy] == ["s-1"]
    assert exclusions.banned_by_operator == {"s-2"}


async def interrupt_view(cluster, name):
    """Disconnects a node until its view is uncertain, then reconnects it and waits for a certain view."""
    relay = cluster.relay
    number = cluster.number(name)
    links = [link for link in relay.links if number in link]
    for is_cut in (True, False):
        for link in links:
            relay.links[link].is_cut = is_cut
        while (await cluster.status(name))["sure"] == is_cut:
            await asyncio.sleep(0.02)


async def count_successes(cluster, name, count, prefix):
    """Sends `count` requests to a node, one after the other; returns the number of successes.

    Their identifiers have `prefix` in them: no two requests may have the same one.
    """
    succeeded = 0
    for number in range(count):
        response = await http_messages.call(
            cluster.nodes[name],
            "POST",
            "/view/k",
            b'{"work_ms": 5}',
            headers={"X-Request-ID": f"{name}-{prefix}-{number}", "X-Timeout-Ms": 1000},
        )
        succeeded += response.status == 200
    return succeeded


class SlowWarmUpCluster(ProcessCluster):
    """A cluster whose executors take as long to warm up as real ones."""

    def _deployment(self, number):
        deployment = super()._deployment(number)
        deployment["rules"]["rampTimeMs"] = WARM_UP_SECONDS * 1000
        return deployment


def test_a_node_serves_all_requests_once_its_view_is_certain_again():
    async def scenario():
        settings = ProcessClusterSettings(operations=trial.OPERATIONS, nodes=3, executors=6)
        cluster = SlowWarmUpCluster(settings)
        try:
            await cluster.start()
            while not (await cluster.status("n2"))["sure"]:
                await asyncio.sleep(0.02)
            plan = {"machines": [*cluster.executors], "most": 1, "workMs": 60_000}
            status = 0
            while status != 200:  # a node that has just started has no endpoint list yet
                status, _ = await cluster.call("n0", "POST", "/v1/maintenance/plan", plan)
            before = await count_successes(cluster, "n2", 20, "before")
            await interrupt_view(cluster, "n2")
            return before, await count_successes(cluster, "n2", 20, "after")
        finally:
            await cluster.close()

    before, after = asyncio.run(asyncio.wait_for(scenario(), 60))
    assert (before, after) == (20, 20)
