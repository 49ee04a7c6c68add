"""Members of a replicated group and the changes allowed to them."""

from __future__ import annotations

import json
from dataclasses import dataclass, replace

__all__ = ["Membership", "MembershipError", "address_of", "member_id"]


class MembershipError(Exception):
    """A membership change that is not allowed; the message says why."""


def member_id(address: str, disk_id: str) -> str:
    """Names a member by its RPC address and its disk, so that a replica with a lost disk is another member.

    >>> member_id("10.0.0.1:7400", "3f2a91c0d4e5")
    '10.0.0.1:7400/3f2a91c0d4e5'
    """
    return f"{address}/{disk_id}"


def address_of(member: str) -> str:
    """Returns the RPC address in a member ID.

    >>> address_of("10.0.0.1:7400/3f2a91c0d4e5")
    '10.0.0.1:7400'
    """
    return member.partition("/")[0]


@dataclass(slots=True, frozen=True)
class Membership:
    """Voters and learners of a group by member ID; learners receive the log and have no vote."""

    group: str
    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()

    @property
    def members(self) -> tuple[str, ...]:
        """All member IDs, voters first."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """Number of voters in a majority."""
        return len(self.voters) // 2 + 1

    def find(self, name: str) -> str:
        """Returns the one member with this ID or RPC address; raises `MembershipError` otherwise."""
        found = [member for member in self.members if name in (member, address_of(member))]
        if len(found) == 1:
            return found[0]
        if found:
            raise MembershipError(f"{name!r} names several members: {', '.join(found)}; give the whole ID")
        raise MembershipError(f"{name!r} is no member; the members are {', '.join(self.members)}")

    def with_learner(self, member: str) -> Membership:
        """Returns the membership with one more learner; unchanged when it is a member already."""
        return self if member in self.members else replace(self, learners=(*self.learners, member))

    def with_voter(self, member: str) -> Membership:
        """Returns the membership with a learner made a voter; unchanged when it is a voter already."""
        if member in self.voters:
            return self
        if member not in self.learners:
            raise MembershipError(f"{member} is no learner")
        learners = tuple(other for other in self.learners if other != member)
        return replace(self, voters=(*self.voters, member), learners=learners)

    def without(self, member: str) -> Membership:
        """Returns the membership without a member; unchanged when it is none."""
        if self.voters == (member,):
            raise MembershipError(f"{member} is the last voter")
        return replace(
            self,
            voters=tuple(other for other in self.voters if other != member),
            learners=tuple(other for other in self.learners if other != member),
        )

    def encode(self) -> bytes:
        """Returns the form that log entries and snapshots carry."""
        return json.dumps({"group": self.group, "voters": self.voters, "learners": self.learners}).encode()

    @classmethod
    def decode(cls, data: bytes) -> Membership:
        """Parses what `encode` returned.

        >>> Membership.decode(Membership("g", ("a/1",)).encode())
        Membership(group='g', voters=('a/1',), learners=())
        """
        value = json.loads(data)
        return cls(value["group"], tuple(value["voters"]), tuple(value["learners"]))
