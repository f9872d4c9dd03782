"""Case 9: good streams that end with a load report that cannot be read."""
import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
sys.dont_write_bytecode = True
from rig import TROUBLE, Client, Engine, play  # noqa: E402

EVERY = 4  # one stream in so many ends with a report that cannot be read
REQUESTS = 20


class Unreadable(Engine):
    """A writer some of whose reports hold a byte that is no UTF-8 and figures that are no numbers."""

    streams = 0

    def report(self):
        Unreadable.streams += 1
        if TROUBLE and Unreadable.streams % EVERY == 0:
            return b": Srv-Load: TEXT inflight=\xe9, x0=\n\n"
        return super().report()


async def case(rig):
    discovery = await rig.discovery()
    engines = [await rig.engine(f"s-read{n}", "read") for n in (1, 2)]
    engines += [await rig.engine(f"s-write{n}", "write", Unreadable) for n in (1, 2)]
    discovery.tell(*engines)
    gateway = rig.gateway("n1", discovery)
    await gateway.ready()
    breaks = []
    one = Client(rig.record, gateway.config["listen"])
    for _ in range(REQUESTS):
        found = await one.ask()
        if not found.whole:
            has_end = b"data: [DONE]" in found.body
            breaks.append(f"request {found.request}: its stream was cut ({found.error}); its engine finished it; "
                          f"the client has {len(found.contents())} of {engines[-1].events} events of text, "
                          f"{'and' if has_end else 'but not'} the last one")
        elif found.status != 200:
            rig.record("client", "was not served", request=found.request, status=found.status)
    await asyncio.sleep(0.1)
    return breaks


play(HERE, case)
