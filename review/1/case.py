"""Open flows on a new route are reset by balancers that don't know the route yet.

The balancer that reads the store is cut off from the others just before a route
is added, and is stopped as planned. It opens flows on the new route; when it is
out of rotation, their packets reach balancers that will learn of the route only
when they read the store themselves.
"""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standin as w

NEW_ROUTE = ("198.18.0.9", 8443)
FLOWS = 60


async def case(world, trouble):
    await world.start(w.base_config())
    await w.start_endpoints(world)
    await world.start_balancers()
    load = asyncio.ensure_future(w.traffic(world, 40))

    def on_reset_of_open_flow(flow, holder, balancer, sender):
        if flow.route != NEW_ROUTE:
            return
        in_touch = balancer is not None and balancer.in_touch()
        text = "client got a reset from %s (in touch: %s) on flow %s, open at %s, which lives undisturbed" % (
            sender, in_touch, w.flow_name(flow.key), holder.name)
        if in_touch:
            world.break_rule("FLOW", text)
        else:
            world.record("client", text)

    world.reset_of_open_flow = on_reset_of_open_flow
    await asyncio.sleep(w.CONTACT_S + 3)
    reader = await w.find_reader(world)
    world.record("test", "%s reads the store" % reader.name)
    if trouble:
        world.cut(reader.index)
    world.publish_config(lambda config: config["routes"].append(
        w.route("r-new", NEW_ROUTE, "non_idempotent", 2000, 120, 1, w.FEED)))
    reader.signal(signal.SIGTERM)  # planned: it is stopped and started again
    await asyncio.sleep(0.03)
    flows = [world.start_flow(NEW_ROUTE, requests=40, work_ms=20, pause_s=0.05, label="new", deadline_s=2.0)
             for _ in range(FLOWS)]
    await asyncio.sleep(6)
    load.cancel()
    for balancer in world.balancers:
        balancer.record_log(["packet_refused"], "address", "%s:%d" % NEW_ROUTE)
    by_reader = [f for f in flows if f.open and f.balancers[0] is reader]
    if not by_reader:
        raise w.CannotRun("the reader opened no flow on the new route")
    lost = [r for _, r, _ in world.lost_requests if r.startswith("new-")]
    world.summary.append("%d flows on the new route opened through %s; %d of them reset, %d requests in progress lost" % (
        len(by_reader), reader.name, sum(f.closed_by == "reset" for f in by_reader), len(lost)))


w.play(FOLDER, case, count=8, proxied=True)
