"""Services that the runs of requests share."""

from __future__ import annotations

import dataclasses

from knapweeddrum.process.router.admission_task import AdmissionTask
from knapweeddrum.process.router.allowance_manager import AllowanceManager
from knapweeddrum.process.router.crash_watch import CrashWatch
from knapweeddrum.process.router.endpoint_directory import EndpointDirectory
from knapweeddrum.process.router.locator import Locator
from knapweeddrum.process.router.request_claim_client import RequestClaimClient
from knapweeddrum.process.router.router_context import RouterContext
from knapweeddrum.process.router.usage_collector import UsageCollector


@dataclasses.dataclass(frozen=True, slots=True)
class RunServices:
    """The router's tasks and tables that a run uses."""

    context: RouterContext
    admission: AdmissionTask
    allowances: AllowanceManager
    claims: RequestClaimClient
    collector: UsageCollector
    crashes: CrashWatch
    directory: EndpointDirectory
    locator: Locator
