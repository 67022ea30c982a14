"""How many connections the peers of a process may keep open."""

DEFAULT_MAX_FDS = 4096
# Descriptors that are kept for files.
FILE_DESCRIPTORS = 200
# The rest of the descriptors is for targets, the store and other processes.
PEERS_SHARE = 0.5
# A connection keeps some 128 KiB at most: unread parts of a body, heads, and a
# part of an answer that its peer has yet to read.
CONNECTIONS_PER_MB = 4


def connection_limit(*, max_fds: int, memory_mb: float) -> int:
    """Return how many connections peers may keep open together.

    :param max_fds: how many descriptors the process may have
    :param memory_mb: memory of the process, in MiB
    """
    by_descriptors = PEERS_SHARE * (max_fds - FILE_DESCRIPTORS)
    by_memory = CONNECTIONS_PER_MB * memory_mb
    return max(1, int(min(by_descriptors, by_memory)))
