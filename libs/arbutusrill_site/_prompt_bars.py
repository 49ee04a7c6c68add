"""Barred and suspected parts of prompts as an entry VM knows them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

__all__ = ["BarredSet", "PromptBars", "decode_prompt_bars"]


@dataclass(slots=True, frozen=True)
class BarredSet:
    """Parts of prompts that crash engines. `until` is the expected end of the bar, which only the leader ends."""

    parts: frozenset[str]
    until: float
    crashes: int


@dataclass(slots=True, frozen=True)
class PromptBars:
    """What the leader of `term` has told about parts of prompts, and when; times are on the clock of the `SiteView`."""

    term: int = 0
    revision: int = 0
    bars_revision: int = 0
    received_at: float = float("-inf")
    barred: tuple[BarredSet, ...] = ()
    suspected: frozenset[str] = frozenset()

    def is_older_than(self, other: PromptBars) -> bool:
        """Returns whether `other` is from a later state of the leader or from a later one."""
        return (self.term, self.revision) < (other.term, other.revision)

    def barred_set_in(self, parts: Iterable[str]) -> BarredSet | None:
        """Returns a barred set that a prompt with these parts contains, None if there is none.

        >>> bars = PromptBars(barred=(BarredSet(frozenset({"a", "b"}), 60.0, 3),))
        >>> bars.barred_set_in(["a", "c"]) is None, bars.barred_set_in(["b", "a"]).crashes
        (True, 3)
        """
        if not self.barred:
            return None
        parts = frozenset(parts)
        return next((barred for barred in self.barred if barred.parts <= parts), None)


def decode_prompt_bars(reply: Any, now: float) -> PromptBars:
    """Returns the bars in a reply of the leader that holds them."""
    return PromptBars(
        reply.term,
        reply.suspects_revision,
        reply.bars_revision,
        now,
        tuple(
            BarredSet(frozenset(barred.parts), now + barred.remaining_ms / 1000, barred.crashes)
            for barred in reply.barred
            if barred.parts
        ),
        frozenset(reply.suspected or ()),
    )
