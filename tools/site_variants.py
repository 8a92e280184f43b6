#!/usr/bin/env python3
"""Variants of a bench site file, and days of our own for it: what operators' own days may hold.

    site_variants.py site SITE OUT [--scale 1.5] [--restart-delay 0.2]
    site_variants.py days SITE DIR

`site` writes SITE again with its counts and rates times `--scale` (machines, capacity, jobs at the
start, arrivals, and how many machines a trouble hits) and with processes that are back after
`--restart-delay` seconds. `days` writes one file per day into DIR; zones and classes are read from
the site, times are taken from its length. Nothing of a site is kept here.
"""
import argparse
import math
import pathlib
import re
import shutil
import tomllib


def scaled(text, factor, delay):
    """Edits the text instead of writing the document anew: its comments and order stay."""
    out, section = [], ""
    for line in text.splitlines():
        head = re.match(r"\s*\[+([a-z_]+)\]+\s*$", line)
        if head:
            section = head[1]

        def count(match):
            return match[1] + str(math.ceil(int(match[2]) * factor))

        def rate(match):
            return match[1] + f"{float(match[2]) * factor:.4f}"

        if section in ("capacity", "machines"):
            line = re.sub(r"^((?:count|spot) = )(\d+)$", count, line)
        if section == "jobs":
            line = re.sub(r"^(initial = )(\d+)$", count, line)
            line = re.sub(r"^(arrivals = \{ rate = )([0-9.]+)", rate, line)
        if section == "day":
            line = re.sub(r'(kind = "machine_[a-z]+", count = )(\d+)', count, line)
        if section == "nodes" and delay is not None:
            line = re.sub(r"^(restart_delay_s = ).*", rf"\g<1>{delay}", line)
        out.append(line)
    return "\n".join(out) + "\n"


def write_site(args):
    source = pathlib.Path(args.site)
    text = source.read_text()
    site = tomllib.loads(text)
    suffix = pathlib.Path(args.out).stem
    text = re.sub(r'^name = ".*"', f'name = "{suffix}"', text, count=1)
    text = scaled(text, args.scale, args.restart_delay)
    out = pathlib.Path(args.out)
    out.write_text(text)
    wire = source.parent / site["wire"]
    if wire.parent != out.parent:
        shutil.copy(wire, out.parent / site["wire"])
    for beside in (source.with_suffix(".days"),):
        if beside.exists():
            shutil.copy(beside, out.with_suffix(".days"))


def fault(at, kind, **more):
    return {"at_s": float(at), "kind": kind, **more}


def crash(at, count, busiest=True):
    return fault(at, "node_crash", count=count, busiest=busiest)


