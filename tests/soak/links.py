"""A proxy on loopback between the nodes, and from each node to the store.

Node N announces 127.NET.0.N and binds 127.NET.1.N: the proxy listens on the
former and hands on to the latter, for each TCP and UDP port of the nodes.
"""

import asyncio
import random

from httpio import reset

CHUNK = 65536


class Path:
    """One direction of a link, as it is now."""

    def __init__(self):
        self.delay = 0.0
        self.loss = 0.0
        self.open = asyncio.Event()
        self.open.set()

    def cut(self, closed):
        if closed:
            self.open.clear()
        else:
            self.open.set()


class Links:
    """The paths of one node: with the other nodes, and with the store."""

    def __init__(self):
        self.inward = Path()
        self.outward = Path()
        self.to_store = Path()
        self.from_store = Path()


class Stream:
    """One proxied TCP connection."""

    def __init__(self, ends, writers):
        self.ends = ends
        self.writers = writers
        self.muted = asyncio.Event()

    def reset(self):
        for writer in self.writers:
            reset(writer)

    async def hand_on(self, reader, writer, paths):
        """Copies one direction until an end; a cut holds the bytes back."""
        try:
            while True:
                data = await reader.read(CHUNK)
                for path in paths:
                    await path.open.wait()
                if self.muted.is_set():
                    await asyncio.sleep(3600)
                delay = sum(path.delay for path in paths)
                if delay:
                    await asyncio.sleep(delay)
                if not data:
                    writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError, RuntimeError):
            self.reset()


class DatagramEnd(asyncio.DatagramProtocol):
    """The UDP port that a node announces."""

    def __init__(self, proxy, number):
        self.proxy = proxy
        self.number = number
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.proxy.on_datagram(addr[0], self.number, data)

    def error_received(self, exc):
        """A node that is down; the datagram is lost."""


class Proxy:
    """All links of a run."""

    def __init__(self, net, count, store):
        self.net = net
        self.store = store
        self.links = [Links() for _ in range(count)]
        self.streams = set()
        self.ends = {}
        self.servers = []
        self.chance = random.Random(1)

    def announced(self, number):
        return f"127.{self.net}.0.{number + 1}"

    def bound(self, number):
        return f"127.{self.net}.1.{number + 1}"

    def store_address(self, number):
        return f"127.{self.net}.2.{number + 1}"

    def number_of(self, address):
        return int(address.split(".")[3]) - 1

    async def start(self, tcp_ports, udp_port):
        for number in range(len(self.links)):
            for port in tcp_ports:
                self.servers.append(await asyncio.start_server(
                    self.peer_handler(number, port), self.announced(number),
                    port))
            self.servers.append(await asyncio.start_server(
                self.store_handler(number), self.store_address(number),
                self.store[1]))
            _, end = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda each=number: DatagramEnd(self, each),
                local_addr=(self.announced(number), udp_port))
            self.ends[number] = (end, udp_port)

    def end(self):
        """Frees all addresses."""
        for server in self.servers:
            server.close()
        for end, _ in self.ends.values():
            end.transport.abort()

    def peer_handler(self, to, port):
        async def handle(reader, writer):
            source = self.number_of(writer.get_extra_info("peername")[0])
            out = [self.links[source].outward, self.links[to].inward]
            back = [self.links[to].outward, self.links[source].inward]
            await self.join(reader, writer, {source, to},
                            (self.bound(to), port), self.announced(source),
                            out, back)
        return handle

    def store_handler(self, number):
        async def handle(reader, writer):
            await self.join(reader, writer, {number}, self.store,
                            self.bound(number),
                            [self.links[number].to_store],
                            [self.links[number].from_store])
        return handle

    async def join(self, reader, writer, ends, place, source, out, back):
        """Connects one accepted connection with its place."""
        for path in out:
            await path.open.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *place, local_addr=(source, 0))
        except OSError:
            Stream(ends, [writer]).reset()
            return
        stream = Stream(ends, [writer, far_writer])
        self.streams.add(stream)
        await asyncio.gather(stream.hand_on(reader, far_writer, out),
                             stream.hand_on(far_reader, writer, back))
        self.streams.discard(stream)
        for each in stream.writers:
            each.close()

    def on_datagram(self, source, to, data):
        number = self.number_of(source)
        paths = [self.links[number].outward, self.links[to].inward]
        if any(not path.open.is_set() or self.chance.random() < path.loss
               for path in paths):
            return
        end, port = self.ends[number]
        asyncio.get_running_loop().call_later(
            sum(path.delay for path in paths), end.transport.sendto, data,
            (self.bound(to), port))

    def streams_of(self, number):
        return [each for each in self.streams if number in each.ends]
