"""Imports between packages go in one direction, from programs down to the interface types (docs/architecture.md)."""

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[1] / "hollyridge"
# From top to bottom. A package imports from lower layers only; imports within a layer are listed in ALLOWED.
LAYERS = (
    ("node", "service", "cli", "lab", "benchlink"),
    ("settings", "platform_settings"),
    ("resp", "sasp", "chp", "otlp", "discovery", "client"),
    ("peers",),
    ("core",),
    ("solver",),
    ("decisions",),
    ("delivery", "telemetry", "registration"),
    ("store",),
    ("interface", "membership", "limits", "sessions", "keys"),
    ("errors",),
)
ALLOWED = {
    ("cli", "lab"),
    ("cli", "service"),
    ("lab", "service"),
    ("client", "sasp"),
    ("client", "chp"),
    ("client", "otlp"),
    ("lab", "cli"),  # lab/stand_ins/assigner starts the assigner command with another decision module
}
DEPTH = {package: depth for depth, layer in enumerate(LAYERS) for package in layer}


def package_of(path: Path) -> str:
    return path.relative_to(PACKAGE).parts[0].removesuffix(".py")


def imported_packages(path: Path) -> set[str]:
    names = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module == "hollyridge":
            names += [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and (node.module or "").startswith("hollyridge."):
            names.append(node.module.split(".")[1])
        elif isinstance(node, ast.Import):
            names += [alias.name.split(".")[1] for alias in node.names if alias.name.startswith("hollyridge.")]
    return set(names)


def modules() -> list[Path]:
    return [path for path in sorted(PACKAGE.rglob("*.py")) if path != PACKAGE / "__init__.py"]


def test_every_package_has_a_layer():
    assert {package_of(path) for path in modules()} == set(DEPTH)


@pytest.mark.parametrize("package", sorted(DEPTH))
def test_a_package_imports_downwards_only(package):
    upwards = {
        (str(path.relative_to(PACKAGE)), other)
        for path in modules()
        if package_of(path) == package
        for other in imported_packages(path) - {package}
        if DEPTH[other] <= DEPTH[package] and (package, other) not in ALLOWED
    }
    assert upwards == set()


def module_name(path: Path) -> str:
    parts = path.relative_to(PACKAGE.parent).with_suffix("").parts
    return ".".join(parts).removesuffix(".__init__")


def top_level_imports(path: Path, known: set[str]) -> set[str]:
    found = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("hollyridge"):
            found |= {f"{node.module}.{alias.name}" for alias in node.names} | {node.module}
        elif isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
    return found & known


def test_modules_have_no_circular_imports():
    paths = {module_name(path): path for path in modules()}
    graph = {name: top_level_imports(path, set(paths)) - {name} for name, path in paths.items()}
    while graph:
        leaves = {name for name, imports in graph.items() if not imports}
        assert leaves, f"circular import among {sorted(graph)}"
        graph = {name: imports - leaves for name, imports in graph.items() if name not in leaves}
