"""Tests that the libraries import only the libraries that pyproject.toml allows, and no private modules."""

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
LAYERS = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["arbutusrill"]["layers"]


def imported_libraries(path: Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        names = []
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.level == 0:
            names = [node.module]
        found |= {name for name in names if name.startswith("arbutusrill_")}
    return found


@pytest.mark.parametrize("library", sorted(LAYERS))
def test_library_imports_only_its_layers_and_no_private_module(library):
    folder = ROOT / "libs" / f"arbutusrill_{library}"
    for path in folder.rglob("*.py"):
        for name in imported_libraries(path):
            other, _, inner = name.removeprefix("arbutusrill_").partition(".")
            assert other == library or other in LAYERS[library] or "tests" in path.parts, f"{path} imports {name}"
            assert other == library or not inner.startswith("_"), f"{path} imports the private module {name}"


def test_every_library_has_a_layer():
    found = {path.name.removeprefix("arbutusrill_") for path in (ROOT / "libs").glob("arbutusrill_*")}
    assert found == set(LAYERS)
