//! Suggestions for misspelt names.

/// Returns the candidate with the smallest edit distance to `name`; `None` if none is close.
pub fn nearest_name<'a>(
    name: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let edits_max = (name.chars().count() / 3).max(2);
    candidates
        .into_iter()
        .map(|candidate| (edit_distance(name, candidate), candidate))
        .filter(|(edits, _)| *edits <= edits_max)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Counts the insertions, deletions and substitutions that turn `from` into `to`.
fn edit_distance(from: &str, to: &str) -> usize {
    let to: Vec<char> = to.chars().collect();
    let mut previous: Vec<usize> = (0..=to.len()).collect();
    for (row, left) in from.chars().enumerate() {
        let mut current = vec![row + 1];
        for (column, right) in to.iter().enumerate() {
            let substituted = previous[column] + usize::from(left != *right);
            let shortest = substituted.min(previous[column + 1] + 1).min(current[column] + 1);
            current.push(shortest);
        }
        previous = current;
    }
    previous[to.len()]
}
