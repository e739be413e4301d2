"""Services that the runs of requests share."""

from __future__ import annotations

import dataclasses

from knapweeddrum.process.router.admission_task import AdmissionTask
from knapweeddrum.process.router.allowance_manager import AllowanceManager
from knapweeddrum.process.router.claim_client import ClaimClient
from knapweeddrum.process.router.collaborators import Collaborators
from knapweeddrum.process.router.crash_watch import CrashWatch
from knapweeddrum.process.router.endpoint_directory import EndpointDirectory
from knapweeddrum.process.router.locator import Locator
from knapweeddrum.process.router.usage_collector import UsageCollector


@dataclasses.dataclass(frozen=True, slots=True)
class RunServices:
    """The router's tasks and tables that a run uses."""

    parts: Collaborators
    admission: AdmissionTask
    allowances: AllowanceManager
    claims: ClaimClient
    collector: UsageCollector
    crashes: CrashWatch
    directory: EndpointDirectory
    locator: Locator
