"""Tests of TLS to callers and between routers, with real processes."""

from __future__ import annotations

import socket
import ssl
import time
from pathlib import Path

import pytest

from turmericflow.cli.main import main
from turmericflow.testing import Cluster, ClusterPlan, EngineSpec
from turmericflow.testing._certificates import Authority

PROFILE = {"name": "quotation", "service": "redactor", "model": "sable"}
PROFILE |= {"adapter": "none", "version": "1"}
IPS = ["127.0.1.1", "127.0.1.2"]
RELOAD_TIMEOUT_S = 10.0
SERIAL, NEW_SERIAL = 100, 101


@pytest.fixture(scope="module")
def authority(tmp_path_factory):
    return Authority.create(tmp_path_factory.mktemp("tls"))


@pytest.fixture(scope="module")
def cluster(authority):
    files = authority.issue("entry", IPS, SERIAL)
    plan = ClusterPlan(
        routers={"entry-1": "north", "entry-2": "south"},
        targets=[
            EngineSpec("redactor-0", "redactor", "north", ["--model", "sable/none/1"])
        ],
        objects={"profile/quotation": PROFILE, "customer/norte": {"name": "norte"}},
        settings={"tls": {**files, "reload_s": 0.05}},
    )
    with Cluster(plan) as cluster:
        yield cluster


def generate(cluster, host, ca, key):
    argv = ["generate", "quotation", "fascia", "--max-tokens", "4", "-k", key]
    argv += ["--customer", "norte", "--ca", str(ca)]
    return main([*argv, "--address", cluster.router_addresses[host]])


def served_serial(cluster, authority):
    ip, port = cluster.router_addresses["entry-1"].rsplit(":", 1)
    context = ssl.create_default_context(cafile=authority.ca)
    with socket.create_connection((ip, int(port)), timeout=5) as raw:
        with context.wrap_socket(raw, server_hostname=ip) as conn:
            return int(conn.getpeercert()["serialNumber"], 16)


def peer_refuses(cluster, context):
    """Return whether a router closes a peer connection made with a TLS context."""
    ip = cluster.router_addresses["entry-1"].rsplit(":", 1)[0]
    port = cluster._peer_ports["entry-1"]
    try:
        with socket.create_connection((ip, port), timeout=5) as raw:
            conn = raw if context is None else context.wrap_socket(raw)
            conn.sendall(b"\x94\xa5hello\xa1x\xa1y\x00")
            return conn.recv(1) == b""
    except (ssl.SSLError, ConnectionError):
        return True


def client_context(files=None):
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    if files is not None:
        context.load_cert_chain(files["cert"], files["key"])
    return context


@pytest.mark.integration
def test_answers_cross_routers_over_tls(cluster, authority, capsys):
    for number in range(4):
        for host in cluster.router_addresses:
            assert generate(cluster, host, authority.ca, f"k{number}") == 0
    texts = [line for line in capsys.readouterr().out.splitlines() if line]
    assert len(texts) == 8 and len(set(texts)) == 4


@pytest.mark.integration
def test_caller_checks_the_authority(cluster, tmp_path, monkeypatch):
    monkeypatch.setattr("turmericflow.client._caller.PROGRESS_TIMEOUT_S", 0.3)
    other_authority = Authority.create(tmp_path, "other")
    assert generate(cluster, "entry-1", other_authority.ca, "k9") == 3


@pytest.mark.integration
def test_routers_refuse_peers_without_their_authority(cluster, tmp_path):
    other_authority = Authority.create(tmp_path, "other").issue("x", IPS, 5)
    assert peer_refuses(cluster, None)
    assert peer_refuses(cluster, client_context())
    assert peer_refuses(cluster, client_context(other_authority))


@pytest.mark.integration
def test_changed_certificate_is_used_without_restart(cluster, authority, capfd):
    assert served_serial(cluster, authority) == SERIAL
    files = cluster.plan.settings["tls"]
    valid_key = Path(files["key"]).read_bytes()
    Path(files["key"]).write_bytes(b"not a key")
    time.sleep(0.2)
    assert served_serial(cluster, authority) == SERIAL
    Path(files["key"]).write_bytes(valid_key)
    authority.issue("entry", IPS, NEW_SERIAL)
    deadline = time.monotonic() + RELOAD_TIMEOUT_S
    while served_serial(cluster, authority) != NEW_SERIAL:
        assert time.monotonic() < deadline, "the certificate was not reloaded in time"
        time.sleep(0.05)
    assert generate(cluster, "entry-2", authority.ca, "k-after") == 0
    errors = capfd.readouterr().err
    assert "Traceback" not in errors
