"""Entry daemon: HTTP towards callers and backend servers, msgpack streams to its peers."""
