"""One real node: its phases from start to exit."""

import asyncio
import enum
import gc
import signal
import time
from contextlib import suppress

from loguru import logger

from grebedyke.units import TICKS_PER_SECOND
from grebedyke.wire.endpoint_rows import parse_endpoint_rows


class Phase(enum.Enum):
    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"
    STOPPED = "stopped"


# A start that is told to end before it listens owes nothing.
ALLOWED = {
    Phase.STARTING: {Phase.SERVING, Phase.STOPPED},
    Phase.SERVING: {Phase.STOPPING},
    Phase.STOPPING: {Phase.STOPPED},
    Phase.STOPPED: set(),
}
# After SIGTERM new connections come for 0.4 s more.
LINGER = TICKS_PER_SECOND * 6 // 10
# The node is killed no sooner than 3 s, or the longest client timeout, and 0.7 s after SIGTERM: what is owed
# is answered before.
LAST, SPARE = 3 * TICKS_PER_SECOND, TICKS_PER_SECOND * 35 // 100
# So long a start waits for the agent's first word: it is on this machine and answers at once, or not at all.
FIRST = 0.3
# Until so long before the end clients are served on the connections that they have: a node's clients may have
# no other, and no successor starts before the kill.
WIND = TICKS_PER_SECOND * 4 // 10


