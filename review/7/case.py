"""The operator changes the configuration; one of the new routes has a `prio` of
three digits."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import world2  # noqa: E402

KEPT, REMOVED, ADDED = ("198.18.0.1", 8443), ("198.18.0.2", 8443), ("198.18.0.3", 8443)
CONFIG_S = world2.BOUNDS["config-ms"] / 1000


async def scenario(w, trouble):
    zones = world2.ZONES
    for i in range(6):
        w.add_endpoint("index", zones[i % 3], work_s=0.005)

    def route(at, prio):
        return at + ("index", "idempotent", 1200, 200, prio)
    w.put_config([route(KEPT, 1), route(REMOVED, 2)], [("index", 2000)])
    await w.start()
    for at in (KEPT, REMOVED, ADDED):
        w.load(60, lambda r=at: world2.Attempt(w, w.random_client(), r))
    await asyncio.sleep(5)
    w.put_config([route(KEPT, 1), route(ADDED, 300 if trouble else 3)],
                 [("index", 2000)])
    changed_at = time.monotonic()
    w.record("the operator has removed a route and added one")
    await asyncio.sleep(14)
    flows = {key: via for _, _, via, key in w.openings}
    late = [a for a in list(w.attempts.values())
            if CONFIG_S < a.started - changed_at < 12]
    ran = [a for a in late if a.route == REMOVED and a.key in flows]
    refused = [a for a in late if a.route == ADDED and any(r[1] for r in a.resets)]
    served = sum(1 for a in late if a.route == ADDED and a.answered)
    w.record(f"requests sent {w.sent}, answered {w.answers}, run {len(w.runs)}; "
             f"ends of attempts: {w.ends}")
    for a in ran[:10]:
        w.record(f"CONFIG: a request sent {a.started - changed_at:.3f} s after the "
                 f"acknowledgement ran on the removed route, through {flows[a.key]}")
    for a in refused[:10]:
        w.record(f"CONFIG: a request sent {a.started - changed_at:.3f} s after the "
                 f"acknowledgement was refused on the added route, at {a.first_machine}")
    print(f"of the requests sent later than {CONFIG_S:.0f} s after the acknowledgement: "
          f"{len(ran)} run on the removed route, {len(refused)} refused and {served} "
          f"answered on the added one")
    if w.answers < 500:
        raise RuntimeError("too few requests were answered")
    return 1 if ran or refused else 0


world2.main(scenario, os.path.join(HERE, "record.txt"))
