"""Generates the JSON specification of the thrift messages; run it after each change of the IDL."""

from __future__ import annotations

from pathlib import Path

import thriftpy2

from ._specs import describe

__all__ = ["generate", "main"]

_IDL = Path(__file__).with_name("arbutusrill.thrift")


def generate() -> str:
    """Returns the JSON specification of the IDL file."""
    return describe(thriftpy2.load(str(_IDL), module_name="arbutusrill_idl_thrift"))


def main() -> None:
    """Writes the JSON specification next to the IDL file."""
    _IDL.with_suffix(".json").write_text(generate(), encoding="utf-8")


if __name__ == "__main__":
    main()
