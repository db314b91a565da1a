"""TCP proxies on loopback whose connections the soak test delays, resets or stalls."""

import asyncio
import socket
import struct
import threading

SLOW_BYTES_PER_S = 100_000
LINGER_RESET = struct.pack("ii", 1, 0)


class Proxies:
    """The proxies of a soak test; they share one thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def open(self, target_port):
        return asyncio.run_coroutine_threadsafe(Proxy.open(target_port), self.loop).result(5)

    def call_soon(self, function, *args):
        self.loop.call_soon_threadsafe(function, *args)


class Proxy:
    """A proxy of one server port.

    `mode` is "pass", "delay", "slow" (SLOW_BYTES_PER_S for each connection and direction), "stall"
    (both directions), "drop_to_server" or "drop_to_client".
    """

    @classmethod
    async def open(cls, target_port):
        self = cls()
        self.target_port = target_port
        self.mode = "pass"
        self.writers = set()
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def set_mode(self, mode):
        self.mode = mode

    def reset(self):
        """Resets all open connections; later ones are not affected."""
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            writer.transport.abort()

    async def _accept(self, reader, writer):
        try:
            server_streams = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, server_streams[1]}
        await asyncio.gather(
            self._pump(reader, server_streams[1], "drop_to_server"),
            self._pump(server_streams[0], writer, "drop_to_client"),
            return_exceptions=True,
        )
        self.writers -= {writer, server_streams[1]}

    async def _pump(self, reader, writer, drop_mode):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                if self.mode == "slow":
                    await asyncio.sleep(len(data) / SLOW_BYTES_PER_S)
                while self.mode in ("stall", drop_mode):
                    # The data is discarded, and the connection is closed after the fault.
                    await asyncio.sleep(0.2)
                    if self.mode == "pass":
                        return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            if self.mode not in ("stall", drop_mode):
                writer.close()
