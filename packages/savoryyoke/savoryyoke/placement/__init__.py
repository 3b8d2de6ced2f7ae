"""Choose a target for each request of a service, queue it, or refuse it.

Pass the events of ``events`` to a ``dispatcher.Dispatcher`` and carry out the
decisions of ``decisions`` that it returns. An entry is one instance of the
load balancer. Many entries share few targets, so each entry counts the
requests that all entries have in flight.
"""
