"""Guards against a client that loses track of the control VMs."""

from arbutusrill_state import ControlClient


def test_group_with_two_members_at_one_address_is_learned_and_left_again():
    with ControlClient(["127.0.0.1:1"]) as client:
        # While a VM with a lost disk is replaced, its old and its new member have the same address.
        client.learn(["127.0.0.1:2", "127.0.0.1:2", "127.0.0.1:3"])
        client.learn(["127.0.0.1:3"])
        client.learn(["127.0.0.1:4"])
        assert client._first()[0] == "127.0.0.1:4"
