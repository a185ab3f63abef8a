//! Tests of the merging of records.

use proptest::prelude::*;

use crate::forward::records::merge_records;

/// Merges the simplest way: sorts all complete records by their bytes and keeps the greatest ones.
fn expected_merge(parts: &[Vec<u8>], records_max: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts.iter().flat_map(|part| part.chunks_exact(16)).collect();
    records.sort_by(|one, other| other.cmp(one));
    records.truncate(records_max);
    records.concat()
}

proptest! {
    #[test]
    fn merging_equals_sorting_all_records(
        parts in prop::collection::vec(prop::collection::vec(0..4_u8, 0..200), 0..6),
        records_max in 0..40_usize,
    ) {
        let merged = merge_records(parts.iter().map(Vec::as_slice), records_max);

        prop_assert_eq!(merged, expected_merge(&parts, records_max));
    }
}

#[test]
fn equal_records_are_all_kept() {
    let part = [[9; 16], [9; 16]].concat();

    let merged = merge_records([part.as_slice(), part.as_slice()], 3);

    assert_eq!(merged, [9; 48]);
}
