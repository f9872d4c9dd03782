"""Case 6: some good streams are followed by a second answer a few milliseconds late."""
import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
sys.dont_write_bytecode = True
from rig import TROUBLE, Engine, Client, answer, chunk, play  # noqa: E402

LATE_S = 0.010  # "some milliseconds"
EVERY = 4  # one stream in so many has a second answer behind it
SECONDS = 40
CLIENTS = 20


class Repeating(Engine):
    """A writer that answers some requests a second time, some milliseconds after the end of the first answer."""

    finished = 0

    async def write(self, request, writer):
        served = await super().write(request, writer)
        if TROUBLE and self.world.has_run(request):
            Repeating.finished += 1
            if Repeating.finished % EVERY == 0:
                asyncio.ensure_future(self.once_more(request, writer))
        return served

    async def once_more(self, request, writer):
        await asyncio.sleep(LATE_S)
        if writer.is_closing():
            return
        self.record(self.name, "second answer", request=request)
        body = b"".join(chunk(self.event(request, n, n == self.events - 1)) for n in range(self.events))
        writer.write(self.HEAD + body + chunk(self.ending()) + b"0\r\n\r\n")


async def case(rig):
    discovery = await rig.discovery()
    engines = [await rig.engine(f"s-read{n}", "read", first=0.05) for n in (1, 2)]
    engines += [await rig.engine(f"s-write{n}", "write", Repeating, first=0.05, gap=0.02) for n in (1, 2)]
    discovery.tell(*engines)
    gateway = rig.gateway("n1", discovery)
    await gateway.ready()
    breaks, answers = [], []

    async def client(number):
        one = Client(rig.record, gateway.config["listen"], kind=("order-chat", "item-query")[number % 2])
        end = rig.record.now() + SECONDS
        while rig.record.now() < end:
            found = await one.ask(key=f"{number:x}")
            answers.append(found)
            if found.status != 200:
                await asyncio.sleep(0.05)
        one.close()

    await asyncio.gather(*(client(n) for n in range(CLIENTS)))
    for found in answers:
        foreign = [c for c in found.contents() if not c.startswith(found.request + ".")]
        if foreign:
            breaks.append(f"request {found.request} was served with {foreign[0]} and {len(foreign) - 1} more events")
    rig.record("case", "answers", total=len(answers), served=sum(a.status == 200 and a.whole for a in answers),
               statuses={s: sum(a.status == s for a in answers) for s in {a.status for a in answers}},
               cut=sum(a.status == 200 and not a.whole for a in answers))
    return breaks


play(HERE, case)
