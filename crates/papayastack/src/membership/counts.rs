//! Counters of the membership protocol.

use papayastack_macros::value;

/// The counters of one VM since its start.
#[value]
#[derive(Default)]
pub struct MembershipCounts {
    /// Suspicions that this VM raised because a peer did not answer its probes.
    pub suspicions: u64,
    /// Peers that this VM itself declared dead.
    pub deaths: u64,
    /// Suspected or dead peers that refuted the claim by a newer record.
    pub refutations: u64,
    /// Times that this VM published a newer record to refute a claim or record about itself.
    pub own_refutations: u64,
    /// Times that this VM was stalled, for example because it was paused.
    pub stalls: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent, without the headers of UDP and IP.
    pub sent_bytes: u64,
    /// Datagrams received, dropped ones included.
    pub received: u64,
    /// Bytes received, without the headers of UDP and IP.
    pub received_bytes: u64,
    /// Notices dropped because the byte budget was spent or the receive queue was full.
    pub notices_dropped: u64,
    /// Received datagrams dropped because they were too long, malformed, not authentic, replayed or
    /// from a process that has been replaced.
    pub dropped: u64,
}
