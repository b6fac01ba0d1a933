"""Loopback addresses of one run."""

import os
import socket

# Addresses 127.64.0.0 to 127.127.255.255, apart from those of other tests; a run takes 256 of them.
FIRST_BLOCK, BLOCKS = 64 * 256, 64 * 256
# While a run holds this port of its block, no other run takes the block.
LOCK_HOST, LOCK_PORT = 254, 17599
PLATFORM_HOST = 253


class LoopbackNetwork:
    """A block of loopback addresses that no other run on this machine uses."""

    def __init__(self):
        for attempt in range(BLOCKS):
            block = FIRST_BLOCK + (os.getpid() + attempt) % BLOCKS
            self.prefix = f"127.{block // 256}.{block % 256}"
            self.lock = socket.socket()
            try:
                self.lock.bind((self.address(LOCK_HOST), LOCK_PORT))
                return
            except OSError:
                self.lock.close()
        raise RuntimeError("all blocks of loopback addresses are in use")

    def address(self, host):
        return f"{self.prefix}.{host}"

    def platform(self):
        return self.address(PLATFORM_HOST)

    def node(self, number):
        return self.address(number + 1)
