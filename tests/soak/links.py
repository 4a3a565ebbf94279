"""A proxy on loopback between the nodes, and from each node to the store.

Node N announces 127.NET.0.N and binds 127.NET.1.N: the proxy listens on the
former and forwards to the latter, for each TCP and UDP port of the nodes.
"""

import asyncio
import random

from httpio import reset

CHUNK = 65536


class Path:
    """The faults of one direction of a link; TCP bytes wait while it is cut."""

    def __init__(self):
        self.delay = 0.0
        self.loss = 0.0
        self.open = asyncio.Event()
        self.open.set()

    def cut(self, is_cut):
        if is_cut:
            self.open.clear()
        else:
            self.open.set()


class Links:
    """The paths between one node and the other nodes and the store."""

    def __init__(self):
        self.inward = Path()
        self.outward = Path()
        self.to_store = Path()
        self.from_store = Path()


class ProxiedConnection:
    """One proxied TCP connection."""

    def __init__(self, nodes, writers):
        self.nodes = nodes
        self.writers = writers
        self.muted = asyncio.Event()

    def reset(self):
        for writer in self.writers:
            reset(writer)

    async def forward(self, reader, writer, paths):
        """Copies one direction until it ends."""
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


class DatagramEndpoint(asyncio.DatagramProtocol):
    """The UDP port that a node announces."""

    def __init__(self, proxy, index):
        self.proxy = proxy
        self.index = index
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.proxy.on_datagram(addr[0], self.index, data)

    def error_received(self, exc):
        """Ignores the error of a node that is down; the datagram is lost."""


class Proxy:
    """All links of a run."""

    def __init__(self, net, count, store_endpoint):
        self.net = net
        self.store_endpoint = store_endpoint
        self.links = [Links() for _ in range(count)]
        self.connections = set()
        self.datagram_endpoints = {}
        self.servers = []
        self.rng = random.Random(1)

    def announced_address(self, index):
        return f"127.{self.net}.0.{index + 1}"

    def bound_address(self, index):
        return f"127.{self.net}.1.{index + 1}"

    def store_address(self, index):
        return f"127.{self.net}.2.{index + 1}"

    def index_of(self, address):
        return int(address.split(".")[3]) - 1

    async def start(self, tcp_ports, udp_port):
        for index in range(len(self.links)):
            for port in tcp_ports:
                self.servers.append(await asyncio.start_server(
                    self.peer_handler(index, port),
                    self.announced_address(index), port))
            self.servers.append(await asyncio.start_server(
                self.store_handler(index), self.store_address(index),
                self.store_endpoint[1]))
            _, endpoint = \
                await asyncio.get_running_loop().create_datagram_endpoint(
                    lambda node=index: DatagramEndpoint(self, node),
                    local_addr=(self.announced_address(index), udp_port))
            self.datagram_endpoints[index] = (endpoint, udp_port)

    def close(self):
        """Closes the listening sockets, which frees their addresses."""
        for server in self.servers:
            server.close()
        for endpoint, _ in self.datagram_endpoints.values():
            endpoint.transport.abort()

    def peer_handler(self, receiver, port):
        async def handle(reader, writer):
            sender = self.index_of(writer.get_extra_info("peername")[0])
            forward_paths = [self.links[sender].outward,
                             self.links[receiver].inward]
            return_paths = [self.links[receiver].outward,
                            self.links[sender].inward]
            await self.relay(reader, writer, {sender, receiver},
                             (self.bound_address(receiver), port),
                             self.announced_address(sender), forward_paths,
                             return_paths)
        return handle

    def store_handler(self, index):
        async def handle(reader, writer):
            await self.relay(reader, writer, {index}, self.store_endpoint,
                             self.bound_address(index),
                             [self.links[index].to_store],
                             [self.links[index].from_store])
        return handle

    async def relay(self, reader, writer, nodes, endpoint, source_address,
                    forward_paths, return_paths):
        """Relays an accepted connection to an endpoint.

        The connection to the endpoint comes from the source address.
        """
        for path in forward_paths:
            await path.open.wait()
        try:
            remote_reader, remote_writer = await asyncio.open_connection(
                *endpoint, local_addr=(source_address, 0))
        except OSError:
            ProxiedConnection(nodes, [writer]).reset()
            return
        connection = ProxiedConnection(nodes, [writer, remote_writer])
        self.connections.add(connection)
        await asyncio.gather(
            connection.forward(reader, remote_writer, forward_paths),
            connection.forward(remote_reader, writer, return_paths))
        self.connections.discard(connection)
        for connection_writer in connection.writers:
            connection_writer.close()

    def on_datagram(self, source_address, receiver, data):
        sender = self.index_of(source_address)
        paths = [self.links[sender].outward, self.links[receiver].inward]
        if any(not path.open.is_set() or self.rng.random() < path.loss
               for path in paths):
            return
        endpoint, port = self.datagram_endpoints[receiver]
        asyncio.get_running_loop().call_later(
            sum(path.delay for path in paths), endpoint.transport.sendto, data,
            (self.bound_address(receiver), port))

    def connections_of(self, index):
        return [connection for connection in self.connections
                if index in connection.nodes]
