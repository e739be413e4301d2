from __future__ import annotations

import hypothesis

hypothesis.settings.register_profile(
    "knapweeddrum",
    derandomize=True,
    deadline=None,
    database=None,
    report_multiple_bugs=False,
    max_examples=60,
    stateful_step_count=40,
)
hypothesis.settings.load_profile("knapweeddrum")
