"""Record files in a locked folder; each write replaces a file atomically and syncs it to disk."""

import fcntl
import os


class RecordFiles:
    """The folder of one node. Calls block for disk I/O, so writes do not belong in the event loop.

    Attributes:
        folder: Path of the folder.
        lock_descriptor: Descriptor of the lock file while this process has locked the folder, else None.
    """

    def __init__(self, folder):
        self.folder = folder
        self.lock_descriptor = None

    def lock(self):
        """Locks the folder and creates it if necessary; returns False if another process has locked it.

        Raises:
            OSError: The folder cannot be used.
        """
        os.makedirs(self.folder, exist_ok=True)
        descriptor = os.open(os.path.join(self.folder, "lock"), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return False
        self.lock_descriptor = descriptor
        return True

    def read(self, name):
        """Returns the content of a file; None if it does not exist.

        Raises:
            OSError: The file cannot be read.
        """
        try:
            with open(os.path.join(self.folder, name), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def replace(self, name, data):
        """Replaces the content of a file; returns once it is on disk.

        Raises:
            OSError: The write failed; the file on disk may have the old or the new content.
        """
        path = os.path.join(self.folder, name)
        # A new file each time: after a failed sync the kernel may regard the old file's dirty pages as clean.
        descriptor = os.open(path + ".new", os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            with open(descriptor, "wb", closefd=False) as file:
                file.write(data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.rename(path + ".new", path)
        self._sync_folder()

    def _sync_folder(self):
        """Syncs the folder, without which the rename may not be on disk."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self):
        """Unlocks the folder."""
        if self.lock_descriptor is not None:
            os.close(self.lock_descriptor)
            self.lock_descriptor = None
