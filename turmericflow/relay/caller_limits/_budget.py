"""Shares of a machine's memory and descriptors that callers may take."""

from __future__ import annotations

from dataclasses import dataclass

# A host's process needs 45 to 80 MB for itself, and what the interpreter and the
# allocator add to the bytes that are counted comes on top.
CALLERS_MEMORY_SHARE = 0.4
SCARCE_SHARE = 0.75  # of the callers' memory: large bodies wait from here on
RELIEVED_SHARE = 0.5  # to which it is brought once something has to give way
TUNNELS_MEMORY_SHARE = 0.1  # of the machine's memory
TUNNEL_BYTES = 600_000  # that a connection carried for another host holds at most
RESERVED_DESCRIPTORS = 250  # for files, the store, other hosts and listeners
CALLERS_DESCRIPTORS_SHARE = 0.4  # each request takes one at a target as well
LOOKUPS_DESCRIPTORS_SHARE = 0.05  # for each of the small listeners
TUNNELS_DESCRIPTORS_SHARE = 0.05  # two each
MIN_CONNECTIONS = 16
UNLIMITED = 2**62


@dataclass(slots=True, frozen=True)
class Budget:
    """What callers and other hosts may make a process hold.

    Attributes
    ----------
    capacity_bytes
        Bytes of requests and answers.
    scarce_bytes
        Bytes from which on large bodies are not read further.
    relieved_bytes
        Bytes to which requests are refused or connections closed once something
        has to give way.
    callers, lookups, tunnels
        Connections of callers, connections of each of the other listeners, and
        connections carried for other hosts.
    """

    capacity_bytes: int = UNLIMITED
    scarce_bytes: int = UNLIMITED
    relieved_bytes: int = UNLIMITED
    callers: int = UNLIMITED
    lookups: int = UNLIMITED
    tunnels: int = UNLIMITED

    @classmethod
    def from_limits(cls, memory_bytes: int, descriptors: int) -> Budget:
        """Return the budget of a machine; a limit of 0 is none.

        Parameters
        ----------
        memory_bytes
            Memory that the process may use.
        descriptors
            Descriptors that the process may have open.
        """
        callers = lookups = tunnels = tunnels_in_memory = UNLIMITED
        capacity = scarce = relieved = UNLIMITED
        if memory_bytes:
            capacity = int(memory_bytes * CALLERS_MEMORY_SHARE)
            scarce = int(capacity * SCARCE_SHARE)
            relieved = int(capacity * RELIEVED_SHARE)
            tunnels_in_memory = int(memory_bytes * TUNNELS_MEMORY_SHARE / TUNNEL_BYTES)
        if descriptors:
            free = max(0, descriptors - RESERVED_DESCRIPTORS)
            callers = max(MIN_CONNECTIONS, int(free * CALLERS_DESCRIPTORS_SHARE))
            lookups = max(MIN_CONNECTIONS, int(free * LOOKUPS_DESCRIPTORS_SHARE))
            tunnels = max(MIN_CONNECTIONS, int(free * TUNNELS_DESCRIPTORS_SHARE))
        return cls(
            capacity,
            scarce,
            relieved,
            callers,
            lookups,
            min(tunnels, tunnels_in_memory),
        )
