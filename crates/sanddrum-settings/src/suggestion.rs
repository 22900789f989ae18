//! Suggests corrections of misspelled words.

/// Words with a Jaro-Winkler similarity above this may be misspellings of each other.
const MIN_SIMILARITY: f64 = 0.8;

/// The remedy for an unknown word: the most similar known word, or all known words if none is similar.
pub(crate) fn suggest<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> String {
    let known: Vec<&str> = known.collect();
    let most_similar = known
        .iter()
        .map(|candidate| (strsim::jaro_winkler(word, candidate), *candidate))
        .max_by(|a, b| a.0.total_cmp(&b.0));
    match most_similar {
        Some((similarity, candidate)) if similarity > MIN_SIMILARITY => {
            format!("did you mean {candidate}?")
        }
        _ => format!("expected one of: {}", known.join(", ")),
    }
}
