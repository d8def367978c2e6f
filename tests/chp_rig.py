"""Assigner with a CHP server, and gateways that subscribe to it, for tests of several packages."""

import gevent
import zmq.green as zmq
from service_rig import GROUPS

from hollyridge.client import ChpGateway
from hollyridge.lab.stand_ins.ports import free_ports


def start_chp_rig(rig, **overrides):
    r = rig(**{"clone__listen": f"127.0.0.1:{free_ports(3)}", "clone__beat_ms": 100, **overrides})
    r.clone, r.context = r.service.chp_server, zmq.Context()
    return r


def open_gateway(r, uid="gw-c", zone=1, **options):
    gateway = ChpGateway(
        ("127.0.0.1", r.clone.config.port),
        uid,
        list(GROUPS),
        sleep=gevent.sleep,
        client_options=dict(zmq=zmq, context=r.context, source=f"127.{zone}.0.77", **options),
    )
    gateway.job = gevent.spawn(gateway.run)
    gateway.close = gateway.stop
    r.clients.append(gateway)
    return gateway


def hosts(gateway, method="read-chapter"):
    return {int(task.split(":")[0].split(".")[3]) for task in gateway.table_for(method)}
