"""Starts a small deployment: state service, cloud and three controllers."""
from world import Controllers, Record, SMALL, Store, TYPES, Users, World  # noqa: F401


async def deployment(record, capacity, boot_s=2.0, site=SMALL, count=3):
    """Returns (store, world, controllers, users) with all controllers up."""
    state, cloud = site["state"], site["cloud"]
    store = await Store(record, state["rps"], state["write_rps"], state["value_kb"], state["txn_ops"]).start()
    world = await World(record, site["workers"], TYPES, capacity, boot_s, cloud["list_lag_s"], cloud["rps"]).start()
    controllers = Controllers(record, site, store.address, world.address, count)
    await controllers.prepare()
    world.controllers = [proxy.address for proxy in controllers.worker_proxies]
    world.names = controllers.names
    for i in range(count):
        await controllers.start(i)
    if not await controllers.wait_until_up():
        await controllers.stop()
        raise RuntimeError("the controllers did not come up")
    return store, world, controllers, Users(record, world, controllers.fronts)


# The capacity of kit/sites/tahtiarkisto-kajaani.toml: machines by (type, zone, spot).
KAJAANI, SODANKYLA = "kajaani-halli", "sodankyla-kellari"
SITE_CAPACITY = {
    ("revontuli", KAJAANI, False): 8, ("revontuli", KAJAANI, True): 3,
    ("revontuli", SODANKYLA, False): 7, ("revontuli", SODANKYLA, True): 2,
    ("kaamos", KAJAANI, False): 2, ("kaamos", KAJAANI, True): 2,
    ("kaamos", SODANKYLA, False): 2, ("kaamos", SODANKYLA, True): 2}
