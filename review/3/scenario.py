"""A held-back result meets the repeated binding of its task while the state service is out."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from deployment import CannotRun, Site, main, now  # noqa: E402

ZONES = ["helsinki-a", "tampere", "helsinki-b", "oulu"]
PARAMS = {
    "nodes": 3, "zones": ZONES,
    "teams": [{"name": "napa", "cpus": 0.0, "cpus_max": 4.0, "gpus": 0.0, "gpus_max": 0.0},
              {"name": "routa", "cpus": 0.0, "cpus_max": 8.0, "gpus": 0.0, "gpus_max": 0.0}],
    "objectives": [],
    "workers": {"report_s": 2.5, "lease_s": 16.0, "gang_wait_s": 40.0, "gang_peer_s": 5.0, "cancel_s": 41.0},
    "state": {"rps": 100.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 20},
    "cloud": {"rps": 8.0, "list_lag_s": 2.0},
    "machine_limits": {"cpu_share": 0.16, "memory_mb": 104.0, "fd_limit": 1800},
    "clock_off_ms": 250.0,
}
RIGS = {"pieni": {"cores": 4.0, "ramGb": 32.0, "localGb": 35.0, "fetchGbPerS": 0.6, "rate": 0.32, "readyS": 20}}
WAIT = 90.0  # "no job is left waiting for 90 s"


async def scenario(folder, trouble, sites):
    site = Site(folder, PARAMS, RIGS, ZONES[:3])
    sites.append(site)
    record = site.record
    await site.start()
    far = await site.cloud.add("pieni", "oulu", spot=True, images=["img-07"])
    near = await site.cloud.add("pieni", "helsinki-a", images=["img-07"])
    site.start_controllers()
    if not await site.wait_for_leader():
        raise CannotRun("no leader")
    cut_at = None

    def cut(worker, key):
        nonlocal cut_at
        if trouble and key[0] == "run-000001/0" and worker is far and cut_at is None:
            cut_at = now()
            far.net.cut()
            record("network", f"{far.name} loses the network")

    site.before_done = cut
    common = {"crew": "napa", "category": "replay-verify", "rank": "normal", "build": "img-07", "loaners": True}
    site.run_time["run-000001"] = 2.0
    site.run_time["run-000002"] = 5.0
    # The other machine is busy at first, so that the job begins on the machine in oulu.
    if not await site.submit(site.job("run-000001", **common)):
        raise CannotRun("the first job was not accepted")
    until = now() + 15
    while now() < until and not site.starts:
        await asyncio.sleep(0.05)
    if not site.starts or site.starts[0][1] != far.name:
        raise CannotRun("the first job did not start in oulu")
    if trouble:
        while cut_at is None:
            await asyncio.sleep(0.01)
        lease = PARAMS["workers"]["lease_s"]
        await asyncio.sleep(cut_at + lease - 3.0 - now())
        site.state.begin_outage()
        await asyncio.sleep(cut_at + lease + 2.5 - now())
        far.net.heal()
        record("network", f"{far.name} has the network again")
        await asyncio.sleep(1.5)
        site.state.end_outage()
    until = now() + 10
    while now() < until:
        answer = await site.ask(site.node_names[0], "GET", "/v1/jobs/run-000001", timeout=2.0)
        if answer and answer[1].get("status") == "done":
            break
        await asyncio.sleep(0.5)
    else:
        raise CannotRun("the first job was not done")
    if not await site.submit(site.job("run-000002", **common)):
        raise CannotRun("the second job was not accepted")
    waiting_from = now()
    room_since = None
    poll_at = 0
    while True:
        if any(k[0].startswith("run-000002/") for _, _, k in site.starts):
            record("check", f"run-000002 started after {now() - waiting_from:.1f} s")
            return []
        napa = sum(4 for s, on in site.on_machine.items() if on and site.specs[s.rsplit('/', 1)[0]]["crew"] == "napa")
        room = [w.name for w in (far, near) if not w.gone and w.free("cores") >= 4.0 and w.free("ramGb") >= 4.8]
        if not room or napa > 0:
            room_since = None
        elif room_since is None:
            room_since = now()
            record("check", f"waiting; {room} has room; napa uses {napa} of 4 CPUs")
        if room_since is not None and now() - max(waiting_from, room_since) >= WAIT:
            return [f"run-000002 was accepted {now() - waiting_from:.1f} s ago and waits, while {room} has room "
                    f"and napa uses {napa} of its 4 CPUs"]
        if now() > poll_at:
            await site.ask(site.node_names[1], "GET", "/v1/jobs/run-000002", timeout=2.0)
            poll_at = now() + 5
        await asyncio.sleep(0.1)


main(scenario, os.path.dirname(os.path.abspath(__file__)))
