"""A machine's link to the store: a TCP proxy with a bandwidth and a delay.

All connections of the machine share the bandwidth, in each direction. It
prints its address and forwards until it is ended.
"""

import argparse
import asyncio
import time

CHUNK_BYTES = 4096


class Pipe:
    """One direction of the link."""

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.free_at = 0.0

    async def take(self, count):
        """Wait until the link has carried so many bytes."""
        now = time.monotonic()
        self.free_at = max(now, self.free_at) + count / self.bytes_per_s
        await asyncio.sleep(self.free_at - now)


async def forward(reader, writer, pipe):
    try:
        while data := await reader.read(CHUNK_BYTES):
            await pipe.take(len(data))
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('target')
    parser.add_argument('--mbps', type=float, required=True)
    args = parser.parse_args()
    host, port = args.target.split(':')
    up, down = (Pipe(args.mbps * 1e6 / 8) for _ in range(2))

    async def serve(reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            forward(reader, far_writer, up),
            forward(far_reader, writer, down),
        )

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    address = server.sockets[0].getsockname()
    print(f'{address[0]}:{address[1]}', flush=True)
    await server.serve_forever()


asyncio.run(main())
