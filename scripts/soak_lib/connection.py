"""A connection to a node that is kept for many requests."""

import dataclasses
import http.client
import re
import select
import socket
import time

from soak_lib.constants import DEADLINE_S, FRONT_PORT, SHORTEST_IDLE_LIMIT_S

CONNECT_TIMEOUT_S = 2
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


@dataclasses.dataclass
class Exchange:
    """A request and what came back for it."""

    sent_at: float | None = None  # None if it could not be sent whole
    ended_at: float = 0
    status: int | None = None
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    error: str | None = None  # why there is no whole answer

    def is_answered(self):
        return self.sent_at is not None and self.error is None


class KeptConnection:
    """A connection to a node."""

    def __init__(self, node):
        self.node = node
        self.socket = socket.create_connection((node.ip, FRONT_PORT), CONNECT_TIMEOUT_S)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.is_open, self.requests = True, 0
        self.idle_limit_s = SHORTEST_IDLE_LIMIT_S

    def close(self):
        self.is_open = False
        self.socket.close()

    def is_stale(self):
        """Whether the node has closed the connection. It sends nothing unasked, so anything readable is the end."""
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return bool(poll.poll(0))

    def exchange(self, method, path, headers, body=b"", timeout_s=DEADLINE_S + 3):
        """Sends a request and reads its answer. Closes the connection if it cannot be used again."""
        fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = f"{method} {path} HTTP/1.1\r\n{fields}Content-Length: {len(body)}\r\n\r\n"
        self.socket.settimeout(timeout_s)
        exchange = Exchange()
        self.requests += 1
        try:
            self.socket.sendall(head.encode() + body)
            exchange.sent_at = time.time()
            response = http.client.HTTPResponse(self.socket, method=method)
            response.begin()
            exchange.status, exchange.headers = response.status, response.headers
            exchange.body = response.read()
            keep_alive = KEEP_ALIVE_TIMEOUT.search(response.headers.get("Keep-Alive", ""))
            if keep_alive:
                self.idle_limit_s = min(self.idle_limit_s, int(keep_alive[1]))
            # `begin` sets it by "Connection: close" and the version.
            if response.will_close:
                self.close()
        except (OSError, http.client.HTTPException) as error:
            exchange.error = repr(error)
            self.close()
        exchange.ended_at = time.time()
        return exchange
