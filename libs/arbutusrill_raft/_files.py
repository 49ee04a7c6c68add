"""The files of one replica, behind an interface that tests replace by a faulty disk."""

from __future__ import annotations

import abc
import fcntl
import os
from pathlib import Path

__all__ = ["DiskFolder", "Folder"]


class Folder(abc.ABC):
    """A flat folder of files. Every method may raise `OSError`; nothing is durable before its sync."""

    @abc.abstractmethod
    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""

    @abc.abstractmethod
    def size(self, name: str) -> int:
        """Returns the length of a file in bytes."""

    @abc.abstractmethod
    def read(self, name: str, offset: int = 0, size: int = -1) -> bytes:
        """Returns `size` bytes from `offset` on, or all that follow."""

    @abc.abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Adds bytes to the end of a file, which is created when it does not exist."""

    @abc.abstractmethod
    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""

    @abc.abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Shortens a file and makes that durable."""

    @abc.abstractmethod
    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing the file of the new name."""

    @abc.abstractmethod
    def remove(self, name: str) -> None:
        """Removes a file if it exists."""

    @abc.abstractmethod
    def sync_names(self) -> None:
        """Makes created, renamed and removed names durable."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes open files."""

    def replace(self, name: str, data: bytes) -> None:
        """Writes a whole file so that a crash leaves either the old or the new content; durable on return."""
        temporary = f"new-{name}"
        self.remove(temporary)
        self.append(temporary, data)
        self.sync(temporary)
        self.rename(temporary, name)
        self.sync_names()


class DiskFolder(Folder):
    """A folder of the file system, created when missing and locked against a second process."""

    def __init__(self, path: str | Path):
        self._path = Path(path)
        created = not self._path.exists()
        self._path.mkdir(parents=True, exist_ok=True)
        self._descriptor = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        if created:
            _sync_folder(self._path.parent)
        self._open_by_name: dict[str, int] = {}
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._descriptor)
            raise BlockingIOError(f"{path} is in use by another process") from None

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        return sorted(path.name for path in self._path.iterdir())

    def size(self, name: str) -> int:
        """Returns the length of a file in bytes."""
        return (self._path / name).stat().st_size

    def read(self, name: str, offset: int = 0, size: int = -1) -> bytes:
        """Returns `size` bytes from `offset` on, or all that follow."""
        with (self._path / name).open("rb") as file:
            file.seek(offset)
            return file.read(size)

    def append(self, name: str, data: bytes) -> None:
        """Adds bytes to the end of a file, which is created when it does not exist."""
        view = memoryview(data)
        while view:
            view = view[os.write(self._open(name), view) :]

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""
        os.fsync(self._open(name))

    def truncate(self, name: str, size: int) -> None:
        """Shortens a file and makes that durable."""
        os.ftruncate(self._open(name), size)
        self.sync(name)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing the file of the new name."""
        self._forget(old)
        self._forget(new)
        (self._path / old).replace(self._path / new)

    def remove(self, name: str) -> None:
        """Removes a file if it exists."""
        self._forget(name)
        (self._path / name).unlink(missing_ok=True)

    def sync_names(self) -> None:
        """Makes created, renamed and removed names durable."""
        os.fsync(self._descriptor)

    def close(self) -> None:
        """Closes open files and releases the lock."""
        for name in list(self._open_by_name):
            self._forget(name)
        os.close(self._descriptor)

    def _open(self, name: str) -> int:
        if name not in self._open_by_name:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._open_by_name[name] = os.open(self._path / name, flags, 0o600)
        return self._open_by_name[name]

    def _forget(self, name: str) -> None:
        descriptor = self._open_by_name.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def _sync_folder(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
