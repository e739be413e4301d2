from __future__ import annotations

import collections
import pathlib

from nose2.tools import params

from knapweeddrum.console.resource_file import read_resources
from knapweeddrum.process.control.model.validation import validate_spec
from knapweeddrum.process.control.resource_id import ResourceId
from knapweeddrum.settings.settings_reader import read_settings
from knapweeddrum.value.endpoint_kind import EndpointKind
from knapweeddrum.value.resource_kind import ResourceKind

EXAMPLES = pathlib.Path(__file__).parent.parent.parent / "examples"
HOSTS = 7
ORGANISATIONS = 10

DEPLOYMENTS = (
    ("association", "kz-central", 4, "overspend", 9, 4),
    ("legal-aid", "occidente", 3, "false_refusals", 5, 3),
)


@params(*DEPLOYMENTS)
def test_settings_of_a_deployment(folder, region, centres, weigh, engines, services):
    """Each host's settings load; together they name the same seven hosts."""
    paths = [p for p in (EXAMPLES / folder).glob("*.jsonc") if p.stem != "resources"]
    loaded = [read_settings(path) for path in sorted(paths)]
    assert len(loaded) == HOSTS
    hosts = {settings.host.name: settings.host for settings in loaded}
    for settings in loaded:
        peers = {peer.name: peer for peer in settings.peers}
        assert peers | {settings.host.name: settings.host} == hosts
        assert settings.host.region == region
        assert settings.budgets.weigh == weigh
    assert len({host.data_centre for host in hosts.values()}) == centres


@params(*DEPLOYMENTS)
def test_resources_of_a_deployment(folder, region, centres, weigh, engines, services):
    """Each resource is valid and names only resources declared before it."""
    declared: set[ResourceId] = set()
    kinds: collections.Counter[str] = collections.Counter()
    for resource in read_resources(EXAMPLES / folder / "resources.jsonc"):
        kind = ResourceKind(resource.kind)
        model = validate_spec(kind, resource.name, resource.spec)
        assert {reference.target for reference in model.references()} <= declared
        declared.add(ResourceId(kind, resource.name))
        kinds[resource.spec.get("kind", kind) if kind == "endpoint" else kind] += 1
    assert kinds[EndpointKind.MODEL_ENGINE] == engines
    assert kinds[EndpointKind.PLAIN_SERVICE] == services
    assert kinds[ResourceKind.ORGANISATION] == ORGANISATIONS
