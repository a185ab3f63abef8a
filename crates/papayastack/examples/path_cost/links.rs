//! The memory that links use, with both ends of each link in this process.

use std::sync::Arc;
use std::time::Duration;

use papayastack::{Keyring, LinkHub, LinkRequest, VmIdentity};
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::{TARGET_VMS, fit, machine};

/// The measured numbers of links.
const SIZES: [usize; 4] = [100, 400, 1_000, 2_000];
/// The wait for new links to connect before memory is read.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// The number of links dialled before a short pause.
const DIAL_BATCH: usize = 50;

/// Measures how the resident memory, in bytes, grows with the number of links.
///
/// Both ends of a link are in this process, so one end takes half of the reported bytes.
pub(crate) async fn measure() -> Result<Value, Box<dyn std::error::Error>> {
    let keyring = Arc::new(Keyring::new(&["the key of the measurement".to_owned()])?);
    let (dialler, _dialler_events) = open_hub(&keyring).await?;
    let mut acceptors = Vec::new();
    let mut points = Vec::new();
    let bytes_before = machine::resident_bytes();
    for size in SIZES {
        while acceptors.len() < size {
            let (hub, events) = open_hub(&keyring).await?;
            let request = LinkRequest::Cancel { query: 1, attempts: Vec::new() };
            dialler.0.send(hub.1, request);
            acceptors.push((hub, events));
            if acceptors.len() % DIAL_BATCH == 0 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        tokio::time::sleep(SETTLE_TIME).await;
        let (links_up, _) = dialler.0.link_counts();
        assert_eq!(links_up, size, "not every link is up after the settle time");
        points.push((size as f64, machine::resident_bytes() - bytes_before));
    }
    Ok(json!({
        "unit": "bytes for both ends, over links",
        "fit": fit::report(&points, TARGET_VMS),
    }))
}

type HubAndAddress = (LinkHub, std::net::SocketAddr);
type EventReceiver = tokio::sync::mpsc::UnboundedReceiver<papayastack::LinkEvent>;

async fn open_hub(
    keyring: &Arc<Keyring>,
) -> Result<(HubAndAddress, EventReceiver), Box<dyn std::error::Error>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let own = VmIdentity { address, incarnation: 1 };
    let (hub, events) = LinkHub::bind(listener, own, Arc::clone(keyring));
    Ok(((hub, address), events))
}
