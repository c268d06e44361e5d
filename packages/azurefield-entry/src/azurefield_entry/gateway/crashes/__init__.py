"""Evidence of requests that end backend servers, shared by all instances."""