class Node:
    """`longest`: the longest client timeout, after it nothing is owed; `read_again()`: what is told anew.

    `renew(said)` gives the call that puts changed settings in force, or raises before anything has changed.
    """

    def __init__(
        self,
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
        longest,
        read_again,
        renew,
    ):
        self.loop, self.turn, self.gauges, self.pool = loop, turn, gauges, pool
        self.desk, self.door, self.console, self.watch, self.peers = desk, door, console, watch, peers
        self.handover = handover
        self.said, self.longest, self.read_again, self.renew = said, longest, read_again, renew
        self.phase, self.stopped = Phase.STARTING, loop.create_future()
        self.also = None  # starts and ends with this node: start(inherited), close()
        self.told_to_end = self.listening = False
        # The list has Unix times, the module the monotonic clock's.
        desk.shift = turn.clock() - time.time_ns() // 100_000

    def enter(self, phase):
        if phase not in ALLOWED[self.phase]:
            raise RuntimeError(f"no way from {self.phase.value} to {phase.value}")
        logger.info("phase {before} -> {after}", event="phase", before=self.phase.value, after=phase.value)
        self.phase = phase

    async def serve(self):
        # Before anything is taken: a signal between listening and its handler ended the program as it stood.
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.turn.put(self.desk.unlisted)
        self.turn.put(self.desk.listed, True, parse_endpoint_rows(self.said["known"]))
        # What a process knows that serves already goes before: the file's list may be old, and has no bans.
        listener = await self.handover.inherit()
        if self.also:
            self.also.start(self.handover.old is not None)
        self.watch.poll()
        if self.said["console"]:
            # Before all else that may take its time: "not ready" is an answer too.
            await self.console.listen(self.loop, *self.said["console"])
        self.peers.set_peers(self.said["peers"], int(self.said["settings"]["me"]))
        # What the agent has counts as told from the first moment on, whatever the file's list says.
        with suppress(TimeoutError):
            await asyncio.wait_for(self.watch.first_result.wait(), FIRST)
        if self.peers.open_task:
            await self.peers.open_task
            if not (self.peers.transport or self.handover.old):
                raise OSError("the address of this node in peers is in use or not this machine's")
        if self.told_to_end:
            if listener:
                listener.close()
            self.finish()
            return await self.stopped
        await self.door.listen(self.loop, *self.said["listen"], listener)
        self.enter(Phase.SERVING)
        self.handover.offer()
        self.turn.after(TICKS_PER_SECOND, self.each_second, 1)
        self.turn.beat()
        self.loop.set_exception_handler(self.amiss)
        gc.collect()
        gc.freeze()
        if self.changed():
            # Written since it was read: the signal that said so came too early, or to the process before.
            self.reload(True)
        if self.told_to_end:
            self.stop()
        await self.stopped

    def changed(self):
        try:
            said = self.read_again()
        except Exception:
            return True  # the reload says what is wrong
        # Discovery by the file's word then and now: the environment's goes before it at the start.
        return said.get("written") != self.said.get("written") or self.differs(said)

    def differs(self, said):
        return any(said[key] != self.said[key] for key in ("settings", "peers"))

    def each_second(self, now, count):
        self.pool.sweep(now)
        if count % self.said["counts"] == 0:
            self.gauges.report()
        self.turn.at(now + TICKS_PER_SECOND, self.each_second, count + 1)

    def amiss(self, loop, context):
        """What asyncio meets outside of a turn, as a lack of descriptors: logged, never the end."""
        if self.gauges.few("faults"):
            logger.opt(exception=context.get("exception")).error(
                "loop: {why}", event="loop-fault", why=context.get("message")
            )

    def reload(self, passed_on=False):
        """Settings, the other nodes and discovery's address may change; a faulty file leaves all as it was.

        `passed_on`: the signal went to another process of this node.
        """
        if not passed_on:
            self.handover.tell("reload")
        if self.phase != Phase.SERVING:
            return
        try:
            said = self.read_again()
            in_force = self.renew(said) if self.differs(said) else None
        except Exception as problem:
            # Whatever is wrong with the file, the node goes on: ending here would be a crash.
            return logger.error(
                "reload refused, the old configuration stays in force: {why}",
                event="reload-refused",
                why=str(problem),
            )
        (host, port), self.said = said["discovery"], said
        moved = (host, port) != self.watch.address
        logger.info(
            "reload done, discovery at {host}:{port} ({moved}), settings {settings}",
            event="reload",
            host=host,
            port=port,
            moved="moved" if moved else "as before",
            settings="changed" if in_force else "as before",
        )
        self.watch.move(host, port)
        if in_force:
            # Between two turns' decisions: what has come in before goes by the old settings, whole.
            self.turn.put(in_force)

    def stop(self):
        if self.phase != Phase.SERVING:
            self.told_to_end = True  # in a start: as soon as it has come to its end
            return
        self.enter(Phase.STOPPING)
        self.door.stop()
        now = self.turn.clock()
        # Not before new connections cease, where all client timeouts are short.
        last = now + max(min(self.longest, LAST) + SPARE, LINGER)
        self.desk.latest = last
        for owed in list(self.desk.owed.values()):
            self.turn.at(last - self.desk.tick, self.desk.overslept, owed)
        if self.handover.ready:
            self.turn.put(self.give_over, last)
        else:
            self.turn.after(LINGER, self.settle, last)

    def give_over(self, now, last):
        """To the process that serves beside: the queue of connections, then each of them once it is at
        rest.
        """
        if not self.handover.ready:
            return self.settle(now, last)
        self.door.stop_accepting()
        self.door.transfer = self.hand
        for client in self.door.transferable():
            self.hand(client)
        if now <= last and (
            self.door.connections.accepted or any(owed.client for owed in self.desk.owed.values())
        ):
            return self.turn.at(now + TICKS_PER_SECOND // 200, self.give_over, last)
        self.finish()

    def hand(self, client):
        if self.handover.ready:
            self.handover.hand(
                client.transport.get_extra_info("socket"), good=client.proven, caller=client.is_executor
            )
            client.abort()  # this process's descriptor only; nothing is left to be written

    def settle(self, now, last):
        """Looked at in short steps: the last answer, or the last client's close, may come at any time."""
        if self.handover.ready:
            return self.give_over(now, last)
        if not (self.door.server or self.listening):
            self.listening = True
            # The heir has died with the listener: what is owed here still waits for call-backs.
            self.loop.create_task(self.relisten())
        if now >= last - WIND:
            self.door.close_idle()
        if now <= last and (
            self.door.connections.has_clients() or any(owed.client for owed in self.desk.owed.values())
        ):
            return self.turn.at(now + TICKS_PER_SECOND // 50, self.settle, last)
        self.finish()

    async def relisten(self):
        try:
            await self.door.listen(self.loop, *self.said["listen"])
        except OSError as problem:
            logger.error("cannot listen again: {why}", event="cannot-serve", why=str(problem))

    def finish(self):
        # What still comes until the loop has ended is told to go elsewhere: it was taken, and dropped.
        self.desk.latest = self.turn.clock()
        self.door.close_idle()
        self.watch.close()
        self.peers.close()
        self.gauges.report()
        self.enter(Phase.STOPPED)
        # What was written last is with the kernel once the loop has gone round.
        self.loop.call_soon(self.loop.call_later, 0.02, self.leave)

    def leave(self):
        self.door.close()
        self.console.close()
        self.handover.close()
        if self.also:
            self.also.close()
        if not self.stopped.done():
            self.stopped.set_result(None)


async def run(assemble, *told):
    await assemble(asyncio.get_running_loop(), *told).serve()
