"""The small file layer under the fleet's parts: whole files of one folder, each replaced by its next one."""

import fcntl
import os


class Files:
    """Each call may take as long as the disk does: not for the loop. Raises OSError."""

    def __init__(self, folder):
        self.folder, self.held = folder, None

    def lock(self):
        """False while another process has the folder."""
        os.makedirs(self.folder, exist_ok=True)
        fd = os.open(os.path.join(self.folder, "lock"), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return False
        self.held = fd
        return True

    def read(self, name):
        try:
            with open(os.path.join(self.folder, name), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def replace(self, name, data):
        """Returns once the new content is on the disk under that name, or raises: then it may be neither."""
        path = os.path.join(self.folder, name)
        # A file of its own each time: after a failed sync the pages may pass for clean.
        fd = os.open(path + ".new", os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            with open(fd, "wb", closefd=False) as file:
                file.write(data)
            os.fsync(fd)
        finally:
            os.close(fd)
        os.rename(path + ".new", path)
        # The name is on the disk only with its folder.
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def close(self):
        if self.held is not None:
            os.close(self.held)
            self.held = None
