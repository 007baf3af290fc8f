"""Stand-ins for what the controllers talk to, on fake time.

``World`` puts them together: a state service, a cloud, workers and users in one process, on a loop
whose clock jumps to the next timer. It checks the rules of the protocol while a scene runs and
lists what breaks one in ``World.broken``.
"""

from standins.fake_loop import FakeLoop, run
from standins.worker import Worker
from standins.world import World

__all__ = ["FakeLoop", "Worker", "World", "run"]
