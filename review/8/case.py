"""Two living endpoints whose ids end in the same eight hex digits, while some
machines are stopped and started in turn."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import world2  # noqa: E402

INDEX = ("198.18.0.1", 8443)
GAP_S = 1.2  # roll_term of gpr-ams: share 0.4, x 1, gap_s 1.2
STOPPED = 3  # of 8


async def restart(w, machine):
    machine.signal(signal.SIGTERM)
    end = time.monotonic() + world2.BOUNDS["grace-period-s"]
    while machine.process.poll() is None:
        if time.monotonic() > end:
            machine.signal(signal.SIGKILL)
        await asyncio.sleep(0.05)
    w.record(f"{machine.name}: ended with {machine.process.returncode}")
    await asyncio.sleep(0.3)
    machine.start()


async def scenario(w, trouble):
    zones = world2.ZONES
    for i in range(6):
        w.add_endpoint("index", zones[i % 3])
    first = w.endpoints[0]
    first.id, first.name = 0x025AA5C33C, "i-025aa5c33c"
    w.put_config([INDEX + ("index", "idempotent", 1200, 200, 2)], [("index", 2000)])
    await w.start()
    await asyncio.sleep(2)
    second = w.add_endpoint("index", zones[1])
    second.id, second.name = 0x015AA5C33C, "i-015aa5c33c"
    await second.start()
    second.publish()
    await asyncio.sleep(2)
    clients = list(w.client_hosts.values())
    for i in range(240):
        world2.Attempt(w, clients[i % 3], INDEX, requests=10 ** 6, pause_s=0.4)
        await asyncio.sleep(0.01)
    await asyncio.sleep(3)
    if trouble:
        rolls = []
        for machine in w.machines[:STOPPED]:
            rolls.append(asyncio.create_task(restart(w, machine)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*rolls)
    await asyncio.sleep(12)
    flows = {key: e for e, _, _, key in w.openings}
    broken = [(at, e, key) for at, e, key in w.endpoint_resets
              if key in flows and flows[key] is not e and key in flows[key].flows_ever
              and flows[key].flows_ever[key] > at]
    keys = {key for _, _, key in broken}
    w.record(f"requests sent {w.sent}, answered {w.answers}, run {len(w.runs)}; "
             f"ends of flows: {w.ends}")
    for at, e, key in broken[:40]:
        w.record(f"FLOW: {flows[key].name} lives and has the flow {key[0]}:{key[1]} "
                 f"open; its client got a reset of {e.name} at {at - w.record.start:.3f}")
    print(f"open flows of {first.name} whose client got a reset of another endpoint: "
          f"{len(keys)} of {sum(1 for e in flows.values() if e is first)}")
    if w.answers < 1000:
        raise RuntimeError("too few requests were answered")
    return 1 if keys else 0


world2.main(scenario, os.path.join(HERE, "record.txt"))
