"""A TCP relay that counts bytes, put between entry VMs and a control VM to measure what they send."""

from __future__ import annotations

import selectors
import socket
import threading

from arbutusrill_base import split_address

__all__ = ["Tap"]

_CHUNK = 262_144


class Tap:
    """Relays connections to `target` while its context is open and counts the bytes both ways.

    `to_target` and `from_target` are totals in bytes of payload, without the headers of TCP and IP.
    """

    def __init__(self, target: str):
        self._target = split_address(target)
        self._listener = socket.create_server((self._target[0], 0), backlog=512)
        self.address = "{}:{}".format(*self._listener.getsockname())
        self.to_target = 0
        self.from_target = 0
        self._selector = selectors.DefaultSelector()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="tap", daemon=True)

    def __enter__(self) -> Tap:
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        self._thread.join(3)
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()
        self._selector.close()

    def _run(self) -> None:
        while not self._stopping.is_set():
            for key, _ in self._selector.select(0.2):
                if key.fileobj is self._listener:
                    self._accept()
                else:
                    self._relay(key.fileobj, *key.data)

    def _accept(self) -> None:
        near, _ = self._listener.accept()
        try:
            far = socket.create_connection(self._target, timeout=2)
        except OSError:
            near.close()
            return
        for own, peer, inward in ((near, far, True), (far, near, False)):
            own.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            own.settimeout(2)
            self._selector.register(own, selectors.EVENT_READ, (peer, inward))

    def _relay(self, own: socket.socket, peer: socket.socket, inward: bool) -> None:
        try:
            data = own.recv(_CHUNK)
            if data:
                peer.sendall(data)
                if inward:
                    self.to_target += len(data)
                else:
                    self.from_target += len(data)
                return
        except OSError:
            pass
        for closed in (own, peer):
            try:
                self._selector.unregister(closed)
            except (KeyError, ValueError):
                pass
            closed.close()
