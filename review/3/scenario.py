"""A machine fails the tasks that it starts for a few seconds, while a replica goes on running on it."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from deployment import CannotRun, Site, main, now  # noqa: E402

# As in the first deployment of the brief, with fewer machines.
ZONES = ["east-coulee", "west-bench"]
PARAMS = {
    "nodes": 3, "zones": ZONES,
    "teams": [{"name": "field-ops", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
    "objectives": [{"kind": "wait", "class": "tower-sweep", "within_s": 15.0, "share": 0.8},
                   {"kind": "wait", "class": "tower-sweep", "within_s": 50.0, "share": 0.93},
                   {"kind": "finished", "class": "tower-sweep", "within_s": 150.0, "share": 0.93},
                   {"kind": "wait", "class": "member-portal", "within_s": 3.0, "share": 0.85}],
    "workers": {"report_s": 2.5, "lease_s": 16.0, "gang_wait_s": 40.0, "gang_peer_s": 5.0, "cancel_s": 41.0},
    "state": {"rps": 100.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 20},
    "cloud": {"rps": 8.0, "list_lag_s": 8.0},
    "machine_limits": {"cpu_share": 0.16, "memory_mb": 104.0, "fd_limit": 1800},
    "clock_off_ms": 250.0,
}
RIGS = {"shed-box": {"cores": 4.0, "ramGb": 8.0, "localGb": 80.0, "fetchGbPerS": 0.1, "rate": 0.26, "readyS": 25},
        "grain-rack": {"cores": 64.0, "ramGb": 512.0, "localGb": 70.0, "fetchGbPerS": 0.15, "rate": 5.12,
                       "readyS": 25}}
WAIT = 90.0  # "no job is left waiting for 90 s"


async def scenario(folder, trouble, sites):
    # What the cloud has beside the machines that are up, as in the site file: the one ordinary grain-rack of west-bench
    # is up, so there is no other.
    stock = {("shed-box", ZONES[0], False): 7, ("shed-box", ZONES[0], True): 6, ("shed-box", ZONES[1], False): 4,
             ("shed-box", ZONES[1], True): 5, ("grain-rack", ZONES[0], False): 1, ("grain-rack", ZONES[0], True): 1,
             ("grain-rack", ZONES[1], True): 1}
    site = Site(folder, PARAMS, RIGS, [ZONES[0], ZONES[1], ZONES[0]], stock)
    sites.append(site)
    record = site.record
    await site.start()
    rack = await site.cloud.add("grain-rack", "west-bench", images=["img-01", "img-02"])
    for zone in (ZONES[0], ZONES[1]):
        await site.cloud.add("shed-box", zone, images=["img-01", "img-02"])
    site.start_controllers()
    if not await site.wait_for_leader():
        raise CannotRun("no leader")
    portal = site.job("run-000001", category="member-portal", shape="standing", rank="production", cores=8.0,
                      ramGb=11.2, build="img-02", parS=0.0)
    if not await site.submit(portal):
        raise CannotRun("the service was not accepted")
    until = now() + 15
    while now() < until and not site.starts:
        await asyncio.sleep(0.05)
    if [s[1] for s in site.starts] != [rack.name]:
        raise CannotRun("the service did not start on the rack")
    await asyncio.sleep(1.0)
    if trouble:
        rack.sick = True
        record("trouble", f"{rack.name} fails every task that it starts")
    # Only an ordinary grain-rack in west-bench can hold these.
    sweep = {"cores": 8.0, "ramGb": 9.6, "build": "img-01", "hall": "west-bench"}
    for ref in ("run-000002", "run-000003"):
        site.run_time[ref] = 5.0
        if not await site.submit(site.job(ref, **sweep)):
            raise CannotRun("a job was not accepted")
    await asyncio.sleep(10.0)
    if trouble:
        rack.sick = False
        record("trouble", f"{rack.name} is sound again; the troubles are over")
    site.run_time["run-000004"] = 5.0
    if not await site.submit(site.job("run-000004", **sweep)):
        raise CannotRun("the last job was not accepted")
    waiting_from, poll_at = now(), 0
    while True:
        if any(k[0].startswith("run-000004/") for _, _, k in site.starts):
            record("check", f"run-000004 started after {now() - waiting_from:.1f} s")
            return []
        if rack.gone or rack.free("cores") < 8.0 or rack.free("ramGb") < 9.6:
            record("check", "the rack has no room")
            return []
        if now() - waiting_from >= WAIT:
            return [f"run-000004 was accepted {now() - waiting_from:.1f} s ago and waits, while {rack.name} is up and "
                    f"has {rack.free('cores'):.0f} of its 64 CPUs free; its team has no limit"]
        if now() > poll_at:
            for ref in ("run-000002", "run-000004"):
                await site.ask(site.node_names[1], "GET", f"/v1/jobs/{ref}", timeout=2.0)
            poll_at = now() + 5
        await asyncio.sleep(0.1)


main(scenario, os.path.dirname(os.path.abspath(__file__)))
