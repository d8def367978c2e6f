"""Authentication and authorization with TLS client certificates and CURVE, and replacement of keys at run time."""

import http.client
import ssl

import gevent
import pytest
import trustme
from chp_rig import hosts, open_gateway, start_chp_rig
from gevent import socket
from gevent import ssl as green_ssl
from service_rig import GROUPS, LOOPBACK, attempts_point, wait_for
from zmq import auth

from hollyridge.keys.curve import client_keys
from hollyridge.otlp.sender import build_export_request, post
from hollyridge.sasp.client import ConnectionLostError, LoadBalancerClient, MemberRegistrar, RefusedError
from hollyridge.sasp.codec import Member
from hollyridge.settings import assigner
from hollyridge.settings.ini import FaultsError


class Keys:
    """Certificate authority, key files of the service, and a CURVE key pair for each client."""

    def __init__(self, folder):
        self.folder, self.authority = folder, trustme.CA()
        self.authority.cert_pem.write_to_path(folder / "clients.pem")
        self.issue_service_certificate()
        self.create_curve_keys("pubsub")
        self.curve_keys = {name: self.create_curve_keys(name) for name in ("gate", "agent", "stranger")}

    def issue_service_certificate(self):
        issued = self.authority.issue_cert("localhost")
        issued.cert_chain_pems[0].write_to_path(self.folder / "service.pem")
        issued.private_key_pem.write_to_path(self.folder / "service.key")

    def create_curve_keys(self, name):
        auth.create_certificates(self.folder, name)
        return auth.load_certificate(str(self.folder / f"{name}.key_secret"))

    def overrides(self, **access):
        z85 = {name: public.decode() for name, (public, _) in self.curve_keys.items()}
        settings = {
            "keys__tls_certificate": self.folder / "service.pem",
            "keys__tls_key": self.folder / "service.key",
            "keys__tls_clients": self.folder / "clients.pem",
            "keys__curve": self.folder / "pubsub.key_secret",
            "access gate__curve": z85["gate"],
            "access gate__proxies": "gw-*",
            "access gate__reports": "abdali",
            "access agent__curve": z85["agent"],
            "access agent__members": "127.1.0.0/16 127.2.0.0/16 127.3.0.0/16",
        }
        return {**settings, **access}

    def connector(self, name, authority=None):
        context = green_ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self.authority.configure_trust(context)
        if name:
            (authority or self.authority).issue_cert(common_name=name).configure_cert(context)

        def connect(address, timeout, **options):
            raw = socket.create_connection(address, timeout=timeout, **options)
            return context.wrap_socket(raw, server_hostname="localhost")

        return connect

    def curve_client(self, name, server=None):
        public = server or auth.load_certificate(str(self.folder / "pubsub.key_secret"))[0]
        return client_keys(*self.curve_keys[name], public)


@pytest.fixture
def keys(tmp_path):
    return Keys(tmp_path)


def secured_rig(rig, keys):
    started_rig = start_chp_rig(rig, **keys.overrides())
    agent = started_rig.open(MemberRegistrar, "shelf", connect=keys.connector("agent"))
    agent.register(started_rig.members())
    gevent.sleep(0.3)
    return started_rig, agent


ALL = {1, 2, 3, 4}


def test_clients_with_keys_are_admitted_by_both_servers(rig, keys):
    started_rig, agent = secured_rig(rig, keys)
    gate = started_rig.balancer("gw-1", connect=keys.connector("gate"))
    assert started_rig.held_after(gate)[0] == {g: ALL for g in GROUPS}
    gateway = open_gateway(started_rig, "gw-2", keys=keys.curve_client("gate"))
    assert wait_for(lambda: hosts(gateway) == ALL)
    agent.quiesce([started_rig.members()[0]])
    assert wait_for(lambda: hosts(gateway) == ALL - {1}, 2)


def test_clients_without_permission_are_rejected(rig, keys):
    started_rig, _ = secured_rig(rig, keys)
    other = trustme.CA()
    for connect in (keys.connector(""), keys.connector("gate", other), socket.create_connection):
        with pytest.raises((OSError, ConnectionLostError)):
            started_rig.balancer("gw-1", connect=connect)
    for connect, uid in (
        (keys.connector("stranger"), "gw-1"),
        (keys.connector("gate"), "other"),
        (keys.connector("agent"), "gw-1"),
    ):
        with pytest.raises(RefusedError):
            started_rig.balancer(uid, connect=connect)
    registrar = started_rig.open(MemberRegistrar, "shelf", connect=keys.connector("gate"))
    with pytest.raises(RefusedError):
        registrar.register([Member.at("127.1.0.9", 1, "run=a")])
    for uid, name in (("gw-1", "stranger"), ("other", "gate")):
        gateway = open_gateway(started_rig, uid, keys=keys.curve_client(name))
        plain = open_gateway(started_rig, uid)
        gevent.sleep(0.5)
        assert not hosts(gateway)
        assert not hosts(plain)
    assert not started_rig.engine.servers


