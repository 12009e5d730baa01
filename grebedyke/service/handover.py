"""The handover between two processes of one node: the old one serves until the new one does, and gives it
all it has.

They share a line in a folder that only this node's processes see. Each keeps its own invocations; what
comes to
the wrong process goes over the line.
"""

import os
import socket

import orjson
from loguru import logger

VERSION = 1
# A message travels in packets of this size; the mark before each tells whether one more follows.
PIECE, MORE, LAST = 1 << 15, b"+", b"."
# So many packets are read in one go. So long a new process waits for the old one's word: that one may be
# short of CPU just then, as the start takes its part, and without its word connections have to be closed.
AT_ONCE, ANSWER = 64, 3.0


class Channel:
    """Whole messages, in order, each with the descriptors that it is about; `heard(channel, message,
    fds)`.
    """

    def __init__(self, loop, sock, heard, ended):
        self.loop, self.sock, self.heard, self.ended = loop, sock, heard, ended
        self.queue, self.pieces, self.blocked = [], b"", False
        sock.setblocking(False)
        loop.add_reader(sock, self.read)

    def send(self, message, *fds):
        if self.sock is None:
            return
        data = orjson.dumps(message)
        pieces = [data[i : i + PIECE] for i in range(0, len(data), PIECE)]
        self.queue += [(MORE + piece, ()) for piece in pieces[:-1]]
        # Duplicates: what they stand for may be closed here before the packet leaves.
        self.queue.append((LAST + pieces[-1], [os.dup(fd) for fd in fds]))
        self.write()

    def write(self):
        while self.queue:
            data, fds = self.queue[0]
            try:
                socket.send_fds(self.sock, [data], fds)
            except BlockingIOError:
                if not self.blocked:
                    self.blocked = True
                    self.loop.add_writer(self.sock, self.write)
                return
            except OSError:
                return self.close()
            del self.queue[0]
            for fd in fds:
                os.close(fd)
        if self.blocked:
            self.blocked = False
            self.loop.remove_writer(self.sock)

    def read(self):
        for _ in range(AT_ONCE):
            if self.sock is None:
                return
            try:
                data, fds, _, _ = socket.recv_fds(self.sock, PIECE + 1, 4, socket.MSG_CMSG_CLOEXEC)
            except BlockingIOError:
                return
            except OSError:
                data, fds = b"", []
            if not data:
                return self.close()
            self.pieces += data[1:]
            if data[:1] == LAST:
                message, self.pieces = orjson.loads(self.pieces), b""
                self.heard(self, message, fds)

    def close(self):
        if self.sock is None:
            return
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        self.sock.close()
        self.sock = None
        for _, fds in self.queue:
            for fd in fds:
                os.close(fd)
        self.ended(self)


class Handover:
    """`books()`: what a new process is given, with the listener's descriptor; `take`: calls by kind of
    message.

    `shared(with_whom)` is told when there is another process, and when there is none any more.
    """

    def __init__(self, loop, folder, name, books, take, shared):
        self.loop, self.books, self.take, self.shared = loop, books, take, shared
        self.path = os.path.join(folder, f"{name.replace('/', '_')}.handover") if folder else None
        self.server, self.old, self.heir, self.given = None, None, None, None
        self.ready, self.offered = False, False  # whether the heir serves; whether this process wants one

    # The new process's side.

    async def inherit(self):
        """The listening socket of the process that serves now, once its books are here; None: there is
        none.
        """
        if not self.path:
            return None
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sock.setblocking(False)
        try:
            await self.loop.sock_connect(sock, self.reached())
        except OSError:
            sock.close()  # nobody there, or a socket that a killed process has left
            return None
        self.given = self.loop.create_future()
        self.old = Channel(self.loop, sock, self.heard, self.ended)
        self.old.send({"kind": "hello", "version": VERSION})
        timer = self.loop.call_later(ANSWER, self.old.close)
        fds = await self.given
        timer.cancel()
        return socket.socket(fileno=fds[0]) if fds else None

    def offer(self):
        """From now on the next process finds this one; whatever was there before is no longer found."""
        if not self.path:
            return
        own = f"{self.path}.{os.getpid()}"
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            if os.path.lexists(own):
                os.unlink(own)
            sock.bind(self.reached(own))
            os.chmod(own, 0o600)
            sock.listen(4)
            os.rename(own, self.path)
        except OSError as problem:
            sock.close()
            return logger.warning("no handover: {why}", event="handover-none", why=str(problem))
        self.withdraw()
        sock.setblocking(False)
        self.server, self.offered = sock, True
        self.loop.add_reader(sock, self.accept)
        if self.old:
            self.old.send({"kind": "ready"})

    def reached(self, path=None):
        """A path for a socket holds 107 bytes; by its folder's descriptor a longer one is reached too."""
        path = path or self.path
        if len(os.fsencode(path)) < 100:
            return path
        if not hasattr(self, "folder"):
            self.folder = os.open(os.path.dirname(path), os.O_PATH)
        return f"/proc/self/fd/{self.folder}/{os.path.basename(path)}"

    # The old process's side.

    def accept(self):
        try:
            sock, _ = self.server.accept()
        except OSError:
            return
        Channel(self.loop, sock, self.heard, self.ended)

    def withdraw(self):
        if self.server:
            self.loop.remove_reader(self.server)
            self.server.close()
            self.server = None

    # Both.

    def heard(self, channel, message, fds):
        kind = message.pop("kind", None)
        try:
            if kind == "hello" and message["version"] == VERSION:
                if self.heir or channel is self.old:
                    return channel.close()  # one heir at a time
                self.heir = channel
                books, fd = self.books()
                channel.send({"kind": "books", **books}, fd)
                self.shared(True)
            elif kind == "books" and not self.given.done():
                self.shared(True)
                self.take[kind](message)
                self.given.set_result(fds[:])
                fds.clear()
            elif kind == "ready":
                logger.info("a new process serves beside this one", event="handover-ready")
                self.ready = True
                self.withdraw()
            elif kind in self.take:
                self.take[kind](**message, **({"fd": fds.pop()} if fds else {}))
            else:
                channel.close()
        except Exception:
            # A word that is not understood must not end what goes on serving.
            logger.exception("handover: a word of the other process failed", event="handover-fault")
        finally:
            for fd in fds:
                os.close(fd)

    def ended(self, channel):
        if channel is self.old:
            self.old = None
            if not self.given.done():
                self.given.set_result(None)
            self.shared(False)
        elif channel is self.heir:
            self.heir, self.ready = None, False
            self.shared(False)
            if self.offered and not self.server:
                logger.warning("the new process has gone, this one goes on alone", event="handover-gone")
                self.offer()

    def tell(self, kind, **message):
        """To the other process, where there is one."""
        for channel in (self.old, self.heir):
            if channel:
                channel.send({"kind": kind, **message})

    def hand(self, sock, **message):
        self.heir.send({"kind": "client", **message}, sock.fileno())

    def close(self):
        self.offered = False
        if self.server:
            try:
                os.unlink(self.path)
            except OSError:
                pass
        self.withdraw()
        for channel in (self.old, self.heir):
            if channel:
                channel.close()
