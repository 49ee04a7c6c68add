"""TCP relay that counts bytes, used to measure the traffic between entry VMs and a control VM."""

from __future__ import annotations

import selectors
import socket
import threading

from arbutusrill_base import split_address

__all__ = ["Tap"]

_MAX_RECV_BYTES = 262_144


class Tap:
    """Context manager that relays TCP connections to `target` and counts the bytes in both directions.

    `to_target` and `from_target` are total payload bytes, without TCP and IP headers.
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
        client, _ = self._listener.accept()
        try:
            upstream = socket.create_connection(self._target, timeout=2)
        except OSError:
            client.close()
            return
        for source, peer, is_to_target in ((client, upstream, True), (upstream, client, False)):
            source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            source.settimeout(2)
            self._selector.register(source, selectors.EVENT_READ, (peer, is_to_target))

    def _relay(self, source: socket.socket, peer: socket.socket, is_to_target: bool) -> None:
        try:
            data = source.recv(_MAX_RECV_BYTES)
            if data:
                peer.sendall(data)
                if is_to_target:
                    self.to_target += len(data)
                else:
                    self.from_target += len(data)
                return
        except OSError:
            pass
        for closed in (source, peer):
            try:
                self._selector.unregister(closed)
            except (KeyError, ValueError):
                pass
            closed.close()
