"""In-process simulation of the services, workers and users around the controllers, on fake time.

``World`` combines a state service, a cloud, workers and users in one process, on an event loop
whose clock jumps to the next timer. It checks the invariants of the protocol while a test scenario
runs and lists each violation in ``World.broken``.
"""

from standins.fake_loop import FakeLoop, run
from standins.worker import Worker
from standins.world import World

__all__ = ["FakeLoop", "Worker", "World", "run"]
