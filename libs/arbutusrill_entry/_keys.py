"""Recognition of keys in whatever text they appear."""

from __future__ import annotations

import base64
import binascii
import re
from urllib.parse import unquote_plus

from arbutusrill_base import hash_key
from arbutusrill_state import ConfigState

__all__ = ["holds_issued_key", "holds_key", "redacted"]

# The form of the keys that `new_key` issues: 32 random bytes in URL-safe base64.
_KEY = re.compile(r"ak-[A-Za-z0-9_-]{43}")
_BASE64 = re.compile(r"[A-Za-z0-9+/_-]{16,}={0,2}")
_JSON_ESCAPE = re.compile(r"\\u([0-9a-fA-F]{4})")
_DECODINGS = 3  # of percent-encoding, one inside the other


def holds_key(text: str, presented: str) -> bool:
    """Says whether `text` holds the presented key or anything of the form of a key, encoded or not.

    >>> holds_key("a=ak%2D" + "x" * 43, ""), holds_key("ak-short", "")
    (True, False)
    """
    for _ in range(_DECODINGS):
        if _KEY.search(text) or (presented and presented in text):
            return True
        if any(_plainly(decoded, presented) for decoded in _base64_texts(text)):
            return True
        text, before = unquote_plus(text), text
        if text == before:
            return False
    return _plainly(text, presented)


def holds_issued_key(text: str, config: ConfigState, presented: str) -> bool:
    """Says whether `text` holds the presented key or any key that was ever issued, plain or with JSON escapes."""
    text = _JSON_ESCAPE.sub(lambda found: chr(int(found[1], 16)), text)
    if presented and presented in text:
        return True
    if "ak-" not in text:
        return False
    return any(hash_key(found) in config.keys_by_hash for found in _KEY.findall(text))


def redacted(text: str) -> str:
    """Returns `text` with everything of the form of a key replaced, for logs.

    >>> redacted("model ak-" + "x" * 43)
    'model (key)'
    """
    return _KEY.sub("(key)", text)


def _plainly(text: str, presented: str) -> bool:
    return bool(_KEY.search(text) or (presented and presented in text))


def _base64_texts(text: str) -> list[str]:
    texts = []
    for found in _BASE64.findall(text):
        plain = found.rstrip("=").replace("-", "+").replace("_", "/")
        try:
            texts.append(base64.b64decode(plain[: len(plain) // 4 * 4]).decode("latin-1"))
        except (binascii.Error, ValueError):
            continue
    return texts
