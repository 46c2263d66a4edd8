"""Case 1: one submission whose estimate is the largest double ends every controller, again and again."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from setup import SITE_CAPACITY, deployment  # noqa: E402
from world import job, run_case  # noqa: E402

LARGEST_DOUBLE = sys.float_info.max
RESTART_DELAY_S = 3.0  # BRIEF: "back about 3 s after an end"
END_S = 100.0


async def case(record, trouble):
    _, world, controllers, users = await deployment(record, SITE_CAPACITY)
    ended = []

    async def platform():
        """Starts a controller that has ended again, as the platform does."""
        async def keep(i):
            while True:
                code = await controllers.processes[i].wait()
                ended.append((controllers.names[i], code))
                record.add(f"{controllers.names[i]} ENDED BY ITSELF, exit status {code}")
                await asyncio.sleep(RESTART_DELAY_S)
                await controllers.start(i)
        await asyncio.gather(*(keep(i) for i in range(controllers.count)))

    keeper = asyncio.create_task(platform())
    done = set()
    try:
        await users.submit(job("j-000001", Pieces=3, Breeds=["kaamos"]), run_s=20.0)
        while len(world.tasks_on("j-000001")) < 3:
            await asyncio.sleep(0.1)
        # The disruption: a job like any other, but its estimate is not a usable number of seconds.
        estimate = LARGEST_DOUBLE if trouble else 30.0
        answer = await users.submit(job("j-000002", Pieces=3, GuessS=estimate), run_s=10.0)
        record.add(f"the submission with the estimate {estimate} got {answer}")
        await asyncio.sleep(10.0)
        await users.submit(job("j-000003"), run_s=10.0, tries=60)
        while record.now() < END_S and len(done) < 2:
            for name in ("j-000001", "j-000003"):
                for i in range(controllers.count):
                    status, state = await users.poll(name, i)
                    if status == 200 and state["Status"] == "done":
                        done.add(name)
            await asyncio.sleep(3.0)
        record.add(f"ordinary jobs done: {sorted(done)}; controllers that ended by themselves: {ended}")
        print(f"ordinary jobs done: {sorted(done)}; controllers ended by themselves: {len(ended)} times")
        return not ended and len(done) == 2
    finally:
        keeper.cancel()
        for i in range(controllers.count):
            record.add(f"log of {controllers.names[i]}:\n{controllers.log(i)}")
        await controllers.stop()


run_case(case)
