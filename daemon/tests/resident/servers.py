"""Servers on loopback that close their connections when a test ends.

The garbage collector would otherwise find connections of a closed event loop,
at any moment of a later test.
"""

import asyncio


async def start(serve):
    """Start a server; return it and its port.

    :param serve: coroutine function(reader, writer) of one connection.
    """

    async def serve_and_close(reader, writer):
        try:
            await serve(reader, writer)
        finally:
            writer.close()

    server = await asyncio.start_server(serve_and_close, '127.0.0.1', 0)
    return server, server.sockets[0].getsockname()[1]
