"""Local test sites, load generation, benchmarks and randomised fault-injection tests."""

from ._site import LocalSite, Member, SiteError, free_address

__all__ = ["LocalSite", "Member", "SiteError", "free_address"]