def days_of(site):
    """Each day by name: its troubles. `t` is when the count begins, with a settled fleet."""
    nodes = site["nodes"]["count"]
    zones = site["nodes"]["zones"]
    classes = [j["name"] for j in site["jobs"]]
    t = site["warmup_s"] + 15
    lease = site["workers"]["lease_s"]
    span = site["duration_s"] - site["warmup_s"]

    def all_twice(at):
        return [crash(at, nodes), crash(at + 1.2, nodes)]

    days = {}
    # Each one ended twice within two seconds: one after the other, then all together.
    days["twice"] = (
        [crash(t + 8 * i + s, 1) for i in range(nodes) for s in (0, 1.2)]
        + all_twice(t + 70) + all_twice(t + 110))
    # All of them ended every second for ten seconds, and later one a second, the leader first.
    days["every-second"] = (
        [crash(t + s, nodes) for s in range(10)] + [crash(t + 60 + s, 1) for s in range(10)])
    # An end in every phase of a take-over: the leader falls, and its successors at fine steps after.
    phases = (0.2, 0.6, 0.9, 1.1, 1.2, 1.25, 1.3, 1.35, 1.4, 1.5, 1.7, 2.0)
    days["phases"] = [
        f for i, p in enumerate(phases)
        for f in (crash(t + 12 * i, 1), crash(t + 12 * i + p, nodes))]
    days["outage"] = [
        fault(t, "state_outage", for_s=30.0), crash(t + 5, 1), crash(t + 12, nodes),
        crash(t + 13.5, nodes), crash(t + 29, nodes),
        fault(t + 90, "state_outage", for_s=20.0), crash(t + 95, 2, False), crash(t + 98, 1)]
    # A zone that lives on delegations while its nodes, or all of them, start again.
    days["cut"] = [
        fault(t, "zone_cut", zone=zones[-1], for_s=1.2 * lease, mode="hold"),
        crash(t + 0.4 * lease, nodes),
        fault(t + 2.5 * lease, "zone_cut", zone=zones[0], for_s=1.2 * lease, mode="hold"),
        crash(t + 2.9 * lease, 2, False), crash(t + 3.1 * lease, 1)]
    for factor in (4, 8):
        for name in classes:
            days[f"burst{factor}-{name}"] = [
                fault(t, "job_burst", **{"class": name}, factor=float(factor), for_s=span / 4),
                crash(t + 10, (nodes + 1) // 2), crash(t + 12, (nodes + 1) // 2, False)]
        days[f"burst{factor}-all"] = [
            *(fault(t, "job_burst", **{"class": n}, factor=float(factor), for_s=span / 4)
              for n in classes),
            crash(t + 10, (nodes + 1) // 2), crash(t + 12, (nodes + 1) // 2, False)]
    # A class that comes eight times as often for the rest of the day.
    for name in classes:
        days[f"flood-{name}"] = [
            fault(t, "job_burst", **{"class": name}, factor=8.0, for_s=span - 30)]
    # Nodes of a cut zone that are started again one after the other.
    days["roll-in-cut"] = [
        fault(t, "zone_cut", zone=zones[0], for_s=1.6 * lease, mode="hold"),
        fault(t + 0.4 * lease, "node_roll", every_s=0.2 * lease),
        fault(t + 4 * lease, "zone_cut", zone=zones[-1], for_s=1.6 * lease, mode="hold"),
        fault(t + 4.4 * lease, "node_roll", every_s=0.2 * lease)]
    # One stands still, and says nothing about itself, while the others end every second.
    days["silent-one"] = [
        fault(t, "node_freeze", count=1, busiest=False, for_s=20.0),
        *(crash(t + 2 + s, nodes) for s in range(10)),
        fault(t + 60, "node_freeze", count=1, busiest=True, for_s=20.0),
        *(crash(t + 62 + s, nodes) for s in range(10))]
    days.update(meetings_of(site, t, lease, nodes, zones))
    days.update(more_meetings_of(site, t, lease, nodes, zones))
    return days


def meetings_of(site, t, lease, nodes, zones):
    """Days on which two troubles meet while many jobs are withdrawn."""
    cancel = site["workers"]["cancel_s"]

    def cut(at, span, **which):
        return fault(at, "node_cut", count=1, busiest=True, from_state=True, for_s=span, **which)

    def refused(at, span):
        return cut(at, span, mode="refuse")

    def isolated(at, span):
        return cut(at, span, from_peers=True, mode="hold")

    def outage(at, span):
        return fault(at, "state_outage", for_s=span)

    def deaf(at, span, share=0.2):
        return fault(at, "machine_deaf", share=share, for_s=span)

    long = cancel + 12
    second = t + long + 30
    return {
        # The leader alone loses the state service, then everybody does for longer than a
        # cancellation has.
        "meet-gap": [refused(t, 14), outage(t + 2, long), refused(second, 14),
                     outage(second + 1.3, long)],
        "meet-gap-isolated": [isolated(t, 14), outage(t + 4, long), isolated(second, 14),
                              outage(second + 2.5, long)],
        "meet-gap-short": [refused(t, 14), outage(t + 2, cancel - 3), isolated(second, 30),
                           outage(second + 6, cancel - 3)],
        "meet-gap-within": [outage(t, 5), refused(t + 3, 20), outage(t + 12, long),
                            isolated(second + 20, 10), outage(second + 22, long)],
        "meet-gap-crash": [refused(t, 14), outage(t + 2, long), crash(t + 8, 1),
                           isolated(second, 14), outage(second + 4, long),
                           crash(second + 12, 1)],
        "meet-gap-zone": [isolated(t, 20), outage(t + 5, long),
                          fault(t + 6, "zone_cut", zone=zones[0], for_s=1.3 * lease, mode="hold"),
                          refused(second, 14), outage(second + 3, long),
                          fault(second + 1, "zone_cut", zone=zones[-1], for_s=1.3 * lease,
                                mode="hold")],
        "meet-gap-deaf": [deaf(t - 5, long), isolated(t, 14), outage(t + 4, long),
                          deaf(second - 3, 0.8 * lease), refused(second, 14),
                          outage(second + 2, long)],
        # What was given up arrives after what was done since.
        "meet-late": [fault(t, "late_writes", share=0.3, for_s=150.0),
                      fault(t, "late_reports", share=0.3, for_s=200.0),
                      crash(t + 12, 1), crash(t + 13.4, 1), isolated(t + 40, 25),
                      crash(t + 80, nodes), crash(t + 81.5, 2), crash(t + 110, 1)],
        "meet-late-gap": [fault(t - 3, "late_writes", share=0.4, for_s=60.0), refused(t, 14),
                          outage(t + 2, long), crash(t + long + 4, 1),
                          fault(second, "late_writes", share=0.4, for_s=80.0),
                          isolated(second + 2, 14), outage(second + 9, long)],
        # Machines that nobody reaches, or that don't hear, over changes of the leader.
        "meet-deaf": [deaf(t, 0.7 * lease), crash(t + 3, 1), deaf(t + 2 * lease, 2.2 * lease, 0.15),
                      crash(t + 2.3 * lease, 1), crash(t + 2.3 * lease + 1.3, 1),
                      fault(t + 2 * lease, "late_reports", share=0.3, for_s=100.0)],
        "meet-held": [fault(t, "machine_hang", count=40, for_s=0.4 * lease), isolated(t + 2, 15),
                      crash(t + 5, 1), fault(t + 60, "machine_hang", count=40, for_s=8.0),
                      crash(t + 62, 1), fault(t + 90, "node_freeze", count=1, busiest=True,
                                              for_s=5.0),
                      fault(t + 91, "machine_hang", count=40, for_s=0.8 * lease),
                      crash(t + 100, nodes)],
        "meet-back": [crash(t + 10 * i + s, n) for i in range(6)
                      for s, n in ((0, 1), (0.4 + 0.2 * i, 1), (0.8 + 0.3 * i, nodes))]
                     + [fault(t, "late_writes", share=0.2, for_s=80.0)],
    }


def more_meetings_of(site, t, lease, nodes, zones):
    """Days on which more troubles meet; each with what users do at that moment."""
    machines = sum(m["count"] for m in site["machines"])
    span = site["duration_s"] - t

    def looks(at=t - 5, span=150):
        return fault(at, "close_looks", for_s=span)

    def lost(at, span, share=0.3):
        return fault(at, "late_writes", share=share, for_s=span, at_once=True)

    def late(at, span, share=0.3):
        return fault(at, "late_writes", share=share, for_s=span)

    def cancel(at, count=40, **more):
        return fault(at, "cancel_now", count=count, **more)

    def for_next(at, span, share=0.4):
        return fault(at, "late_reports", share=share, for_s=span, for_next=True)

    def refused(at, span):
        return fault(at, "node_cut", count=1, busiest=True, from_state=True, mode="refuse",
                     for_s=span)

    def cut(at, which, span):
        return fault(at, "zone_cut", zone=zones[which], for_s=span, mode="hold")

    def mute(at, span, share=0.15):
        return fault(at, "machine_mute", share=share, for_s=span)

    def hang(at, span, share=0.05):
        return fault(at, "machine_hang", count=max(2, round(machines * share)), for_s=span)

    return {
        "more-looks": [looks(), crash(t + 10, 1), crash(t + 40, nodes),
                       fault(t + 60, "peers_refuse", for_s=15.0),
                       fault(t + 90, "node_freeze", count=1, busiest=True, for_s=6.0)],
        "more-lost": [looks(), lost(t, 120), crash(t + 10, 1), cancel(t + 30),
                      crash(t + 31, 1), fault(t + 60, "state_outage", for_s=8.0),
                      crash(t + 67.5, 1), crash(t + 90, nodes)],
        "more-limit": [cancel(t, 30, hang_s=0.4 * lease), crash(t + 0.6, 1),
                       cut(t + 20, 0, 1.3 * lease), cancel(t + 25, 30, hang_s=1.2 * lease),
                       crash(t + 26, 1), crash(t + 29, 1), hang(t + 60, 0.8 * lease),
                       cancel(t + 61, 30), crash(t + 62, 1)],
        "more-hands": [f for i, step in enumerate((-0.1, 0.05, 0.15, 0.3, 0.6, 1.0, 1.6))
                       for f in (cancel(t + 18 * i, 25), crash(t + 18 * i + step, 1))]
                      + [refused(t + 130, 10), cancel(t + 130.2, 25), looks(t, 140)],
        "more-quick": [fault(t - 10, "boot_trouble", fail=0.0, factor=0.05, for_s=150.0),
                       late(t, 100, 0.4), hang(t + 2, 2.0 * lease, 0.1),
                       *(fault(t + 5, "job_burst", **{"class": j["name"]}, factor=3.0, for_s=30.0)
                         for j in site["jobs"]),
                       crash(t + 12, 1), crash(t + 25, 1), crash(t + 40, nodes), crash(t + 60, 1)],
        "more-copies": [for_next(t - 10, 150), crash(t + 5, 1), cancel(t + 20),
                        fault(t + 22, "machine_die", count=max(2, machines // 20)),
                        crash(t + 24, 1), crash(t + 60, nodes),
                        fault(t + 80, "machine_deaf", share=0.1, for_s=0.6 * lease),
                        crash(t + 100, 1), crash(t + 101.3, 1)],
        "more-ones": [crash(t + 30, 1), crash(t + 80, nodes), looks(t, 60)],
        "more-mute": [mute(t, 0.5 * lease), mute(t + lease, 2.0 * lease), crash(t + lease + 10, 1),
                      cancel(t + lease + 12), mute(t + 3.5 * lease, 0.8 * lease, 0.3)],
        "more-odd": [fault(t - 10, "odd_requests", for_s=span - 40), crash(t + 20, 1),
                     fault(t + 50, "state_outage", for_s=12.0), refused(t + 90, 20),
                     looks(t + 80, 60)],
        "more-end": [fault(t - 5, "cancel_at_end", share=0.5, for_s=150.0), looks(),
                     crash(t + 60, 1)],
        "more-refused": [cancel(t, 40), refused(t, 6),
                         fault(t + 1, "state_outage", for_s=site["workers"]["cancel_s"] + 10),
                         looks(t - 3, 30)],
        "more-ten": [crash(t + 11.5 * i, 1) for i in range(11)]
                    + [fault(t + 60, "state_outage", for_s=18.0), cancel(t + 30, 20),
                       cancel(t + 75, 20), looks(t, 120)],
    }


def toml_value(value):
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, (int, float)):
        return str(round(value, 3))
    return f'"{value}"'


def ones(site):
    """One-task jobs, four a second for minutes, a quarter of them cancelled."""
    known = "".join(f'  {{ name = "{j["name"]}" }},\n' for j in site["jobs"])
    return (f"jobs = [\n{known}"
            '  { name = "single-ones", kind = "array", priority = "normal", cpus = 0.5, gpus = 0.0, '
            "memory_gb = 1.0, vary = 0.3, spot = true, cancelled = 0.25, "
            "tasks = { sizes = [1], weights = [1.0] }, "
            "run_s = { median = 10.0, p95 = 20.0, max = 30.0 }, estimate_error = 0.2, "
            "checkpoint_s = 0.0, save_s = 0.0, images = { count = 1, "
            "gb = { median = 0.3, p95 = 0.3, max = 0.4 } }, "
            f"arrivals = {{ rate = 4.0, start_s = {site['warmup_s']}, "
            f"stop_s = {site['duration_s'] - 60} }} }},\n]\n")


def limits(site):
    """Each team may use about what its share of the machines at the start is."""
    cores = {m["name"]: m["cpus"] for m in site["machine_types"]}
    all_cores = sum(m["count"] * cores[m["type"]] for m in site["machines"])
    each = 0.8 * all_cores / len(site["teams"])
    rows = "".join(
        f'  {{ name = "{t["name"]}", weight = {t["weight"]}, cpus_max = {each:.1f} }},\n'
        for t in site["teams"])
    return f"teams = [\n{rows}]\n"


def write_days(args):
    site = tomllib.loads(pathlib.Path(args.site).read_text())
    out = pathlib.Path(args.dir)
    out.mkdir(parents=True, exist_ok=True)
    for seed, (name, faults) in enumerate(days_of(site).items(), start=200):
        rows = [
            "  { " + ", ".join(f"{k} = {toml_value(v)}" for k, v in f.items()) + " },"
            for f in sorted(faults, key=lambda f: f["at_s"])]
        jobs = ""
        if name.startswith("meet-"):
            # Many are withdrawn, and what they run lasts.
            arrays = [j["name"] for j in site["jobs"] if j["kind"] == "array"]
            long_runs = "{median = 130.0, p95 = 165.0, max = 190.0}"
            jobs = f'jobs = [{{name = "{arrays[0]}", cancelled = 0.6, run_s = {long_runs}}}]\n'
        if name == "more-ones":
            jobs = ones(site)
        if name == "more-limit":
            jobs = limits(site)
        (out / f"{name}.toml").write_text(
            f'[[day]]\nname = "{name}"\nslot = "scale"\nlight = false\nseed = {seed}\n{jobs}'
            "faults = [\n" + "\n".join(rows) + "\n]\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    verbs = parser.add_subparsers(required=True)
    site = verbs.add_parser("site", help="a variant of a site file")
    site.add_argument("site")
    site.add_argument("out")
    site.add_argument("--scale", type=float, default=1.0)
    site.add_argument("--restart-delay", type=float)
    site.set_defaults(run=write_site)
    days = verbs.add_parser("days", help="days of our own for a site file")
    days.add_argument("site")
    days.add_argument("dir")
    days.set_defaults(run=write_days)
    args = parser.parse_args()
    args.run(args)


if __name__ == "__main__":
    main()
