"""Guards against buckets that grant more than the bound, lose tokens or count them twice."""

import pytest
from arbutusrill_base import ManualClock
from arbutusrill_wire import messages

from arbutusrill_limits import Bucket, GrantBoundError, GrantOwner, Limits

LIMITS = Limits(1000.0, 2000.0)  # lease 0.5 s, capacity 1500


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture
def owner(clock):
    grant_owner = GrantOwner({"a": LIMITS}.get, clock)
    grant_owner.begin_epoch(1)
    clock.advance(10)
    return grant_owner


def request_grant(owner, sequence, wanted=0.0, needed=0.0, returns=(), vm="v1", epoch=1):
    item = messages.GrantItem("a", wanted, 0.0, needed, list(returns))
    return owner.grant(messages.GrantRequest(vm, 7, [item], 0, sequence), epoch).grants[0]


def test_bound_detects_an_error_in_the_level():
    bucket = Bucket(LIMITS, 0.0)
    bucket.withdraw(1500, 10.0)
    bucket.level += 500  # the injected error
    with pytest.raises(GrantBoundError):
        bucket.withdraw(500, 10.0)


def test_bound_detects_an_error_in_the_credit():
    bucket = Bucket(LIMITS, 0.0)
    bucket.withdraw(1000, 10.0)
    bucket.advance(20.0)
    bucket.level += 1000  # full again since the grant, so a refund of it must not be credited
    with pytest.raises(GrantBoundError):
        bucket.withdraw(2000, 20.0)


@pytest.mark.parametrize("limits", [Limits(1.0, 1.0), Limits(1e6, 1000.0), Limits(5.0, 1e9), LIMITS])
def test_capacity_and_lease_are_positive_for_any_limits(limits):
    assert limits.capacity > 0 and limits.lease_s > 0


def test_burst_is_split_over_vms_and_not_multiplied(owner):
    granted_tokens = [request_grant(owner, 1, 1000, 1000, vm=f"v{n}").tokens for n in range(5)]
    assert granted_tokens == [1000, 0, 0, 0, 0]


def test_resent_request_gets_the_same_reply_and_is_granted_once(owner):
    first = request_grant(owner, 1, 1000, 1000)
    again = request_grant(owner, 1, 1000, 1000)
    assert again == first
    assert request_grant(owner, 1, 500, 500, vm="v2").tokens == 500


def test_resent_returns_are_credited_once(owner):
    grant = request_grant(owner, 1, 1500, 1500)
    back = [messages.ReturnedTokens(700, grant.issued_us, 1)]
    for _ in range(3):
        request_grant(owner, 2, returns=back)
    assert request_grant(owner, 1, 1500, vm="v2").tokens == 700


def test_overtaken_request_is_refused(owner):
    request_grant(owner, 2, 100, 100)
    with pytest.raises(messages.Refused, match="stale_request"):
        request_grant(owner, 1, 100, 100)


def test_return_after_the_bucket_was_full_credits_nothing(owner, clock):
    grant = request_grant(owner, 1, 500, 500)
    clock.advance(5)
    request_grant(owner, 1, 1500, 1500, vm="v2")
    request_grant(owner, 2, returns=[messages.ReturnedTokens(500, grant.issued_us, 1)])
    assert request_grant(owner, 2, 1500, vm="v2").tokens == 0


def test_returns_of_an_earlier_epoch_are_not_credited(owner, clock):
    grant = request_grant(owner, 1, 1500, 1500)
    request_grant(owner, 1, returns=[messages.ReturnedTokens(1500, grant.issued_us, 1)], epoch=2)
    assert request_grant(owner, 2, 1500, epoch=2).tokens == 0


def test_new_epoch_waits_for_the_grants_of_the_last_leader(owner, clock):
    request_grant(owner, 1, 1500, 1500)
    assert request_grant(owner, 1, 10, epoch=2).tokens == 0
    clock.advance(1.2)
    assert request_grant(owner, 2, 10, epoch=2).tokens == pytest.approx(0, abs=0.01)
    clock.advance(0.1)
    assert request_grant(owner, 3, 1000, epoch=2).tokens == pytest.approx(100)


def test_small_charges_of_other_vms_do_not_starve_a_large_one(owner, clock):
    request_grant(owner, 1, 1500, 1500, vm="small")
    sequence = 1
    for _ in range(32):
        clock.advance(0.05)
        sequence += 1
        if request_grant(owner, sequence, 1400, 1400, vm="large").tokens:
            break
        request_grant(owner, sequence, 50, 50, vm="small")
    assert sequence < 32


def test_lower_burst_caps_the_bucket_level_at_once(clock):
    limits = {"a": LIMITS}
    owner = GrantOwner(limits.get, clock)
    owner.begin_epoch(1)
    clock.advance(10)
    limits["a"] = Limits(1000.0, 400.0)
    assert request_grant(owner, 1, 5000).tokens == pytest.approx(limits["a"].capacity)


def test_removed_workspace_gets_no_second_burst(clock):
    limits = {"a": LIMITS}
    owner = GrantOwner(limits.get, clock)
    owner.begin_epoch(1)
    clock.advance(10)
    request_grant(owner, 1, 1500)
    del limits["a"]
    request_grant(owner, 2, 1500)
    limits["a"] = LIMITS
    assert request_grant(owner, 3, 1500).tokens == 0
