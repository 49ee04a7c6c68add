"""Thrift classes from their specification in JSON, which is read in a fraction of the time that the IDL takes.

The specification is generated from the IDL by ``python -m arbutusrill_wire.generate`` and committed with it.
"""

from __future__ import annotations

import json
from types import ModuleType
from typing import Any

from thriftpy2.thrift import TException, TPayload, TPayloadMeta, TType

__all__ = ["describe", "make_module"]

_BASE_BY_KIND = {"struct": TPayload, "exception": TException}


def describe(module: ModuleType) -> str:
    """Returns the specification of a module that thriftpy2 has loaded from an IDL file."""
    meta = module.__thrift_meta__
    specs: dict[str, Any] = {
        "enums": {enum.__name__: enum._NAMES_TO_VALUES for enum in meta["enums"]},
        "structs": {},
        "services": {},
    }
    for kind, classes in (("struct", meta["structs"]), ("exception", meta["exceptions"])):
        for payload in classes:
            line = payload.__thrift_lineno__
            specs["structs"][payload.__name__] = {"kind": kind, "line": line, "fields": _describe_fields(payload)}
    specs["structs"] = dict(sorted(specs["structs"].items(), key=lambda row: row[1].pop("line")))
    for service in meta["services"]:
        specs["services"][service.__name__] = {
            name: [_describe_fields(getattr(service, f"{name}_{part}")) for part in ("args", "result")]
            for name in service.thrift_services
        }
    # One line for each class, so that a change of the IDL shows as a change of a few lines.
    parts = [
        f'"{part}": {{\n' + ",\n".join(f'"{name}": {json.dumps(spec)}' for name, spec in rows.items()) + "\n}"
        for part, rows in specs.items()
    ]
    return "{\n" + ",\n".join(parts) + "\n}\n"


def _describe_fields(payload: type) -> list[Any]:
    numbered = {spec[1]: (number, spec) for number, spec in payload.thrift_spec.items()}
    fields = []
    for name, default in payload.default_spec:
        number, spec = numbered[name]
        fields.append([number, spec[0], name, _describe_type(spec[2]) if len(spec) == 4 else None, default])
    return fields


def _describe_type(extra: Any) -> Any:
    """Describes what a field's type consists of: a number, a class by its name, or a list of such."""
    if isinstance(extra, type):
        return extra.__name__
    return [_describe_type(part) for part in extra] if isinstance(extra, tuple) else extra


def make_module(name: str, text: str) -> ModuleType:
    """Returns a module with the classes of a specification."""
    specs, module = json.loads(text), ModuleType(name)
    for enum, value_by_name in specs["enums"].items():
        fields = {"_ttype": TType.I32, "_NAMES_TO_VALUES": value_by_name}
        fields["_VALUES_TO_NAMES"] = {value: key for key, value in value_by_name.items()}
        setattr(module, enum, type(enum, (), {"__module__": name, **value_by_name, **fields}))
    for struct, spec in specs["structs"].items():
        setattr(module, struct, _make_payload(module, struct, _BASE_BY_KIND[spec["kind"]], spec["fields"]))
    for service, calls in specs["services"].items():
        fields = {"__module__": name, "thrift_services": list(calls)}
        for call, parts in calls.items():
            for part, part_fields in zip(("args", "result"), parts, strict=True):
                fields[f"{call}_{part}"] = _make_payload(module, f"{call}_{part}", TPayload, part_fields)
        setattr(module, service, type(service, (), fields))
    return module


def _make_payload(module: ModuleType, name: str, base: type, fields: list[Any]) -> type:
    thrift_spec, default_spec, types_by_name = {}, [], {}
    for number, kind, field, extra, default in fields:
        made = _make_type(module, extra)
        thrift_spec[number] = (kind, field, False) if made is None else (kind, field, made, False)
        types_by_name[field] = (False, kind if made is None else (kind, made))
        default_spec.append((field, default))
    namespace = {"__module__": module.__name__, "_ttype": TType.STRUCT, "thrift_spec": thrift_spec}
    payload = TPayloadMeta(name, (base,), {**namespace, "_tspec": types_by_name, "default_spec": default_spec})
    payload.default_spec = default_spec  # the metaclass makes a constructor of it and drops it
    return payload


def _make_type(module: ModuleType, extra: Any) -> Any:
    if isinstance(extra, str):
        return getattr(module, extra)
    return tuple(_make_type(module, part) for part in extra) if isinstance(extra, list) else extra
