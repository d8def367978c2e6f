"""An assigner with warm tasks, and load reports for it."""

from helpers import SECOND, START, assigner_config, endpoint_list_update, make_endpoint

from hollyridge import interface as api
from hollyridge.decisions.assigner import Assigner


def started_assigner():
    """Return an assigner with four warm tasks and two proxies in one zone."""
    assigner = Assigner(assigner_config(zones=1), 1)
    assigner.decide(
        START,
        [
            endpoint_list_update([make_endpoint(i, 0) for i in range(4)]),
            *(api.ProxyJoined(20.0, False, proxy, 0) for proxy in range(2)),
        ],
    )
    return assigner


def report_second(assigner, now, proposal=None, load=0.5, slow=1):
    """Send the assigner one second of load reports about four tasks of one zone, and return its commands."""
    events = [
        api.TrafficReport(0, i, 20, 0, 100_000 * (slow if i in (1, 2) else 1), SECOND, (load, 0.0)) for i in range(4)
    ]
    events += [api.OfferedLoad(40, SECOND, proxy, 0, 0) for proxy in range(2)]
    if proposal is not None:
        events.append(api.WeightProposal(0, tuple(proposal.items())))
    return assigner.decide(now, events)
