"""Asyncio helpers that read and write HTTP/1.1 with headers as given."""

import asyncio
import socket
import struct


class Message:
    """A request or response."""

    def __init__(self, start_line, headers, body):
        self.start_line = start_line
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """Returns (start line, headers), or None if the connection closed."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = [tuple(part.strip() for part in line.split(":", 1))
               for line in lines[1:]]
    return lines[0], headers


async def read_body(reader, headers):
    """Returns a body framed by Content-Length or chunked encoding."""
    values = {key.lower(): value for key, value in headers}
    if values.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(values.get("content-length", 0)))


async def read_message(reader):
    """Returns a Message; None for a closed connection or malformed body."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        body = await read_body(reader, head[1])
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Message(head[0], head[1], body)


def reset(writer):
    """Closes a connection with a TCP reset."""
    if not writer.is_closing():
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def response_bytes(status, headers=(), body=b"", reason="X"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{key}: {value}" for key, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
