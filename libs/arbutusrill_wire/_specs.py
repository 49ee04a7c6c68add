"""Creation of thrift classes from a JSON specification, which loads much faster than parsing the IDL.

``python -m arbutusrill_wire.generate`` generates the specification from the IDL; both are committed.
"""

from __future__ import annotations

import json
from types import ModuleType
from typing import Any

from thriftpy2.thrift import TException, TPayload, TPayloadMeta, TType

__all__ = ["describe", "make_module"]

_BASE_BY_KIND = {"struct": TPayload, "exception": TException}


def describe(module: ModuleType) -> str:
    """Returns the JSON specification of a module that thriftpy2 has loaded from an IDL file."""
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
    # One line per class keeps the diff of an IDL change small.
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


def _describe_type(type_spec: Any) -> Any:
    """Describes the type parameters of a field: a type code, a class name, or a list of these."""
    if isinstance(type_spec, type):
        return type_spec.__name__
    return [_describe_type(part) for part in type_spec] if isinstance(type_spec, tuple) else type_spec


def make_module(name: str, text: str) -> ModuleType:
    """Returns a module with the enums, structs and services of a JSON specification."""
    specs, module = json.loads(text), ModuleType(name)
    for enum, value_by_name in specs["enums"].items():
        fields = {"_ttype": TType.I32, "_NAMES_TO_VALUES": value_by_name}
        fields["_VALUES_TO_NAMES"] = {value: key for key, value in value_by_name.items()}
        setattr(module, enum, type(enum, (), {"__module__": name, **value_by_name, **fields}))
    for struct, spec in specs["structs"].items():
        setattr(module, struct, _make_payload(module, struct, _BASE_BY_KIND[spec["kind"]], spec["fields"]))
    for service, methods in specs["services"].items():
        fields = {"__module__": name, "thrift_services": list(methods)}
        for method, method_specs in methods.items():
            for part, part_fields in zip(("args", "result"), method_specs, strict=True):
                fields[f"{method}_{part}"] = _make_payload(module, f"{method}_{part}", TPayload, part_fields)
        setattr(module, service, type(service, (), fields))
    return module


def _make_payload(module: ModuleType, name: str, base: type, fields: list[Any]) -> type:
    thrift_spec, default_spec, types_by_name = {}, [], {}
    for number, kind, field, type_spec, default in fields:
        field_type = _make_type(module, type_spec)
        thrift_spec[number] = (kind, field, False) if field_type is None else (kind, field, field_type, False)
        types_by_name[field] = (False, kind if field_type is None else (kind, field_type))
        default_spec.append((field, default))
    namespace = {"__module__": module.__name__, "_ttype": TType.STRUCT, "thrift_spec": thrift_spec}
    payload = TPayloadMeta(name, (base,), {**namespace, "_tspec": types_by_name, "default_spec": default_spec})
    payload.default_spec = default_spec  # the metaclass removes it after generating the constructor
    return payload


def _make_type(module: ModuleType, type_spec: Any) -> Any:
    if isinstance(type_spec, str):
        return getattr(module, type_spec)
    return tuple(_make_type(module, part) for part in type_spec) if isinstance(type_spec, list) else type_spec
