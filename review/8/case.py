"""An endpoint leaves while the machine that reads the store is frozen, some
seconds after idle connections to the store have gone silent."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import world2  # noqa: E402

INDEX = ("198.18.0.1", 8443)
DRAIN_S = world2.BOUNDS["drain-ms"] / 1000
CONTACT_S = world2.BOUNDS["contact-ms"] / 1000
FREEZE_S = 4.5  # gpr-ams: node_freeze for 4.55 s at most
WHAT = os.environ.get("ONLY", "both")  # for trials: silence, freeze or both


async def scenario(w, trouble):
    zones = world2.ZONES
    for i in range(6):
        w.add_endpoint("index", zones[i % 3], work_s=0.005)
    w.put_config([INDEX + ("index", "idempotent", 1200, 200, 2)], [("index", 2000)])
    await w.start()
    w.load(400, lambda: world2.Attempt(w, w.random_client(), INDEX))
    await asyncio.sleep(6)
    if trouble and WHAT != "freeze":
        names = [m.name for m in w.machines]
        hit = w.store.silence(names, idle_only=True)
        w.record(f"idle connections to the store go silent: {sorted(hit)}")
    await asyncio.sleep(CONTACT_S + 2)
    reader = next(m for m in w.machines if m.name == w.store.last_watch)
    frozen_at = time.monotonic()
    if trouble and WHAT != "silence":
        reader.signal(signal.SIGSTOP)
        w.record(f"{reader.name} read the store last")
    await asyncio.sleep(0.02)
    leaving = w.endpoints[0]
    w.store.remove(f"servers/{leaving.name}")
    gone_at = time.monotonic()
    w.record(f"endpoint {leaving.name} has left the store; it serves on")
    await asyncio.sleep(FREEZE_S - (time.monotonic() - frozen_at))
    if trouble and WHAT != "silence":
        reader.signal(signal.SIGCONT)
    await asyncio.sleep(4)
    out_of_touch = {reader.name} if trouble else set()
    late = [(at - gone_at, via) for e, at, via, _ in w.openings
            if e is leaving and at - gone_at > DRAIN_S and via not in out_of_touch]
    before = sum(1 for e, at, _, _ in w.openings if e is leaving and at < gone_at)
    after = sorted(at - gone_at for e, at, via, _ in w.openings
                   if e is leaving and at > gone_at and via not in out_of_touch)
    w.record(f"requests sent {w.sent}, answered {w.answers}, run {len(w.runs)}; "
             f"ends of attempts: {w.ends}")
    w.record(f"flows that {leaving.name} took: {before} before it left, "
             f"{len(after)} after it, the last after "
             f"{after[-1] if after else 0:.3f} s")
    for at, via in late[:20]:
        w.record(f"DRAIN: {via} sent an opening to {leaving.name} {at:.3f} s after "
                 f"the store acknowledged that it is gone")
    print(f"flows to the endpoint later than {DRAIN_S:.0f} s after it was gone, "
          f"through machines in touch: {len(late)}"
          + (f", the last after {late[-1][0]:.3f} s" if late else ""))
    if w.answers < 1000:
        raise RuntimeError("too few requests were answered")
    return 1 if late else 0


world2.main(scenario, os.path.join(HERE, "record.txt"))
