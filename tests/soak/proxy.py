"""A loopback proxy of TCP connections that the soak delays, resets, silences or cuts one way."""

import asyncio
import socket
import struct
import threading

RESET = struct.pack("ii", 1, 0)


class Proxies:
    """All proxies of a soak, in one thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def open(self, target_port):
        return asyncio.run_coroutine_threadsafe(Proxy.open(target_port), self.loop).result(5)

    def do(self, call, *args):
        self.loop.call_soon_threadsafe(call, *args)


class Proxy:
    """MODE is "pass", "delay", "silence", "cut_there" (to the server) or "cut_back"."""

    @classmethod
    async def open(cls, target_port):
        self = cls()
        self.target_port = target_port
        self.mode = "pass"
        self.writers = set()
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def set(self, mode):
        self.mode = mode

    def reset(self):
        """Resets all open connections; new ones work."""
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()

    async def _accept(self, reader, writer):
        try:
            there = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, there[1]}
        await asyncio.gather(
            self._pump(reader, there[1], "cut_there"),
            self._pump(there[0], writer, "cut_back"),
            return_exceptions=True,
        )
        self.writers -= {writer, there[1]}

    async def _pump(self, reader, writer, cut):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                while self.mode in ("silence", cut):
                    # Such a connection stays silent: what had lost track of it is back, it isn't.
                    await asyncio.sleep(0.2)
                    if self.mode == "pass":
                        return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            if self.mode not in ("silence", cut):
                writer.close()
