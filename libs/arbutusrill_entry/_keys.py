"""Detection and redaction of API keys in text."""

from __future__ import annotations

import base64
import binascii
import re
from urllib.parse import unquote_plus

from arbutusrill_base import hash_key
from arbutusrill_state import ConfigState

__all__ = ["contains_issued_key", "contains_key", "redact_keys"]

# Format of the keys issued by `new_key`: 32 random bytes in URL-safe base64.
_KEY_PATTERN = re.compile(r"ak-[A-Za-z0-9_-]{43}")
_BASE64_PATTERN = re.compile(r"[A-Za-z0-9+/_-]{16,}={0,2}")
_JSON_ESCAPE_PATTERN = re.compile(r"\\u([0-9a-fA-F]{4})")
_MAX_PERCENT_DECODINGS = 3  # for nested percent-encoding


def contains_key(text: str, presented: str) -> bool:
    """Returns whether `text` contains the presented key or any string in key format.

    Percent-encoded and base64-encoded keys are found, too.

    >>> contains_key("a=ak%2D" + "x" * 43, ""), contains_key("ak-short", "")
    (True, False)
    """
    for _ in range(_MAX_PERCENT_DECODINGS):
        if _KEY_PATTERN.search(text) or (presented and presented in text):
            return True
        if any(_contains_plain_key(decoded, presented) for decoded in _decode_base64_parts(text)):
            return True
        text, before = unquote_plus(text), text
        if text == before:
            return False
    return _contains_plain_key(text, presented)


def contains_issued_key(text: str, config: ConfigState, presented: str) -> bool:
    """Returns whether `text` contains the presented key or any issued key, with or without JSON escapes."""
    text = _JSON_ESCAPE_PATTERN.sub(lambda found: chr(int(found[1], 16)), text)
    if presented and presented in text:
        return True
    if "ak-" not in text:
        return False
    return any(hash_key(found) in config.keys_by_hash for found in _KEY_PATTERN.findall(text))


def redact_keys(text: str) -> str:
    """Returns `text` for a log line, with every string in key format replaced.

    >>> redact_keys("model ak-" + "x" * 43)
    'model (key)'
    """
    return _KEY_PATTERN.sub("(key)", text)


def _contains_plain_key(text: str, presented: str) -> bool:
    return bool(_KEY_PATTERN.search(text) or (presented and presented in text))


def _decode_base64_parts(text: str) -> list[str]:
    texts = []
    for found in _BASE64_PATTERN.findall(text):
        standard = found.rstrip("=").replace("-", "+").replace("_", "/")
        try:
            texts.append(base64.b64decode(standard[: len(standard) // 4 * 4]).decode("latin-1"))
        except (binascii.Error, ValueError):
            continue
    return texts
