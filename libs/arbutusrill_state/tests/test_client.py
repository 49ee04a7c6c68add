"""Guards against a control client that keeps outdated or duplicate addresses of control VMs."""

from arbutusrill_state import ControlClient


def test_duplicate_address_is_added_once_and_removed_again():
    with ControlClient(["127.0.0.1:1"]) as client:
        # While a VM that lost its disk is replaced, its old and its new member have the same address.
        client.set_addresses(["127.0.0.1:2", "127.0.0.1:2", "127.0.0.1:3"])
        client.set_addresses(["127.0.0.1:3"])
        client.set_addresses(["127.0.0.1:4"])
        assert client._preferred_client()[0] == "127.0.0.1:4"
