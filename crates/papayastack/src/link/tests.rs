//! Tests of frames and links.

use std::net::SocketAddr;
use std::sync::Arc;

use proptest::prelude::*;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;

use super::*;
use crate::membership::VmIdentity;
use crate::seal::Keyring;

fn cancel(query: u128) -> LinkRequest {
    LinkRequest::Cancel { query, attempts: vec![1, 2] }
}

#[test]
fn decoding_an_encoded_frame_returns_its_messages() {
    let messages = vec![cancel(1), cancel(u128::MAX)];

    let bytes = encode_frame(&messages).unwrap();

    assert_eq!(decode_frame::<LinkRequest>(&bytes).unwrap(), messages);
}

#[test]
fn an_oversized_frame_is_rejected_before_decoding() {
    let bytes = vec![0_u8; FRAME_MAX_BYTES + 1];

    let decoded = decode_frame::<LinkRequest>(&bytes);

    assert_eq!(decoded, Err(FrameError::TooLarge { size_bytes: FRAME_MAX_BYTES + 1 }));
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..512)
    ) {
        let _ = decode_frame::<LinkRequest>(&bytes);
        let _ = decode_frame::<LinkReply>(&bytes);
    }
}

#[tokio::test]
async fn a_request_reaches_the_peer_and_a_lost_peer_is_reported() {
    let (dialler, mut dialler_events, _) = open_hub(KEY).await;
    let (accepter, mut accepter_events, address) = open_hub(KEY).await;

    assert!(dialler.send(address, cancel(7)));
    let received = accepter_events.recv().await.unwrap();
    accepter.close();
    let ended = dialler_events.recv().await.unwrap();

    assert!(matches!(received, LinkEvent::Request { request, .. } if request == cancel(7)));
    assert!(matches!(ended, LinkEvent::Down { peer } if peer == address));
    assert!(dialler.is_down(&address, std::time::Instant::now()));
}

#[tokio::test]
async fn a_vm_without_the_key_is_not_admitted() {
    let (dialler, mut dialler_events, _) = open_hub("another key of the system").await;
    let (_accepter, mut accepter_events, address) = open_hub(KEY).await;

    dialler.send(address, cancel(7));
    let ended = dialler_events.recv().await.unwrap();

    assert!(matches!(ended, LinkEvent::Down { peer } if peer == address));
    assert!(accepter_events.try_recv().is_err());
}

const KEY: &str = "the key of the system";

type OpenHub = (LinkHub, UnboundedReceiver<LinkEvent>, SocketAddr);

async fn open_hub(key: &str) -> OpenHub {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let keyring = Arc::new(Keyring::new(&[key.to_owned()]).unwrap());
    let (hub, events) = LinkHub::bind(listener, VmIdentity { address, incarnation: 1 }, keyring);
    (hub, events, address)
}
