//! The merging of opaque parts: fixed-size records, the greatest first.

/// The size of one record in bytes; a shorter rest of a part is no record.
const RECORD_BYTES: usize = 16;

/// Returns the greatest `records_max` records of all parts, greatest first, byte by byte.
pub(crate) fn merge_records<'a>(
    parts: impl IntoIterator<Item = &'a [u8]>,
    records_max: usize,
) -> Vec<u8> {
    let mut records: Vec<u128> = Vec::new();
    for part in parts {
        // Big-endian numbers compare as their bytes do.
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
