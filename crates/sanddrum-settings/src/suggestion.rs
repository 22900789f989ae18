//! Suggests what a misspelt word was meant to be.

/// The least Jaro-Winkler similarity of two words of which one may be a misspelling of the other.
const MIN_SIMILARITY: f64 = 0.8;

/// The remedy for an unknown word: the most similar known one, or else all known ones.
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
        _ => format!("known here: {}", known.join(", ")),
    }
}
