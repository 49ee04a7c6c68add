"""Membership of a replicated group and its allowed changes."""

from __future__ import annotations

import json
from dataclasses import dataclass, replace

__all__ = ["Membership", "MembershipError", "address_of", "member_id"]


class MembershipError(Exception):
    """A membership change that is not allowed; the message says why."""


def member_id(address: str, disk_id: str) -> str:
    """Returns the ID of the replica with this address and disk; after the loss of its disk it is a new member.

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
    """Member IDs of a group's voters and learners; learners receive the log and have no vote.

    `leaving` names members that a new voter replaces. Whoever leads removes them next, so that a replacement is
    finished also when the leader that has begun it is lost.
    """

    group: str
    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()

    @property
    def members(self) -> tuple[str, ...]:
        """All member IDs, voters first."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """Number of voters in a majority."""
        return len(self.voters) // 2 + 1

    def find(self, name: str) -> str:
        """Returns the ID of the only member with this ID or RPC address; raises `MembershipError` otherwise."""
        found = [member for member in self.members if name in (member, address_of(member))]
        if len(found) == 1:
            return found[0]
        if found:
            raise MembershipError(f"{name!r} names several members: {', '.join(found)}; give the whole ID")
        raise MembershipError(f"{name!r} is no member; the members are {', '.join(self.members)}")

    def with_learner(self, member: str) -> Membership:
        """Returns the membership with `member` as a learner; unchanged when it is a member already."""
        return self if member in self.members else replace(self, learners=(*self.learners, member))

    def with_voter(self, member: str, replaced: str | None = None) -> Membership:
        """Returns the membership with a learner made a voter; unchanged when it is a voter already.

        `replaced` and all other members at the address of `member` become `leaving`: an address has one disk at a time,
        and the others were those of lost disks. Raises `MembershipError` when `member` is no member.
        """
        if member in self.voters:
            return self
        if member not in self.learners:
            raise MembershipError(f"{member} is no learner")
        learners = tuple(other for other in self.learners if other != member)
        leaving = tuple(
            other
            for other in self.members
            if other != member
            and (other == replaced or other in self.leaving or address_of(other) == address_of(member))
        )
        return replace(self, voters=(*self.voters, member), learners=learners, leaving=leaving)

    def without(self, member: str) -> Membership:
        """Returns the membership without `member`; unchanged when it is no member.

        Raises `MembershipError` for the last voter.
        """
        if self.voters == (member,):
            raise MembershipError(f"{member} is the last voter")
        return replace(
            self,
            voters=tuple(other for other in self.voters if other != member),
            learners=tuple(other for other in self.learners if other != member),
            leaving=tuple(other for other in self.leaving if other != member),
        )

    def encode(self) -> bytes:
        """Returns the JSON that log entries and snapshots hold."""
        value = {"group": self.group, "voters": self.voters, "learners": self.learners, "leaving": self.leaving}
        return json.dumps(value).encode()

    @classmethod
    def decode(cls, data: bytes) -> Membership:
        """Parses the output of `encode`.

        >>> Membership.decode(Membership("g", ("a/1",)).encode())
        Membership(group='g', voters=('a/1',), learners=(), leaving=())
        """
        value = json.loads(data)
        # Entries of earlier versions have no `leaving`.
        return cls(value["group"], *(tuple(value.get(name, ())) for name in ("voters", "learners", "leaving")))
