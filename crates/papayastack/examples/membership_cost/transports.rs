//! The sizes of a probe and its acknowledgement, sent as datagrams and over a link.

use std::sync::Arc;
use std::time::Instant;

use papayastack::{
    ClientHandshake, DatagramSealer, Keyring, MEMBERSHIP_TICK, MembershipProtocol, ServerHandshake,
    VmIdentity,
};
use serde_json::{Value, json};

const IP_HEADER_BYTES: usize = 20;
const UDP_HEADER_BYTES: usize = 8;
const TCP_HEADER_BYTES: usize = 32;
/// The size of the header of a short WebSocket frame from a client; the header from a server lacks
/// the mask of 4 bytes.
const WEBSOCKET_HEADER_BYTES: usize = 6;
/// The number of packets that open a TCP connection.
const TCP_OPEN_PACKETS: usize = 3;
/// The number of packets that close a TCP connection.
const TCP_CLOSE_PACKETS: usize = 4;

/// Compares the bytes that one probe and its acknowledgement take over each transport.
pub(crate) fn measure() -> Value {
    let keyring = Arc::new(Keyring::new(&["k".repeat(32)]).expect("the key is long enough"));
    let (probe, acknowledgement) = probe_bodies();
    let one = crate::virtual_time::identity_of(0);
    let other = crate::virtual_time::identity_of(1);
    let mut datagrams = DatagramSealer::new(Arc::clone(&keyring), one.clone());
    let sealed_len = |body: &[u8], sealer: &mut DatagramSealer| {
        let datagram = sealer.seal(other.address, Some(other.incarnation), body);
        datagram.expect("probes are short").len()
    };
    let probe_datagram = sealed_len(&probe, &mut datagrams);
    let acknowledgement_datagram = sealed_len(&acknowledgement, &mut datagrams);
    let (handshake_bytes, probe_frame, acknowledgement_frame) =
        sealed_over_link(&keyring, &one, &other, &probe, &acknowledgement);
    let packet_header_bytes = IP_HEADER_BYTES + TCP_HEADER_BYTES;
    let frame_bytes = probe_frame + acknowledgement_frame + 2 * WEBSOCKET_HEADER_BYTES;
    let open_link_bytes = frame_bytes + 3 * packet_header_bytes;
    // Three handshake messages, each in a packet and a frame of its own.
    let handshake_packets_bytes =
        handshake_bytes + 3 * (packet_header_bytes + WEBSOCKET_HEADER_BYTES);
    let dialled_link_bytes = open_link_bytes
        + handshake_packets_bytes
        + (TCP_OPEN_PACKETS + TCP_CLOSE_PACKETS) * packet_header_bytes;
    json!({
        "probe_body_bytes": probe.len(),
        "acknowledgement_body_bytes": acknowledgement.len(),
        "probe_datagram_bytes": probe_datagram,
        "acknowledgement_datagram_bytes": acknowledgement_datagram,
        "handshake_bytes": handshake_bytes,
        "probe_frame_bytes": probe_frame,
        "acknowledgement_frame_bytes": acknowledgement_frame,
        "headers_assumed_bytes": {
            "ip": IP_HEADER_BYTES,
            "udp": UDP_HEADER_BYTES,
            "tcp_with_timestamps": TCP_HEADER_BYTES,
            "websocket": WEBSOCKET_HEADER_BYTES,
        },
        "exchange_with_headers_bytes": {
            "datagrams": probe_datagram
                + acknowledgement_datagram
                + 2 * (IP_HEADER_BYTES + UDP_HEADER_BYTES),
            "link_kept_open": open_link_bytes,
            "link_dialled_for_it_without_http_upgrade": dialled_link_bytes,
        },
    })
}

/// Returns the bodies of a probe and its acknowledgement after both VMs have settled.
fn probe_bodies() -> (Vec<u8>, Vec<u8>) {
    let mut now = Instant::now();
    let (mut one, mut other) = crate::virtual_time::protocol_pair(now);
    let mut exchange = (Vec::new(), Vec::new());
    for _ in 0..3_000 {
        now += MEMBERSHIP_TICK;
        let probes = deliver_outgoing(&mut one, 0, &mut other, now);
        let answers = deliver_outgoing(&mut other, 1, &mut one, now);
        if let (Some(probe), Some(answer)) = (probes.first(), answers.first()) {
            exchange = (probe.clone(), answer.clone());
        }
    }
    exchange
}

/// Ticks `from`, delivers its outgoing bodies to `to` and returns them.
fn deliver_outgoing(
    from: &mut MembershipProtocol,
    sender: usize,
    to: &mut MembershipProtocol,
    now: Instant,
) -> Vec<Vec<u8>> {
    from.on_tick(now);
    let bodies: Vec<Vec<u8>> = from.take_outgoing().into_iter().map(|it| it.body).collect();
    for body in &bodies {
        to.on_datagram(&crate::virtual_time::identity_of(sender), None, body, now)
            .expect("protocol messages decode");
    }
    bodies
}

/// Returns the sizes of the handshake, the sealed probe and the sealed acknowledgement in bytes.
fn sealed_over_link(
    keyring: &Keyring,
    one: &VmIdentity,
    other: &VmIdentity,
    probe: &[u8],
    acknowledgement: &[u8],
) -> (usize, usize, usize) {
    let (client, hello) = ClientHandshake::start(keyring, one.clone(), other.address, [1; 32]);
    let (server, challenge) =
        ServerHandshake::on_hello(keyring, other.clone(), &hello, [2; 32]).expect("same keys");
    let (proof, mut client) = client.on_challenge(&challenge).expect("same keys");
    let mut server = server.on_proof(&proof).expect("same keys");
    let handshake = hello.len() + challenge.len() + proof.len();
    let probe = client.sealer.seal(probe.to_vec()).len();
    (handshake, probe, server.sealer.seal(acknowledgement.to_vec()).len())
}
