"""Guards against a control client that keeps outdated addresses of control VMs, or connections that are silent."""

import socket
import threading
import time

from arbutusrill_wire import RpcServer, messages

from arbutusrill_state import ControlClient


class Proxy:
    """Forwards connections; those that are open when `silence` is called carry nothing from then on."""

    def __init__(self, target):
        self._target = target
        self._silent = set()
        self._open = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for connection in [self._listener, *self._open]:
            connection.close()

    def silence(self):
        self._silent.update(self._open)

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            host, _, port = self._target.rpartition(":")
            far = socket.create_connection((host, int(port)))
            self._open += [near, far]
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self._forward, args=(source, sink), daemon=True).start()

    def _forward(self, source, sink):
        try:
            while data := source.recv(65_536):
                if source not in self._silent:
                    sink.sendall(data)
        except OSError:
            pass


class Handler:
    def __getattr__(self, name):
        def slow(*_):
            time.sleep(0.1)
            return 7.0

        return slow


def test_one_failed_call_closes_all_connections_to_its_vm():
    # Each call met another silent connection and failed, although new ones worked.
    charge = messages.TokenCharge("vm", 1, "w", 1.0)
    with (
        RpcServer("127.0.0.1", 0, {messages.Site: Handler()}) as server,
        Proxy(server.address) as proxy,
        ControlClient([proxy.address], messages.Site) as client,
    ):
        threads = [
            threading.Thread(target=client.call, args=("charge_tokens", charge), kwargs={"timeout": 5.0})
            for _ in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        proxy.silence()
        assert client.call("charge_tokens", charge, timeout=1.5, try_timeout=0.4) == 7.0


def test_duplicate_address_is_added_once_and_removed_again():
    with ControlClient(["127.0.0.1:1"]) as client:
        # While a VM that lost its disk is replaced, its old and its new member have the same address.
        client.set_addresses(["127.0.0.1:2", "127.0.0.1:2", "127.0.0.1:3"])
        client.set_addresses(["127.0.0.1:3"])
        client.set_addresses(["127.0.0.1:4"])
        assert client._preferred_client()[0] == "127.0.0.1:4"
