//! How keys map to ledger objects: fixed periods called eras, each with an immutable layout.
//!
//! Every VM must map a key to the same object, whichever settings it has received. The layout of an
//! era is therefore stored as an object: the first VM that needs it creates it from its settings,
//! it never changes, and new settings apply from the next era that has no layout yet.

use papayastack_macros::message;
use twox_hash::XxHash3_64;

use super::key::SubmissionKey;
use crate::platform::{Object, ObjectName, PlatformError};
use crate::settings::SubmissionSettings;

/// The number of a period of [`ERA_MS`], counted from the unix epoch.
pub(crate) type Era = u64;

/// The period of issue times that share one layout, in milliseconds.
///
/// Object names are derived from it, so it must never change.
pub(crate) const ERA_MS: u64 = 3_600_000;
/// The maximum number of buckets in an era.
const BUCKETS_MAX: u32 = 65_536;
/// The minimum period of issue times in one ledger object, in milliseconds.
const SLOT_MIN_MS: u64 = 100;

/// The kind of the objects that hold layouts.
pub(crate) const LAYOUT_KIND: &str = "ledger-era";
const LEDGER_KIND: &str = "ledger";
const FLOOR_KIND: &str = "ledger-floor";
const FLOOR_NAME: &str = "floor";

/// Returns the era of an issue time.
pub(crate) fn era_of(unix_ms: u64) -> Era {
    unix_ms / ERA_MS
}

/// Returns the name of the object that holds an era's layout.
pub(crate) fn layout_name(era: Era) -> ObjectName {
    ObjectName::new(LAYOUT_KIND, era.to_string())
}

/// Returns the era whose layout `name` holds; `None` if `name` is not the name of a layout.
pub(crate) fn layout_era(name: &ObjectName) -> Option<Era> {
    name.name.parse().ok().filter(|_| name.kind == LAYOUT_KIND)
}

/// Returns the name of the object that holds the [`LedgerFloor`].
pub(crate) fn floor_name() -> ObjectName {
    ObjectName::new(FLOOR_KIND, FLOOR_NAME)
}

/// How the keys of one era are distributed over ledger objects.
#[message]
pub(crate) struct EraLayout {
    /// The number of buckets that keys are hashed into.
    pub(crate) buckets: u32,
    /// The period of issue times in one object, in milliseconds.
    pub(crate) slot_ms: u64,
}

impl EraLayout {
    /// Returns the layout that `settings` give to an era without a stored layout.
    pub(crate) fn proposed(settings: &SubmissionSettings) -> Self {
        Self {
            buckets: settings.buckets.clamp(1, BUCKETS_MAX),
            slot_ms: settings.slot_ms.clamp(SLOT_MIN_MS, ERA_MS),
        }
    }

    /// Decodes a layout; `None` if the object's value is malformed or out of bounds.
    pub(crate) fn read(object: &Object) -> Option<Self> {
        let layout: Self = serde_json::from_value(object.value.clone()).ok()?;
        let usable = (1..=BUCKETS_MAX).contains(&layout.buckets)
            && (SLOT_MIN_MS..=ERA_MS).contains(&layout.slot_ms);
        usable.then_some(layout)
    }

    /// Returns the bucket that `key` is hashed into.
    pub(crate) fn bucket_of(&self, key: &SubmissionKey) -> u32 {
        let bucket = XxHash3_64::oneshot(key.text().as_bytes()) % u64::from(self.buckets);
        u32::try_from(bucket).expect("the bucket is below a 32-bit count")
    }

    /// Returns the name of the ledger object of `key`, whose era must be this layout's.
    pub(crate) fn object_of(&self, key: &SubmissionKey) -> ObjectName {
        let slot = key.issued_unix_ms() % ERA_MS / self.slot_ms;
        object_name(era_of(key.issued_unix_ms()), slot, self.bucket_of(key))
    }

    /// Returns the names of all ledger objects that can exist in `era`.
    pub(crate) fn objects(&self, era: Era) -> impl Iterator<Item = ObjectName> {
        let buckets = self.buckets;
        let slots = ERA_MS.div_ceil(self.slot_ms);
        (0..slots)
            .flat_map(move |slot| (0..buckets).map(move |bucket| object_name(era, slot, bucket)))
    }
}

/// How far the ledger is pruned; the floor never falls, and is raised before objects are deleted.
#[message]
#[derive(Default)]
pub(crate) struct LedgerFloor {
    /// The first era whose keys may still run; keys of earlier eras are refused.
    pub(crate) first_open: Era,
}

impl LedgerFloor {
    /// Decodes the result of reading [`floor_name`]; a missing object means nothing was ever
    /// pruned.
    pub(crate) fn from_read(read: Result<Object, PlatformError>) -> Result<Self, PlatformError> {
        match read {
            Ok(object) => {
                serde_json::from_value(object.value).map_err(|error| PlatformError::Rejected {
                    detail: format!("the ledger floor object is malformed: {error}"),
                })
            }
            Err(PlatformError::NotFound) => Ok(Self::default()),
            Err(error) => Err(error),
        }
    }
}

fn object_name(era: Era, slot: u64, bucket: u32) -> ObjectName {
    ObjectName::new(LEDGER_KIND, format!("{era}.{slot}.{bucket}"))
}
