"""What lives for one connection: callers, endpoint connections, framing."""
