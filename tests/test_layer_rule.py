from __future__ import annotations

from tools import layer_rule


def test_layers_import_only_what_they_may():
    """No module imports a layer above its own."""
    found = []
    for path in layer_rule.ROOT.rglob("*.py"):
        found += layer_rule.violations(path)
    assert found == []
