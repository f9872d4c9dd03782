"""An upgrade, and a bad client that uses the id of another client's open request."""
import sys

sys.path.insert(0, "../lib")
from standins import *

ORDERS = 6  # open requests whose ids are used again, one after another


class Watching(Server):
    """Notes when an order is out twice at once, and when its answer is made a second time."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.made = {}

    async def work(self, ident, headers, body, writer):
        out = sum(server.out.get(ident, 0) for server in Watching.all)
        if out > 1:
            Watching.twice_out.add(ident)
            self.record(self.name, f"{ident} is out {out} times at once")
        return await super().work(ident, headers, body, writer)

    async def write(self, ident, headers, body, writer):
        if ident in Server.states:
            self.made[ident] = self.made.get(ident, 0) + 1
        return await super().write(ident, headers, body, writer)


Watching.all, Watching.twice_out = [], set()


async def play(record):
    discovery = Discovery()
    await discovery.start()
    for name, kind in [("reader-1", "prompt-side"), ("reader-2", "prompt-side"), ("writer-1", "answer-side"), ("writer-2", "answer-side")]:
        Watching.all.append(Watching(name, kind, record, read_s=0.1, first_s=0.3, events=45, event_s=0.1))
    for server in Watching.all:
        await server.start()
        discovery.put(server.name, server.port, server.kind)
    first = Gateway(record, discovery, name="n1").start()
    second = None
    served = []

    async def client(who, ident):
        reader, writer = await asyncio.open_connection("127.0.0.1", first.listen)
        text = json.dumps({"model": "chat", "stream": True, "messages": [{"role": "user", "content": f"from the {who}"}]})
        head, body = request_bytes(ident, "order-chat", deadline=12.0, body=text.encode())
        writer.write(head + body)
        record(who, f"sent {ident} (order-chat)")
        answer = await asyncio.wait_for(read_answer(reader), 30)
        writer.close()
        record(who, f"got for {ident}: {answer}")
        return answer

    try:
        await first.wait_ready()
        await first.wait_ready(port=first.ops, path="/control/ready")
        # The clients' requests, which the first process takes. Their answers take some 5 s.
        owners = [asyncio.ensure_future(client("client", f"{number:016x}")) for number in range(1, ORDERS + 1)]
        await asyncio.sleep(0.6)
        if TROUBLE:
            # The upgrade: `run` a second time, with the same addresses but the operators', and the same TMPDIR.
            second = Gateway(record, discovery, name="n1", listen=first.listen, tmp=first.tmp).start()
            await second.wait_ready(port=second.ops, path="/control/ready")
        await asyncio.sleep(0.2)
        # The bad client, with and without the upgrade.
        copies = [asyncio.ensure_future(client("bad client", f"{number:016x}")) for number in range(1, ORDERS + 1)]
        await asyncio.sleep(0.8)
        if TROUBLE:
            first.signal(signal.SIGTERM)
            killed_at = now() + 3.7  # the longest deadline, counted as 3 s, and 0.7 s
            while now() < killed_at and first.process.poll() is None:
                await asyncio.sleep(0.05)
            if first.process.poll() is None:
                first.signal(signal.SIGKILL)
        for answer in await asyncio.gather(*copies):
            served.append(answer.status == 200)
        whole = [answer.status == 200 and answer.whole for answer in await asyncio.gather(*owners)]
    finally:
        first.stop()
        if second:
            second.clean()
        first.clean()
    made = {}
    for server in Watching.all:
        for ident, count in server.made.items():
            made[ident] = made.get(ident, 0) + count
    repeated = sorted(ident for ident, count in made.items() if count > 1)
    seen = (f"{ORDERS} orders, {sum(whole)} answered whole to their clients; the bad client's {len(served)} requests under the "
            f"same ids, {sum(served)} served with 200; orders out twice at once: {len(Watching.twice_out)}; "
            f"orders that ran twice: {len(repeated)} ({', '.join(repeated)})")
    return finish(record, bool(repeated) or bool(Watching.twice_out) or any(served), seen)


main(Path(__file__).parent, play)
