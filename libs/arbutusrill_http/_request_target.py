"""Encoding of the URL and the header lines of a request."""

from __future__ import annotations

import urllib.parse

__all__ = ["encoded", "field_text", "split_url"]

_ASCII = bytes(range(128))


def split_url(url: str) -> tuple[str, str]:
    """Returns the URL of the server and the target on it; only bytes beyond ASCII are percent-encoded in the target.

    >>> split_url("http://10.0.0.1:80/a%c3/../b?c")
    ('http://10.0.0.1:80/', '/a%c3/../b?c')
    """
    scheme, _, rest = url.partition("://")
    authority, _, target = rest.partition("/")
    return f"{scheme}://{authority}/", "/" + urllib.parse.quote(encoded(target), safe=_ASCII)


def encoded(text: str) -> bytes:
    """Encodes text of a request; text that came from a request is in Latin-1 and returns to the same bytes.

    Other text has to go through `field_text`: its bytes would depend on its characters.
    """
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError:
        return text.encode()


def field_text(text: str) -> str:
    r"""Returns `text` as the value of a header field that is sent in UTF-8, whatever characters it has.

    >>> encoded(field_text("Café")), encoded(field_text("Nhà"))
    (b'Caf\xc3\xa9', b'Nh\xc3\xa0')
    """
    return text.encode().decode("latin-1")
