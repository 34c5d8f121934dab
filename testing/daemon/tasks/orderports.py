"""Ports of orders to workers that are functions which wait for the response."""

from cyclamenshelf_daemon.tasks import ports


def respond_in_thread(start_thread, call):
    """Return the port of an order.

    Args:
        start_thread: Runs a function in a thread.
        call: Returns why an order is refused, or None. Arguments: the order, a
            timeout in ms. Raises WorkerSilentError.
    """

    def send(order, timeout_ms, on_outcome):
        def run():
            try:
                outcome = ports.OrderOutcome(call(order, timeout_ms))
            except ports.WorkerSilentError as error:
                outcome = ports.OrderOutcome(error=str(error))
            on_outcome(outcome)

        start_thread(run)

    return send
