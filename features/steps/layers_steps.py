"""Steps about the imports of each layer."""

import ast
import pathlib
import subprocess
import sys

import behave

import bluebellbay

PACKAGE = pathlib.Path(bluebellbay.__file__).parent
FORBIDDEN_MODULES = {
    "asyncio",
    "datetime",
    "klein",
    "pynng",
    "requests",
    "secrets",
    "select",
    "socket",
    "threading",
    "time",
    "treq",
    "twisted",
    "uuid",
}


def list_modules(*layers):
    for layer in layers:
        yield from sorted((PACKAGE / layer).rglob("*.py"))


def list_imports(path):
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module


@behave.then("the modules of {layer} import nothing outside {allowed}")
def check_layer(context, layer, allowed):
    del context
    prefixes = tuple(allowed.split())
    violations = [
        f"{path.name} imports {name}"
        for path in list_modules(layer)
        for name in list_imports(path)
        if name.startswith("bluebell") and not name.startswith(prefixes)
    ]
    assert not violations, violations


@behave.then("no module of state or coordination imports a clock or a network")
def check_forbidden_imports(context):
    del context
    violations = [
        f"{path.name} imports {name}"
        for path in list_modules("state", "coordination")
        for name in list_imports(path)
        if name.split(".")[0] in FORBIDDEN_MODULES
    ]
    assert not violations, violations


@behave.then(
    "no module of state or coordination calls the global random source"
)
def check_global_random(context):
    del context
    violations = []
    for path in list_modules("state", "coordination"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.Attribute):
                continue
            if not isinstance(node.value, ast.Name):
                continue
            if node.value.id == "random" and node.attr != "Random":
                violations.append(f"{path.name} uses random.{node.attr}")
    assert not violations, violations


@behave.then("the program on the users' platform loads no module of these")
def check_program_modules(context):
    script = (
        "import sys, bluebellbay_platform.main; print('\\n'.join(sys.modules))"
    )
    loaded = subprocess.run(  # noqa: S603
        [sys.executable, "-c", script],
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    unwanted = {row["module"] for row in context.table}
    assert not unwanted.intersection(loaded), unwanted.intersection(loaded)
