"""Model of configuration changes: the shipped state machines and a store with faults.

Operators run ``AcceptChange``, instances run ``ConfigAdoption``. The store applies one action at a
time. These faults may happen, each a limited number of times: a reply lost after the write, a
request lost before it, a write that is applied late, a failed action, a store that is restored to
an older state, and an instance that restarts.

Out of scope: a restore of the store while an operator's command runs. Such a command may reuse a
version that instances already have in force; the instances then report a dispute.
"""

from azurefield_testkit.models.configuration.model import ConfigurationModel
from azurefield_testkit.models.configuration.world import Faults

__all__ = ["ConfigurationModel", "Faults"]
