"""Access to the files of one replica; tests inject disk faults through the interface `Folder`."""

from __future__ import annotations

import abc
import fcntl
import os
from pathlib import Path

__all__ = ["DiskFolder", "Folder"]


class Folder(abc.ABC):
    """A flat folder of files. Methods may raise `OSError`; content and names are durable only after their sync."""

    @abc.abstractmethod
    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""

    @abc.abstractmethod
    def size(self, name: str) -> int:
        """Returns the length of a file in bytes."""

    @abc.abstractmethod
    def read(self, name: str, offset: int = 0, size: int = -1) -> bytes:
        """Returns at most `size` bytes from `offset` on; all of them when `size` is negative."""

    @abc.abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Appends bytes to a file, which is created when it does not exist."""

    @abc.abstractmethod
    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""

    @abc.abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to `size` bytes; durable on return."""

    @abc.abstractmethod
    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing an existing file `new`."""

    @abc.abstractmethod
    def remove(self, name: str) -> None:
        """Removes a file if it exists."""

    @abc.abstractmethod
    def sync_directory(self) -> None:
        """Makes the creation, renaming and removal of files durable."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes open files."""

    def replace(self, name: str, data: bytes) -> None:
        """Replaces the content of a file atomically: after a crash it is either old or new; durable on return."""
        temporary = f"new-{name}"
        self.remove(temporary)
        self.append(temporary, data)
        self.sync(temporary)
        self.rename(temporary, name)
        self.sync_directory()


class DiskFolder(Folder):
    """A folder of the file system, created when missing and locked against other processes.

    Raises `BlockingIOError` when another process uses it.
    """

    def __init__(self, path: str | Path):
        self._path = Path(path)
        created = not self._path.exists()
        self._path.mkdir(parents=True, exist_ok=True)
        self._directory_fd = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        if created:
            _sync_directory(self._path.parent)
        self._fd_by_name: dict[str, int] = {}
        try:
            fcntl.flock(self._directory_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._directory_fd)
            raise BlockingIOError(f"{path} is in use by another process") from None

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        return sorted(path.name for path in self._path.iterdir())

    def size(self, name: str) -> int:
        """Returns the length of a file in bytes."""
        return (self._path / name).stat().st_size

    def read(self, name: str, offset: int = 0, size: int = -1) -> bytes:
        """Returns at most `size` bytes from `offset` on; all of them when `size` is negative."""
        with (self._path / name).open("rb") as file:
            file.seek(offset)
            return file.read(size)

    def append(self, name: str, data: bytes) -> None:
        """Appends bytes to a file, which is created when it does not exist."""
        view = memoryview(data)
        while view:
            view = view[os.write(self._open_for_append(name), view) :]

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""
        os.fsync(self._open_for_append(name))

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to `size` bytes; durable on return."""
        os.ftruncate(self._open_for_append(name), size)
        self.sync(name)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing an existing file `new`."""
        self._close_file(old)
        self._close_file(new)
        (self._path / old).replace(self._path / new)

    def remove(self, name: str) -> None:
        """Removes a file if it exists."""
        self._close_file(name)
        (self._path / name).unlink(missing_ok=True)

    def sync_directory(self) -> None:
        """Makes the creation, renaming and removal of files durable."""
        os.fsync(self._directory_fd)

    def close(self) -> None:
        """Closes open files and releases the lock."""
        for name in list(self._fd_by_name):
            self._close_file(name)
        os.close(self._directory_fd)

    def _open_for_append(self, name: str) -> int:
        if name not in self._fd_by_name:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._fd_by_name[name] = os.open(self._path / name, flags, 0o600)
        return self._fd_by_name[name]

    def _close_file(self, name: str) -> None:
        descriptor = self._fd_by_name.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def _sync_directory(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
