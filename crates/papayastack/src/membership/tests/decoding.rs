//! Message bodies that an authenticated but faulty member might send.

use std::time::{Duration, Instant};

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::cluster::{Cluster, address};
use crate::cbor::{decode, encode};
use crate::membership::VmIdentity;
use crate::membership::message::{
    Claim, Message, Purpose, Record, RegionUpdate, Update, VersionUpdate,
};

fn identity() -> impl Strategy<Value = VmIdentity> {
    (0_usize..8, 0_u64..4)
        .prop_map(|(vm, incarnation)| VmIdentity { address: address(vm), incarnation })
}

fn update() -> impl Strategy<Value = Update> {
    let record = (identity(), any::<u64>(), any::<bool>(), "[a-c]", any::<u64>()).prop_map(
        |(identity, sequence, leaving, data_centre, configuration_version)| {
            let caller_address = ([10, 0, 0, 1], 8_000).into();
            Update::Record(Record {
                identity,
                sequence,
                leaving,
                data_centre,
                caller_address,
                configuration_version,
            })
        },
    );
    let claim = (identity(), any::<u64>(), any::<bool>())
        .prop_map(|(identity, sequence, dead)| Update::Claim(Claim { identity, sequence, dead }));
    let version = (identity(), any::<u64>()).prop_map(|(identity, configuration_version)| {
        Update::Version(VersionUpdate { identity, configuration_version })
    });
    let region =
        ("[a-c]", any::<u64>(), any::<bool>()).prop_map(|(region, sequence, reachable)| {
            Update::Region(RegionUpdate { region, sequence, reachable })
        });
    prop_oneof![record, claim, version, region]
}

fn purpose() -> impl Strategy<Value = Purpose> {
    prop_oneof![
        any::<u32>().prop_map(Purpose::Probe),
        (any::<u32>(), 0_usize..10)
            .prop_map(|(number, vm)| Purpose::IndirectProbe(number, address(vm))),
        any::<u32>().prop_map(Purpose::Acknowledge),
        Just(Purpose::RequestRecord),
        Just(Purpose::Gossip),
        prop::collection::vec(any::<u8>(), 0..300).prop_map(|body| Purpose::Notice(body.into())),
        (prop::collection::vec(any::<u32>(), 0..200), any::<bool>())
            .prop_map(|(digests, mutual)| Purpose::CompareDigests { digests, mutual }),
    ]
}

fn message() -> impl Strategy<Value = Message> {
    (purpose(), prop::collection::vec(update(), 0..6))
        .prop_map(|(purpose, updates)| Message(purpose, updates))
}

fn fixed_seed() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Default::default() }
}

#[test]
fn notices_are_dropped_when_the_byte_budget_is_spent() {
    let mut cluster = Cluster::joined(8, 1);
    let now = cluster.now;
    let body = Bytes::from(vec![0; 900]);

    let protocol = cluster.protocol(0);
    protocol.take_outgoing();
    for _ in 0..100 {
        protocol.broadcast(&body, now);
    }

    let sent_bytes: usize = protocol.take_outgoing().iter().map(|sent| sent.body.len()).sum();
    assert!((50_000..=64_000).contains(&sent_bytes), "{sent_bytes} bytes sent");
    assert!(protocol.counts().notices_dropped > 80);
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn messages_round_trip_through_encoding(message in message()) {
        prop_assert_eq!(decode(&encode(&message)), Some(message));
    }

    #[test]
    fn arbitrary_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..1_400)) {
        let mut cluster = Cluster::joined(2, 1);
        let before = cluster.view(0);
        let sender = VmIdentity { address: address(1), incarnation: 1 };
        let now = cluster.now;

        let result = cluster.protocol(0).on_datagram(&sender, None, &bytes, now);

        prop_assert!(result.is_err());
        prop_assert_eq!(cluster.view(0), before);
    }

    #[test]
    fn answers_to_any_message_are_bounded_in_number_and_size(
        sent in prop::collection::vec((identity(), message()), 1..20),
    ) {
        let mut cluster = Cluster::joined(2, 1);
        let mut now = Instant::now();
        let protocol = cluster.protocol(0);
        for (sender, message) in sent {
            protocol.on_datagram(&sender, None, &encode(&message), now).unwrap();
            let answers = protocol.take_outgoing();

            prop_assert!(answers.len() <= 10, "{} answers to one datagram", answers.len());
            prop_assert!(answers.iter().all(|answer| answer.body.len() <= 1_300));
            now += Duration::from_millis(1);
        }
    }
}
