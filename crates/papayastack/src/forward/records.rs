//! Merging of the shards' parts, which are lists of opaque fixed-size records.

/// The size of one record in bytes; a shorter remainder at the end of a part is ignored.
const RECORD_BYTES: usize = 16;

/// Returns the `records_max` greatest records of all parts in descending order of their bytes.
pub(crate) fn merge_records<'a>(
    parts: impl IntoIterator<Item = &'a [u8]>,
    records_max: usize,
) -> Vec<u8> {
    let mut records: Vec<u128> = Vec::new();
    for part in parts {
        // Big-endian numbers have the same order as their bytes.
        let of_part = part.as_chunks::<RECORD_BYTES>().0.iter().copied().map(u128::from_be_bytes);
        records.extend(of_part);
    }
    if records.len() > records_max && records_max > 0 {
        records.select_nth_unstable_by(records_max - 1, |one, other| other.cmp(one));
    }
    records.truncate(records_max);
    records.sort_unstable_by(|one, other| other.cmp(one));
    records.into_iter().flat_map(u128::to_be_bytes).collect()
}
