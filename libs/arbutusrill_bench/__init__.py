"""Local sites, load and reports."""

from ._site import LocalSite, Member, SiteError, free_address

__all__ = ["LocalSite", "Member", "SiteError", "free_address"]
