"""The way of a request through the gateway: where it runs, its plan and its calls."""
