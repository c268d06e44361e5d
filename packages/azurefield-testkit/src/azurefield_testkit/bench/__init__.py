"""Benchmark of the scheduling policies in simulated time.

The decision code is the real one; the servers, connections and entry instances around it are fakes.
Each run simulates one service: its leafs (three backend servers each, one per availability zone),
six entry instances and the callers. The model is simple: the network is a fixed delay, and a server
is a queue in front of a number of slots.

Reading order: ``loop``, ``sizes`` (services and service times), ``scenario`` (demand and faults),
``servers`` and ``entry`` (the fakes), ``variants``, ``measures``, ``targets``, ``report``.
"""
