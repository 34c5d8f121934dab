"""How well a task fits a worker: what remains there should stay usable."""

from cyclamenshelf_core import taskjobs


def compute_remainder(
    available: taskjobs.Resources,
    need: taskjobs.Resources,
    total: taskjobs.Resources,
) -> float:
    """Return how much of a worker a task leaves unused; less is better.

    It is the sum of the remaining shares of accelerators, memory and cores, so
    that full workers are filled first and whole ones stay free. What the task
    adds to the difference between the shares of accelerators and of memory is
    added: much of one beside little of the other can be used by few tasks.
    """
    # Not a loop over the fields: a decision on a large fleet calls this often.
    memory = cores = needed_memory = 0.0
    if total.memory_mb:
        needed_memory = need.memory_mb / total.memory_mb
        memory = available.memory_mb / total.memory_mb - needed_memory
    if total.cpu_millis:
        cores = (available.cpu_millis - need.cpu_millis) / total.cpu_millis
    if not total.accelerators:
        return memory + cores
    needed = need.accelerators / total.accelerators
    accelerators = available.accelerators / total.accelerators - needed
    after = accelerators - memory
    before = after + needed - needed_memory
    return accelerators + memory + cores + abs(after) - abs(before)
