"""Decision logic of a query tier, free of I/O.

No module here does I/O, reads a clock or creates a random number generator. Every class takes typed
events with a time in seconds (``now``) and returns typed actions. Where it needs randomness, it is
given a seeded ``random.Random``. The entry daemon, the tests, the model checks and the measurements
all run the same code.

Reading order: ``model`` (shared types), ``failures``, ``snapshot``, ``query`` (one query from start
to end). Then the policies: ``routing``, ``hedging``, ``retry``, ``admission``, ``fairness``,
``limits`` and ``quarantine``. Then the protocols: ``booking``, ``configuration`` and
``membership``. Then what large fleets add: ``coordinators``, ``relay_tree`` and ``overload``,
and the customers of the gateway: ``workspaces``, ``sharing`` and ``served_ratio``.
"""
