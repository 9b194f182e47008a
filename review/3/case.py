"""A balancer that survives the power loss of all others opens flows to endpoints that are gone.

It reads the store itself so late that it takes the gap for an outage of the store, and
keeps upstreams in use that are missing from the list.
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standin as w

SURVIVOR = 5  # the last in the order in which these eight balancers take over the reading
DARK_S = 4.0  # twice the largest dose of herd_kill in the site file
LEAVING = 4  # of 18 endpoints; twice the largest dose of scale_in is a share of 0.26
SERVES_ON_S = w.DRAIN_S + 2.0  # "as long", "and a little longer (at times many seconds)"


async def case(world, trouble):
    await world.start(w.base_config())
    await w.start_endpoints(world)
    await world.start_balancers()
    load = asyncio.ensure_future(w.traffic(world, 100))
    await asyncio.sleep(w.CONTACT_S + 3)

    leaving = world.endpoints[2:2 + LEAVING]
    gone_acked = {}
    late = []

    def on_opening(endpoint, key, balancer):
        age = time.monotonic() - gone_acked.get(endpoint.id, time.monotonic())
        if age > w.DRAIN_S and balancer.in_touch():
            late.append(key)
            world.break_rule("DRAIN", "opening of %s reached %s through %s (in touch) %.2f s after the store had "
                             "acknowledged that it is gone" % (w.flow_name(key), endpoint.name, balancer.name, age))

    world.opening_hooks.append(on_opening)
    await w.find_reader(world)
    dark = [i for i in range(world.count) if i != SURVIVOR] if trouble else []
    for i in dark:
        world.lose_power(i)
    await asyncio.sleep(0.1)
    for endpoint in leaving:  # planned; they say no `draining` and serve on
        world.store.remove("servers/" + endpoint.id)
        gone_acked[endpoint.id] = time.monotonic()
    await asyncio.sleep(DARK_S - 0.1)
    for i in dark:
        await world.regain_power(i)
    await asyncio.sleep(max(0.0, min(gone_acked.values()) + SERVES_ON_S - time.monotonic()))
    ended = time.monotonic()
    held = {key for endpoint in leaving for key, flow in endpoint.flows.items() if flow["open"]}
    for endpoint in leaving:
        await endpoint.end()
    await asyncio.sleep(3)
    load.cancel()
    for balancer in world.balancers:
        for endpoint in leaving:
            balancer.record_log(["upstream_lapsed", "upstream_gone"], "upstream", endpoint.id[2:])
    if not all(endpoint.openings for endpoint in leaving):
        raise w.CannotRun("an endpoint got no flow")
    lost = [r for at, r, key in world.lost_requests if at >= ended and key in held]
    world.summary.append("%d openings later than drain-ms; %d requests lost when the endpoints ended" % (len(late), len(lost)))


w.play(FOLDER, case, count=8, proxied=True)
