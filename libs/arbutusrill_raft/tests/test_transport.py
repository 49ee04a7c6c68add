"""Guards against a middlebox that drops the traffic of open connections while new ones work."""

import socket
import threading

import pytest
from arbutusrill_wire import RpcServer, messages

from arbutusrill_raft import RpcTransport


class Middlebox:
    """TCP proxy to one address; after `drop_connections` it silently drops the data of all open connections."""

    def __init__(self, target):
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._generation = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def drop_connections(self):
        self._generation += 1

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                client_side, _ = self._listener.accept()
            except OSError:
                return
            server_side = socket.create_connection(self._target)
            for sockets in ((client_side, server_side), (server_side, client_side)):
                threading.Thread(target=self._forward, args=(*sockets, self._generation), daemon=True).start()

    def _forward(self, source, destination, generation):
        while data := source.recv(65536):
            if generation == self._generation:
                destination.sendall(data)


class VoteHandler:
    def __init__(self):
        self.two_calls = threading.Barrier(2)

    def vote(self, request):
        if request.term == 1:
            self.two_calls.wait(30)  # holds two connections open at the same time
        return messages.VoteReply(request.term, True)

    append = install_snapshot = hello = None


def test_all_silent_connections_are_replaced_after_one_failed_call():
    with RpcServer("127.0.0.1", 0, {messages.Raft: VoteHandler()}) as server:
        host, _, port = server.address.partition(":")
        middlebox = Middlebox((host, int(port)))
        transport = RpcTransport()

        def vote(term, timeout=30):
            return transport.call(middlebox.address, "vote", messages.VoteRequest(term), timeout).granted

        threads = [threading.Thread(target=vote, args=(1,)) for _ in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        middlebox.drop_connections()
        with pytest.raises(ConnectionError):
            vote(2, timeout=0.3)
        assert vote(3)
        transport.close()
        middlebox.close()
