"""Files of records in one folder, each replaced whole and on disk once the call returns."""

import fcntl
import os


class RecordFiles:
    """One node's folder. Each call may take as long as the disk does: not for the event loop.

    Attributes:
        folder: Its path.
        lock_descriptor: The open lock file while this process has the folder, else None.
    """

    def __init__(self, folder):
        self.folder = folder
        self.lock_descriptor = None

    def lock(self):
        """Takes the folder, making it if need be; returns False while another process has it.

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
        """Returns a file's content, None where there is no such file.

        Raises:
            OSError: The file cannot be read.
        """
        try:
            with open(os.path.join(self.folder, name), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def replace(self, name, data):
        """Returns once the new content is on disk under that name.

        Raises:
            OSError: It is not known which content is on disk, the old or the new one.
        """
        path = os.path.join(self.folder, name)
        # A new file each time: after a failed sync the kernel may take the old file's pages for clean.
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
        """The new name is on disk only once the folder is."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self):
        """Gives the folder back."""
        if self.lock_descriptor is not None:
            os.close(self.lock_descriptor)
            self.lock_descriptor = None
