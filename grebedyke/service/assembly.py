"""Puts a node's parts together, each from its own few terms."""

import resource
from functools import partial

from grebedyke.service.configuration import open_dispatcher
from grebedyke.service.console import Console
from grebedyke.service.desk import Desk
from grebedyke.service.handover import Handover
from grebedyke.service.log import Gauges
from grebedyke.service.node import Node, Phase
from grebedyke.service.reload import reload
from grebedyke.service.turn import Turn
from grebedyke.units import TICKS_PER_SECOND, ticks
from grebedyke.wire.client_listener import ClientListener, ListenerSettings
from grebedyke.wire.connection_table import ConnectionLimits
from grebedyke.wire.discovery_client import DiscoveryClient, DiscoverySettings
from grebedyke.wire.executor_pool import ExecutorPool, PoolSettings
from grebedyke.wire.peer_socket import PeerSocket
from grebedyke.wire.request_headers import JobUpdate

# Descriptors that no share may draw on: log and loop (6), listeners, datagrams, the watch (2), handover, a
# file, and what the listener takes beyond its share (connection_table.SPARE_CONNECTIONS). With shares of the
# whole, idle clients left a node of 128 and fewer none to hear discovery with.
KEPT = 22


def parts_of(conf):
    """What each part is told of the settings, at the start and again when they change."""
    limits, tick, longest = conf["limits"], ticks(conf["tickMs"]), longest_of(conf)
    connect = ticks(limits["connectTimeoutMs"])
    # A line is dropped at half the time at which an executor closes it: a message that crosses the
    # closing ends as a reset, which may have run.
    pool = PoolSettings(ticks(limits["connIdleMs"]) // 2, connect)
    desk = (
        int(limits["maxForwards"]),
        int(limits["maxOpen"]),
        b"/alive" if conf["telemetry"]["how"] == "off" else b"/metrics/load",
        2 * connect,
        4 * tick,
        tick,
    )
    door = ListenerSettings(
        {row["name"]: ticks(row["clientTimeoutMs"]) for row in conf["operations"]},
        longest + TICKS_PER_SECOND,
    )
    # The watch is kept up without asking the module, also where lists are asked for: its back-off, up to 16 s
    # with 40 nodes, let changes count as told long before they were heard. What the agent gets at discovery's
    # return may count at once: a call that is silent since before is given up, and begun anew, in time for
    # the drain grace of the settings, and soon enough that further such calls are over before 6 s.
    drain = max(ticks(conf["rules"]["drainGraceMs"]), TICKS_PER_SECOND // 5)
    again = min(TICKS_PER_SECOND // 4, drain // 4)
    # Short waits: what an agent has counts as told 2 s after the wait, and one that fell silent is asked anew
    # before that.
    wait = 2 * TICKS_PER_SECOND
    watch = DiscoverySettings(wait, min(TICKS_PER_SECOND // 2, drain // 2), again, again)
    if conf["registryMode"] != "push":
        # Discovery itself, shared by all nodes: it answers in turn, within 2 s, and turns away what is more.
        # Asked as often as an agent, 32 nodes gave up calls that stood in its queue, and none was told.
        grace = TICKS_PER_SECOND + TICKS_PER_SECOND // 2
        watch = DiscoverySettings(wait, grace, TICKS_PER_SECOND // 4, TICKS_PER_SECOND * 3 // 4)
    return pool, desk, door, watch


def paced(conf):
    """The settings with a tick that leaves room in the shortest client timeout.

    Each step before a due time takes a few ticks, nine in all: of 100 ms at ticks of 10 ms nothing was left.
    On sockets a turn comes when something has come in: a tick is only what a step may be late by.
    """
    shortest = min(row["clientTimeoutMs"] for row in conf["operations"])
    return {**conf, "tickMs": max(min(conf["tickMs"], shortest / 50), 0.1)}


def longest_of(conf):
    return ticks(max(row["clientTimeoutMs"] for row in conf["operations"]))


def levels(turn, dispatcher):
    """For the log: executors that the list has healthy, and how many of them are left out for the moment."""
    listed, now = dispatcher.endpoints.healthy, turn.clock()
    return {
        "listed": len(listed),
        "out": sum(e.ejected_until > now for e in listed),
        "held": sum(request.queued for request in dispatcher.queue.waiting),
    }


def assemble(loop, said, read_again, clock=None, files=None):
    """`said`: what configuration.read_node gave; `read_again()` gives it anew at a reload.

    `clock`, `files`: others than the machine's own, for a node that is tried under faults.
    """
    conf, soft = paced(said["settings"]), resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    sockets = min(int(said["limits"]["sockets"]), soft if soft > 0 else 1 << 20)
    for_pool, for_desk, for_door, for_watch = parts_of(conf)
    dispatcher = open_dispatcher(said["seed"], conf)
    gauges = Gauges()
    turn = Turn(loop, gauges)
    turn.clock = clock or turn.clock
    # To executors a line is taken for a forward's 202 only, from clients one for each invocation that
    # waits; the rest is for newcomers that are told to come back later.
    room = sockets - KEPT
    pool = ExecutorPool(loop, turn, for_pool, max(room // 4, 1))
    desk = Desk(dispatcher, turn, pool, gauges, *for_desk)
    door = ClientListener(
        turn,
        for_door,
        ConnectionLimits(max_connections=room * 5 // 8, max_requesters=room * 3 // 10),
        on_request=desk.take,
        on_job_update=desk.news,
        on_client_left=desk.left,
    )
    watch = desk.watch = DiscoveryClient(
        loop,
        turn,
        tuple(said["discovery"]),
        said["known"].get("index"),
        for_watch,
        on_list=desk.listed,
        on_failure=desk.unlisted,
    )
    peers = desk.peers = PeerSocket(loop, turn, desk.heard)
    turn.decide, turn.carry = dispatcher.next_action, desk.do
    gauges.levels = partial(levels, turn, dispatcher)

    def renew(said):
        """Whole, or a fault before anything has changed; what it gives is then done in one turn."""
        conf = paced(said["settings"])
        fresh, (for_pool, for_desk, for_door, for_watch) = open_dispatcher(said["seed"], conf), parts_of(conf)

        def in_force(now):
            reload(now, dispatcher, fresh)
            pool.apply_settings(for_pool)
            desk.tune(*for_desk)
            door.apply_settings(for_door)
            node.longest = longest_of(conf)
            peers.set_peers(said["peers"], int(conf["me"]))
            watch.apply_settings(for_watch)

        return in_force

    def books():
        listing = {"address": watch.address, "index": watch.version}
        return {"books": desk.books(), "listing": listing}, door.descriptor()

    def recall(message):
        turn.put(desk.recall, message["books"])
        listing = message["listing"]
        # Versions of another discovery would mean other lists.
        watch.version = listing["index"] if tuple(listing["address"]) == watch.address else None

    def heard_news(id, name, state, result, load):
        turn.put(desk.news, JobUpdate(id, name, state, result.encode(), load), False)

    def shared(with_another):
        pool.share_connections(with_another)
        if not with_another:
            peers.ensure_open()
            dispatcher.retry_budget.on_other_process_gone(turn.clock())

    def adopt(fd, good, caller):
        loop.create_task(door.adopt(descriptor=fd, proven=good, is_executor=caller))

    handover = Handover(
        loop,
        said["folder"],
        said["name"],
        books,
        {
            "books": recall,
            "news": heard_news,
            "client": adopt,
            "hand": lambda name, out: turn.put(desk.by_hand, name, out),
            "reload": lambda: node.reload(passed_on=True),
        },
        shared,
    )
    desk.tell_other = handover.tell

    def by_hand(now, name, out):
        known = desk.by_hand(now, name, out)
        if known:
            handover.tell("hand", name=name, out=out)
        return known

    console = Console(turn, lambda: node.phase == Phase.SERVING, by_hand, room // 16)
    node = Node(
        loop,
        turn,
        gauges,
        pool,
        desk,
        door,
        console,
        watch,
        peers,
        handover,
        said,
        longest_of(conf),
        read_again,
        renew,
    )
    if said["fleet"]:
        # Imported here: a node that is no part of a fleet pays nothing for it.
        from grebedyke.service.fleet_assembly import join_fleet

        join_fleet(node, files)
    return node
