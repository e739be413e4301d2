"""Plays the legal aid site for a range of seeds, and says what was lost.

``python -m tests.process.entry.site --seeds 0 49 --sources DIRECTORY``; a line for each
play, then each loss that nothing excuses with the lines of its host's log.
"""

from __future__ import annotations

import argparse
import collections
import functools
import multiprocessing
import pathlib
import tempfile

import anyio

from tests.process.entry.site.loss_judge import Circumstance, Excuse
from tests.process.entry.site.site_history import Outcome, SentRequest
from tests.process.entry.site.site_plan import SitePlan
from tests.process.entry.site.site_play import ROOT, PlayReport, SitePlay
from tests.process.entry.site.site_shape import LEGAL_AID

MAX_SHOWN_LOSSES = 12
MAX_SHOWN_LINES = 6


def main() -> int:
    """Play the seeds; return 1 if anything counted was lost."""
    args = _parser().parse_args()
    first, last = args.seeds
    seeds = [seed for seed in range(first, last + 1) if _is_wanted(seed, args)]
    play = functools.partial(
        _play, length=args.length, sources=args.sources, keep=args.keep
    )
    totals: collections.Counter[str] = collections.Counter()
    with multiprocessing.Pool(args.at_once, maxtasksperchild=1) as pool:
        for text, counts in pool.imap_unordered(play, seeds):
            print(text, flush=True)
            totals.update(counts)
    print("total:", dict(sorted(totals.items())))
    return 1 if totals["lost"] else 0


def _is_wanted(seed: int, args: argparse.Namespace) -> bool:
    family = SitePlan.draw(seed, args.length).family.name.lower()
    return args.family in {None, family}


def _play(
    seed: int, *, length: float, sources: pathlib.Path, keep: pathlib.Path | None
) -> tuple[str, dict[str, int]]:
    plan = SitePlan.draw(seed, length)
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(temporary)
        if keep is not None:
            folder = keep / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
        report = anyio.run(SitePlay(LEGAL_AID, plan, folder, sources).play)
        return describe(report), _counts(report)


def describe(report: PlayReport) -> str:
    """Return a line on a play, and one for each loss that counts."""
    plan, history, verdict = report.plan, report.history, report.verdict
    circumstances = {
        each.name.lower(): len(verdict.of(each))
        for each in Circumstance
        if verdict.of(each)
    }
    excused = {
        each.name.lower(): len(verdict.excused(each))
        for each in Excuse
        if verdict.excused(each)
    }
    facts = [
        f"seed {plan.seed}: {plan.family.value}",
        f"load {plan.load}{', half a core' if plan.throttled else ''}",
        f"{len(verdict.counted)} lost {circumstances or ''}",
        f"broken {[each.name for each in verdict.broken()]}",
        f"{len(history.requests)} requests",
        f"excused {excused}",
        f"answers {report.statuses}",
        f"outcomes {_outcomes(history.requests)}",
        f"{len(history.stops)} SIGTERM",
        f"{len(history.own_ends)} own ends",
        f"{len(history.kills_at_grace)} killed at the end of grace",
        f"player behind {report.longest_pause:.2f} s",
    ]
    lines = ["; ".join(facts)]
    shown = [loss.request for loss in verdict.counted]
    shown += [req for req in history.requests if req.outcome is Outcome.SILENT]
    for req in shown[:MAX_SHOWN_LOSSES]:
        lines += _describe_request(report, req)
    return "\n".join(lines)


def _outcomes(requests: list[SentRequest]) -> dict[str, int]:
    counts = collections.Counter(req.outcome.name.lower() for req in requests)
    return dict(sorted(counts.items()))


def _describe_request(report: PlayReport, req: SentRequest) -> list[str]:
    stops = [
        f"{req.begun_at - stop.begun_at:+.2f}..{req.ended_at - stop.begun_at:+.2f}"
        for stop in report.history.stops
        if stop.host == req.host and abs(req.begun_at - stop.begun_at) < 20
    ]
    runs = [
        f"{run.endpoint} from {run.arrived_at - req.begun_at:.2f} "
        f"to {run.ended_at - req.begun_at:.2f} s: {run.end.value}"
        for run in report.history.runs.get(req.attempt, [])
    ]
    sent = "never" if req.sent_at is None else f"{req.sent_at - req.begun_at:.2f}"
    facts = [
        f"  {req.attempt} {req.kind} at {req.host}: {req.outcome.value}",
        f"{'kept' if req.is_kept else 'new'} connection",
        f"sent whole at {sent}",
        f"ended at {req.ended_at - req.begun_at:.2f} of {req.time_limit:.2f} s",
        f"from..to SIGTERM {stops}",
        f"runs {runs}",
    ]
    lines = ["; ".join(facts)]
    for path in sorted(report.log_folder.glob(f"{req.host}.*.log")):
        named = [
            line
            for line in path.read_text(errors="replace").splitlines()
            if f'"{req.attempt}"' in line
        ]
        lines += [f"    {path.name}: {line[:300]}" for line in named[:MAX_SHOWN_LINES]]
    return lines


def _counts(report: PlayReport) -> dict[str, int]:
    verdict = report.verdict
    counts = {"plays": 1, "requests": len(report.history.requests)}
    counts["lost"] = len(verdict.counted)
    counts["plays with losses"] = bool(verdict.counted)
    counts["plays with the rule broken"] = bool(verdict.broken())
    for each in Circumstance:
        counts[f"lost: {each.value}"] = len(verdict.of(each))
    for excuse in Excuse:
        counts[f"excused: {excuse.value}"] = len(verdict.excused(excuse))
    counts["own ends"] = len(report.history.own_ends)
    counts["killed at grace"] = len(report.history.kills_at_grace)
    return counts


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m tests.process.entry.site")
    parser.add_argument("--seeds", nargs=2, type=int, default=(0, 6))
    parser.add_argument("--family", help="play only the seeds of this family")
    parser.add_argument("--length", type=float, default=16.0, help="seconds of steps")
    parser.add_argument(
        "--at-once", type=int, default=1, help="plays beside each other"
    )
    parser.add_argument(
        "--sources", type=pathlib.Path, default=ROOT, help="checkout whose hosts run"
    )
    parser.add_argument("--keep", type=pathlib.Path, help="folder for the hosts' logs")
    return parser


if __name__ == "__main__":
    raise SystemExit(main())
