"""A small HTTP/1.1 server and client for the stand-ins: one request at a time on a connection, bodies with a length or in chunks."""

import asyncio


class Request:
    def __init__(self, method, target, fields, body, writer, reader):
        self.method = method
        self.target = target
        self.path, _, self.query_text = target.partition("?")
        self.fields = fields
        self.body = body
        self.writer = writer
        self.reader = reader

    def field(self, name, otherwise=""):
        return self.fields.get(name.lower(), otherwise)

    def query(self, name, otherwise=""):
        for pair in self.query_text.split("&"):
            key, _, value = pair.partition("=")
            if key == name:
                return unquote(value)
        return otherwise


def unquote(text):
    from urllib.parse import unquote as decode

    return decode(text)


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


def head_bytes(status, fields):
    lines = ["HTTP/1.1 %d Status" % status] + ["%s: %s" % entry for entry in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def respond(request, status, fields=(), body=b""):
    request.writer.write(head_bytes(status, list(fields) + [("Content-Length", len(body))]) + body)
    await request.writer.drain()


async def serve(handler, port=0):
    """Serves on a loopback address. The handler answers by itself; it returns False to close the connection."""

    async def connection(reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                method, target, _ = line.split(" ")
                body = await read_body(reader, fields)
                if await handler(Request(method, target, fields, body, writer, reader)) is False:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, "127.0.0.1", port, limit=1 << 26)


def port_of(server):
    return server.sockets[0].getsockname()[1]


class Answer:
    def __init__(self, status, fields, body, whole):
        self.status = status
        self.fields = fields
        self.body = body
        self.whole = whole


async def call(port, method, target, fields=(), body=b"", timeout=10.0):
    """Sends one request on a new connection. The status is 0 if there was no answer; whole says whether its end has come."""
    try:
        return await asyncio.wait_for(exchange(port, method, target, fields, body), timeout)
    except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return Answer(0, {}, b"", False)


async def exchange(port, method, target, fields, body):
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 26)
    try:
        lines = ["%s %s HTTP/1.1" % (method, target)] + ["%s: %s" % entry for entry in fields]
        lines.append("Content-Length: %d" % len(body))
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()
        line, answered = await read_head(reader)
        status = int(line.split(" ")[1])
        try:
            return Answer(status, answered, await read_body(reader, answered), True)
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(status, answered, b"", False)
    finally:
        writer.close()
