//! Counters of the membership protocol.

use papayastack_macros::value;

/// What one VM counted since it started.
#[value]
#[derive(Default)]
pub struct MembershipCounts {
    /// Suspicions that this VM raised itself.
    pub suspicions: u64,
    /// Deaths that this VM declared itself.
    pub deaths: u64,
    /// Peers that were suspected or dead here and refuted.
    pub refutations: u64,
    /// Claims against this VM that it refuted.
    pub own_refutations: u64,
    /// Times that this VM stood still.
    pub stalls: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent, without the headers of UDP and IP.
    pub sent_bytes: u64,
    /// Datagrams received, dropped ones included.
    pub received: u64,
    /// Bytes received, without the headers of UDP and IP.
    pub received_bytes: u64,
    /// Notices that were not sent or not kept, for want of bytes or of room.
    pub notices_dropped: u64,
    /// Datagrams dropped because they are too long, malformed, not authentic or not new.
    pub dropped: u64,
}
