//! The memory of links, both ends in this process.

use std::sync::Arc;
use std::time::Duration;

use papayastack::{Keyring, LinkHub, LinkRequest, VmIdentity};
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::{TARGET_VMS, fit, machine};

/// The numbers of links measured.
const SIZES: [usize; 4] = [100, 400, 1_000, 2_000];
/// The time that new links get to settle.
const SETTLE: Duration = Duration::from_millis(1_500);
/// Links dialled at once.
const BURST: usize = 50;

/// Measures bytes over links; each link has its two ends here, so an end takes half.
pub(crate) async fn measure() -> Result<Value, Box<dyn std::error::Error>> {
    let keyring = Arc::new(Keyring::new(&["the key of the measurement".to_owned()])?);
    let (dialler, _dialler_events) = open(&keyring).await?;
    let mut accepters = Vec::new();
    let mut points = Vec::new();
    let before = machine::resident_bytes();
    for size in SIZES {
        while accepters.len() < size {
            let (hub, events) = open(&keyring).await?;
            let request = LinkRequest::Cancel { query: 1, attempts: Vec::new() };
            dialler.0.send(hub.1, request);
            accepters.push((hub, events));
            if accepters.len() % BURST == 0 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        tokio::time::sleep(SETTLE).await;
        let (up, _) = dialler.0.link_counts();
        assert_eq!(up, size, "every link is up");
        points.push((size as f64, machine::resident_bytes() - before));
    }
    Ok(json!({
        "unit": "bytes for both ends, over links",
        "fit": fit::report(&points, TARGET_VMS),
    }))
}

type Hub = (LinkHub, std::net::SocketAddr);
type Events = tokio::sync::mpsc::UnboundedReceiver<papayastack::LinkEvent>;

async fn open(keyring: &Arc<Keyring>) -> Result<(Hub, Events), Box<dyn std::error::Error>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let own = VmIdentity { address, incarnation: 1 };
    let (hub, events) = LinkHub::bind(listener, own, Arc::clone(keyring));
    Ok(((hub, address), events))
}
