"""TLS contexts: their requirements, and loading of valid and invalid files."""

import ssl

import pytest
import trustme

from hollyridge.keys.tls import TlsFiles, load_keys, peer_common_name, server_context


@pytest.fixture
def files(tmp_path):
    authority = trustme.CA()
    issued = authority.issue_cert("localhost")
    authority.cert_pem.write_to_path(tmp_path / "clients.pem")
    issued.cert_chain_pems[0].write_to_path(tmp_path / "service.pem")
    issued.private_key_pem.write_to_path(tmp_path / "service.key")
    return TlsFiles(*(str(tmp_path / name) for name in ("service.pem", "service.key", "clients.pem")))


def test_a_context_requires_client_certificates_and_a_recent_protocol(files):
    context = server_context(files)
    assert context.verify_mode == ssl.CERT_REQUIRED
    assert context.minimum_version == ssl.TLSVersion.TLSv1_2
    assert len(context.get_ca_certs()) == 1


@pytest.mark.parametrize("missing", ["certificate", "key", "clients"])
def test_a_missing_file_is_an_os_error(files, missing):
    with pytest.raises(OSError, match="No such file"):
        server_context(files._replace(**{missing: "no-file"}))


def test_a_key_of_another_certificate_leaves_a_context_in_use_unchanged(files, tmp_path):
    context = server_context(files)
    other = trustme.CA()
    other.issue_cert("localhost").private_key_pem.write_to_path(tmp_path / "other.key")
    other.cert_pem.write_to_path(tmp_path / "other.pem")
    with pytest.raises(ssl.SSLError):
        load_keys(context, files._replace(key=str(tmp_path / "other.key"), clients=str(tmp_path / "other.pem")))
    assert len(context.get_ca_certs()) == 1


def test_a_plain_socket_has_no_common_name():
    assert peer_common_name(object()) == ""
