#!/usr/bin/env python3
"""What share of the jobs was served, per class and team, as a Markdown table from bench reports.

    served_shares.py REPORT... [--log FILE...]

Per class: the least of accepted, started and ended (done or withdrawn, for what ends) of its jobs, and
in time: the least share that any aim of the class met. Per team, and for the largest of each class: started. A row is marked when anything
falls below one half. `--log FILE` (one a report, of a run with `--log debug`) adds the longest time
within the day in which no submission was accepted, and when it began.
"""
import argparse
import json
import re

HALF = 0.5
SHARES = ("wait", "finished", "deadline")  # aims that are shares of jobs or tasks in time


def rows_of(table):
    return table.items() if isinstance(table, dict) else ((r["name"], r) for r in table)


def shares(report):
    """(what, share) for everything that may count as served; the strictest reading is the least."""
    out = []
    for name, row in rows_of(report.get("classes") or {}):
        jobs = row.get("jobs")
        if not jobs:
            continue
        out.append((f"{name} accepted", row["accepted"] / jobs))
        out.append((f"{name} started", row["started"] / jobs))
        if row.get("done"):
            out.append((f"{name} ended", min(1.0, (row["done"] + row["cancelled"]) / jobs)))
    for aim in report["targets"]:
        if aim["kind"] in SHARES and aim.get("of"):
            within = aim.get("within_s") or aim.get("times") or 1
            out.append((f"{aim['class']} {aim['kind']} {within:g}", aim["value"]))
    for kind in ("teams", "largest"):
        for name, row in rows_of(report.get(kind) or {}):
            if row.get("jobs"):
                what = f"team {name}" if kind == "teams" else f"largest of {name}"
                out.append((f"{what} started", row["started"] / row["jobs"]))
    return out


def longest_pause(log, begin, end):
    """The longest time without an accepted submission, and when it began."""
    accepted = re.compile(r"^\s*([0-9.]+) \S+ \S+ job accepted: job=")
    at = [begin]
    with open(log, errors="replace") as lines:
        for line in lines:
            if (found := accepted.match(line)) and begin < float(found[1]) < end:
                at.append(float(found[1]))
    at.append(end)
    return max((b - a, a) for a, b in zip(at, at[1:]))


def least(found, kind):
    hits = [(share, what) for what, share in found if kind(what)]
    return min(hits) if hits else None


def cell(hit):
    return "–" if hit is None else f"{hit[0]:.2f} {hit[1]}"


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("reports", nargs="+")
    parser.add_argument("--log", nargs="*", default=[])
    parser.add_argument("--begin", type=float, default=60.0, help="the first second that is looked at")
    parser.add_argument("--end", type=float, help="the last one: when users stop submitting")
    args = parser.parse_args()
    print("| day | started, least | ended, least | in time, least | rules | pause, from |")
    print("| --- | --- | --- | --- | --- | --- |")
    for i, path in enumerate(args.reports):
        with open(path) as text:
            report = json.load(text)
        found = shares(report)
        started = least(found, lambda w: w.endswith((" started", " accepted")))
        ended = least(found, lambda w: w.endswith(" ended"))
        late = least(found, lambda w: not w.endswith((" started", " accepted", " ended")))
        low = any(share < HALF for _, share in found)
        pause = "–"
        if i < len(args.log):
            span, at = longest_pause(args.log[i], args.begin, args.end or report["duration_s"])
            pause = f"{span:.1f} s, {at:.0f}"
        name = report["scenario"] + (" **below half**" if low else "")
        print(f"| {name} | {cell(started)} | {cell(ended)} | {cell(late)} |"
              f" {report['rules_broken']['total']} | {pause} |")


if __name__ == "__main__":
    main()
