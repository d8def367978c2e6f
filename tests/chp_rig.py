"""Assigner with a CHP server, and gateways that subscribe to it, for tests of several packages."""

import gevent
import zmq.green as zmq
from service_rig import GROUPS

from hollyridge.client import ChpGateway
from hollyridge.lab.stand_ins.ports import free_ports


def start_chp_rig(rig, **overrides):
    started_rig = rig(**{"clone__listen": f"127.0.0.1:{free_ports(3)}", "clone__beat_ms": 100, **overrides})
    started_rig.clone, started_rig.context = started_rig.service.chp_server, zmq.Context()
    return started_rig


def open_gateway(started_rig, uid="gw-c", zone=1, **options):
    gateway = ChpGateway(
        ("127.0.0.1", started_rig.clone.config.port),
        uid,
        list(GROUPS),
        sleep=gevent.sleep,
        client_options=dict(zmq=zmq, context=started_rig.context, source=f"127.{zone}.0.77", **options),
    )
    gateway.job = gevent.spawn(gateway.run)
    gateway.close = gateway.stop
    started_rig.clients.append(gateway)
    return gateway


def hosts(gateway, method="read-chapter"):
    return {int(task.split(":")[0].split(".")[3]) for task in gateway.table_for(method)}
