"""The paths of the resource API and their handlers."""

from __future__ import annotations

import anyio

from knapweeddrum.process.control.change_submitter import ChangeSubmitter
from knapweeddrum.process.control.config_follower import ConfigFollower
from knapweeddrum.process.control.handler.budget_handler import BudgetHandler
from knapweeddrum.process.control.handler.drain_handler import DrainHandler
from knapweeddrum.process.control.handler.entry_handler import EntryHandler
from knapweeddrum.process.control.handler.resource_delete_handler import (
    ResourceDeleteHandler,
)
from knapweeddrum.process.control.handler.resource_get_handler import (
    ResourceGetHandler,
)
from knapweeddrum.process.control.handler.resource_list_handler import (
    ResourceListHandler,
)
from knapweeddrum.process.control.handler.resource_put_handler import (
    ResourcePutHandler,
)
from knapweeddrum.process.control.handler.status_handler import StatusHandler
from knapweeddrum.process.control.handler.top_up_handler import TopUpHandler
from knapweeddrum.process.control.handler.watch_handler import WatchHandler
from knapweeddrum.process.control.keeper_client import KeeperClient
from knapweeddrum.process.control.path_table import PathTable, path_route
from knapweeddrum.process.control.resource_checks import ResourceChecks
from knapweeddrum.process.keeper.peer_channels import PeerChannels

RESOURCE_PATH = "/v1/resources/([^/]+)/(.+)"


def control_paths(
    keeper: KeeperClient,
    follower: ConfigFollower,
    submitter: ChangeSubmitter,
    channels: PeerChannels,
    stopping: anyio.Event,
    watch_limit: int,
) -> PathTable:
    """Return the table of all paths; ``watch_limit`` bounds open watch streams."""
    checks = ResourceChecks(follower)
    return PathTable(
        (
            path_route("GET", RESOURCE_PATH, ResourceGetHandler(follower)),
            path_route("PUT", RESOURCE_PATH, ResourcePutHandler(checks, submitter)),
            path_route(
                "DELETE", RESOURCE_PATH, ResourceDeleteHandler(checks, submitter)
            ),
            path_route("GET", "/v1/resources/([^/]+)", ResourceListHandler(follower)),
            path_route(
                "GET", "/v1/watch", WatchHandler(follower, stopping, watch_limit)
            ),
            path_route("POST", "/v1/top-ups", TopUpHandler(keeper, follower)),
            path_route("GET", "/v1/budgets", BudgetHandler(keeper)),
            path_route("GET", "/v1/status", StatusHandler(keeper, follower)),
            path_route("GET", "/v1/entry", EntryHandler(keeper)),
            path_route(
                "POST", "/v1/hosts/([^/]+)/drain", DrainHandler(keeper, channels)
            ),
        )
    )
