//! Store keys of the records that daemons write.

use cassiahoist_core::prelude::*;
use cassiahoist_world::store::{KeySpace, StoreKey};

/// Prefix of claims, terms, members and the declarations.
const CELL: &str = "hoist/cell/";

/// Key of the operators' declarations. It is in the cell's range, since every daemon watches that.
const DECLARED: &str = "hoist/cell/declared";

/// Prefix of accepted jobs and cancellations.
const JOBS: &str = "hoist/jobs/";

/// Prefix of progress records.
const PROGRESS: &str = "hoist/progress/";

/// Prefix of summaries of learned run times.
const RUN_TIMES: &str = "hoist/run-times/";

/// Encodes the key of a record that daemons write. `None` for keys of other writers.
#[must_use]
pub fn encode_key(key: &StoreKey) -> Option<String> {
    Some(match key {
        StoreKey::Claim(slice) => format!("{CELL}claim/{}", slice.0),
        StoreKey::Term(slice) => format!("{CELL}term/{}", slice.0),
        StoreKey::Declared => DECLARED.into(),
        StoreKey::Member(member) => format!("{CELL}member/{member}"),
        StoreKey::HostRoster(slice) => format!("hoist/hosts/{}", slice.0),
        StoreKey::RunTimes(slice) => format!("{RUN_TIMES}{}", slice.0),
        StoreKey::Job(job) => format!("{JOBS}job/{job}"),
        StoreKey::Cancel(job) => format!("{JOBS}cancel/{job}"),
        StoreKey::Progress(job) => format!("{PROGRESS}{job}"),
        StoreKey::Config | StoreKey::Host(_) | StoreKey::Foreign(_) => return None,
    })
}

/// Decodes the key of a record that daemons write. `None` for other keys.
#[must_use]
pub fn decode_key(text: &str) -> Option<StoreKey> {
    if text == DECLARED {
        return Some(StoreKey::Declared);
    }
    let slice = |text: &str| text.parse().ok().map(SliceId);
    if let Some(rest) = text.strip_prefix(CELL) {
        return match rest.split_once('/')? {
            ("claim", number) => slice(number).map(StoreKey::Claim),
            ("term", number) => slice(number).map(StoreKey::Term),
            ("member", name) => name.parse().ok().map(StoreKey::Member),
            _ => None,
        };
    }
    if let Some(rest) = text.strip_prefix(JOBS) {
        return match rest.split_once('/')? {
            ("job", id) => id.parse().ok().map(StoreKey::Job),
            ("cancel", id) => id.parse().ok().map(StoreKey::Cancel),
            _ => None,
        };
    }
    if let Some(id) = text.strip_prefix(PROGRESS) {
        return id.parse().ok().map(StoreKey::Progress);
    }
    if let Some(number) = text.strip_prefix(RUN_TIMES) {
        return slice(number).map(StoreKey::RunTimes);
    }
    slice(text.strip_prefix("hoist/hosts/")?).map(StoreKey::HostRoster)
}

/// Returns the common prefix of a range that daemons write. `None` for ranges of other writers.
#[must_use]
pub fn key_prefix(space: KeySpace) -> Option<&'static str> {
    match space {
        KeySpace::Cell => Some(CELL),
        KeySpace::Jobs => Some(JOBS),
        KeySpace::Progress => Some(PROGRESS),
        KeySpace::Operators | KeySpace::Hosts => None,
    }
}
