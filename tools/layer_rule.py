"""Check the imports between layers; print each forbidden import and exit with 1."""

from __future__ import annotations

import ast
import pathlib
import re
import sys

PACKAGE = "knapweeddrum"
ROOT = pathlib.Path(__file__).parent.parent / "src" / PACKAGE
COMPOSITION_ROOTS = {
    f"{PACKAGE}.process.composition",
    f"{PACKAGE}.process.entry_composition",
}

PLATFORM_WORDS = re.compile(
    r"Attempt-Id|Response-Stamp|Token-Usage|Prompt-Prefix|Expect-Instance|Not-Executed"
    r"|Deadline-Ms|Server-Load|Request-Priority|KNAPWEEDDRUM_BOOT|/-/log-|/-/resolve|/-/report|/-/kv|keyed\.",
    re.IGNORECASE,
)
"""Names in the platform's protocols and files; only layer ``platform`` uses them."""

ALLOWED = {
    "value": {"value"},
    "message": {"value", "message"},
    "core": {"value", "message", "core"},
    "telemetry": {"value", "telemetry"},
    "settings": {"value", "core", "settings"},
    "rpc": {"value", "message", "core", "telemetry", "rpc"},
    "http": {"value", "http"},
    "platform": {
        "value",
        "message",
        "core",
        "telemetry",
        "http",
        "settings",
        "platform",
    },
    "endpoint": {"value", "message", "core", "telemetry", "http", "endpoint"},
    "process": {
        "value",
        "message",
        "core",
        "telemetry",
        "rpc",
        "http",
        "platform",
        "endpoint",
        "settings",
        "process",
    },
    "console": {
        "value",
        "message",
        "core",
        "telemetry",
        "settings",
        "platform",
        "console",
    },
}
"""Layers that each layer may import; ``CONCRETE_PREFIX`` restricts this further."""

CONCRETE_PREFIX = "http_"
"""Prefix of modules with a concrete client; only a composition root imports them."""

IO_MODULES = {"socket", "asyncio", "anyio", "time", "os", "grpclib", "httpcore"}
"""Modules that the core may not import: it reads no clock, socket or environment."""


def imports(path: pathlib.Path) -> list[str]:
    """Return the dotted names that a source file imports."""
    names = []
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names += [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.append(node.module)
    return names


def module_name(path: pathlib.Path) -> str:
    """Return the dotted module name of a source file."""
    relative = path.relative_to(ROOT.parent).with_suffix("")
    return ".".join(relative.parts)


def violations(path: pathlib.Path) -> list[str]:
    """Return a line for each import in the file that the rule forbids."""
    module = module_name(path)
    parts = module.split(".")
    if module in COMPOSITION_ROOTS or len(parts) < 3:
        return []
    layer = parts[1]
    found = []
    for name in imports(path):
        target = name.split(".")
        if layer == "core" and target[0] in IO_MODULES:
            found.append(f"{module}: the core may not import {name}")
        if target[0] != PACKAGE or len(target) < 2:
            continue
        if layer == "console" and name in COMPOSITION_ROOTS:
            continue
        if target[1] not in ALLOWED[layer]:
            found.append(f"{module}: {layer} may not import {name}")
        concrete = target[-1].startswith(CONCRETE_PREFIX)
        if concrete and target[1] != layer:
            found.append(f"{module}: only the composition root imports {name}")
    return found


def foreign_words(path: pathlib.Path) -> list[str]:
    """Return a line for each platform name that a file outside ``platform`` has."""
    if path.is_relative_to(ROOT / "platform"):
        return []
    text = path.read_text(encoding="utf-8")
    return [
        f"{module_name(path)}: {word} may stand only in the layer platform"
        for word in sorted(set(PLATFORM_WORDS.findall(text)))
    ]


def main() -> int:
    """Check all source files and return the exit code."""
    paths = sorted(ROOT.rglob("*.py"))
    found = [line for path in paths for line in violations(path) + foreign_words(path)]
    for line in found:
        print(line)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
