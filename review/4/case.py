"""Another writer's large entries have a space in their keys; then all processes
are killed and started again."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import world2  # noqa: E402

INDEX = ("198.18.0.1", 8443)
RECOVERY_S = 12  # recovery-s
DOWN_S = 0.6  # closing of gpr-ams: kill_all, down_s 1.6 at most
MEASURED_S = 10
VALUE_BYTES = 1048576  # value-bytes of the settings


def share_served(w, since, until):
    sent = [a for a in list(w.attempts.values()) if since <= a.started < until]
    served = sum(1 for a in sent if a.answered)
    return len(sent), served


async def scenario(w, trouble):
    zones = world2.ZONES
    for i in range(6):
        w.add_endpoint("index", zones[i % 3], work_s=0.005)
    w.put_config([INDEX + ("index", "idempotent", 1200, 200, 2)], [("index", 2000)])
    await w.start()
    w.load(150, lambda: world2.Attempt(w, w.random_client(), INDEX))
    await asyncio.sleep(4)
    if trouble:
        w.record("another writer: two entries that can't be read")
        for i in range(2):
            w.store.put(f"servers/other entry {i}", os.urandom(VALUE_BYTES))
    await asyncio.sleep(4)
    before = share_served(w, time.monotonic() - 4, time.monotonic() - 1)
    for m in w.machines:
        m.signal(signal.SIGKILL)
        m.process.wait()
    await asyncio.sleep(DOWN_S)
    for m in w.machines:
        m.start()
    back = time.monotonic()
    w.record("all processes were killed and are back")
    await asyncio.sleep(RECOVERY_S + MEASURED_S + 2)
    sent, served = share_served(w, back + RECOVERY_S, back + RECOVERY_S + MEASURED_S)
    w.record(f"requests before the final fault: {before[0]}, served {before[1]}")
    w.record(f"requests sent later than {RECOVERY_S} s after the machines are back: "
             f"{sent}, served {served}")
    w.record(f"machines that are ready: {sum(m.ready for m in w.machines)} of "
             f"{len(w.machines)}")
    for at, machine, line in w.store.malformed[:3]:
        w.record(f"{machine} asked the store: {line.decode()}")
    w.record(f"such calls, answered 400: {len(w.store.malformed)}")
    w.record(f"calls of the store by machine: {w.store.calls}")
    if 4 * served < sent:
        w.record("RECOVER: less than a quarter is served")
    print(f"served before the final fault: {before[1]} of {before[0]}; later than "
          f"{RECOVERY_S} s after it: {served} of {sent}; machines ready: "
          f"{sum(m.ready for m in w.machines)}")
    if 4 * before[1] < before[0] or sent < 100:
        raise RuntimeError("too little was served before the final fault")
    return 1 if 4 * served < sent else 0


world2.main(scenario, os.path.join(HERE, "record.txt"))