def test_reports_are_accepted_only_for_the_zones_of_the_principal(rig, keys):
    started_rig, _ = secured_rig(rig, keys)

    def report(name, points):
        connection = http.client.HTTPSConnection("localhost", started_rig.otlp, timeout=5)
        connection._create_connection = lambda address, *rest: socket.create_connection(("127.0.0.1", started_rig.otlp))
        context = green_ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        keys.authority.configure_trust(context)
        keys.authority.issue_cert(common_name=name).configure_cert(context)
        connection._context = context
        try:
            status, answer = post(connection, build_export_request("x", points))
            return status, answer.partial_success.rejected_data_points
        finally:
            connection.close()

    both = [attempts_point(started_rig), attempts_point(started_rig, zone="khalda")]
    assert report("gate", both) == (200, 1)
    assert report("stranger", both) == (200, 2)
    assert started_rig.service.metrics_server.uncounted["not for this sender"] == 3


def test_keys_can_be_replaced_at_run_time(rig, keys, tmp_path):
    started_rig, agent = secured_rig(rig, keys)
    gate = started_rig.balancer("gw-1", connect=keys.connector("gate"))
    gateway = open_gateway(started_rig, "gw-2", keys=keys.curve_client("gate"))
    assert wait_for(lambda: hosts(gateway) == ALL)
    keys.issue_service_certificate()
    keys.create_curve_keys("pubsub")
    overrides = {tuple(k.split("__")): str(v) for k, v in keys.overrides().items()}
    listen = {("clone", "listen"): f"127.0.0.1:{started_rig.clone.config.port}"}
    started_rig.service.reload(assigner.load(LOOPBACK, {**overrides, **listen}))
    gevent.sleep(0.5)
    assert gateway.sessions == 1
    assert started_rig.held_after(gate, seconds=0.5)[0] == {g: ALL for g in GROUPS}
    new_gateway = open_gateway(started_rig, "gw-3", keys=keys.curve_client("gate"))  # connects with the new server key
    assert wait_for(lambda: hosts(new_gateway) == ALL)
    assert started_rig.held_after(started_rig.balancer("gw-4", connect=keys.connector("gate")))[0] == {
        g: ALL for g in GROUPS
    }
    # Invalid files change nothing.
    (tmp_path / "service.pem").write_text("nonsense")
    with pytest.raises(OSError):
        started_rig.service.reload(assigner.load(LOOPBACK, {**overrides, **listen}))
    # A principal is removed while its streams are open.
    keys.issue_service_certificate()
    for key in [key for key in overrides if key[0] == "access gate"]:
        del overrides[key]
    started_rig.service.reload(assigner.load(LOOPBACK, {**overrides, **listen}))
    with pytest.raises(ConnectionLostError):
        while gate.receive(1):
            pass
    assert wait_for(lambda: not started_rig.engine.servers, 3)
    assert agent.call is not None
    assert len(started_rig.engine.endpoint_source.entries) == 4


KEY_FAULTS = [
    ({("access a", "proxies"): "x"}, "[access a]: needs [keys]"),
    ({("keys", "tls_key"): "k"}, "[keys] tls_certificate, tls_key, tls_clients: set all three or none"),
    ({("keys", "curve"): "no-file"}, "[keys]: file no-file does not exist"),
    ({("access a", "members"): "127.1/99"}, "[access a] members"),
    ({("access a", "curve"): "short"}, "[access a] curve"),
]


@pytest.mark.parametrize(("overrides", "fault"), KEY_FAULTS)
def test_faults_of_key_settings_are_named(overrides, fault):
    with pytest.raises(FaultsError) as caught:
        assigner.load(LOOPBACK, overrides)
    assert fault in str(caught.value)


def test_a_connection_that_never_begins_the_handshake_does_not_block_others(rig, keys):
    started_rig, _ = secured_rig(rig, keys)
    silent = socket.create_connection(("127.0.0.1", started_rig.sasp))  # never begins the handshake
    gate = started_rig.open(LoadBalancerClient, "gw-1", source="127.1.0.200", connect=keys.connector("gate"))
    gate.start(GROUPS)
    assert started_rig.held_after(gate)[0] == {g: ALL for g in GROUPS}
    silent.close()
