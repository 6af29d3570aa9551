//! Sets of a repeated job's occurrences.

use cassiahoist_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Set of occurrences, kept as ranges, so that a long series takes the room of its gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "Vec<(u32, u32)>", into = "Vec<(u32, u32)>")]
pub struct OccurrenceSet {
    /// First and last occurrence of each range, in rising order. Ranges neither overlap nor touch.
    ranges: Vec<(u32, u32)>,
}

impl From<OccurrenceSet> for Vec<(u32, u32)> {
    fn from(set: OccurrenceSet) -> Self {
        set.ranges
    }
}

impl TryFrom<Vec<(u32, u32)>> for OccurrenceSet {
    type Error = HoistError;

    fn try_from(ranges: Vec<(u32, u32)>) -> Result<Self, HoistError> {
        let is_rising = ranges.iter().all(|(first, last)| first <= last)
            && ranges.windows(2).all(|pair| u64::from(pair[0].1) + 1 < u64::from(pair[1].0));
        if is_rising {
            Ok(Self { ranges })
        } else {
            Err(HoistError::InvalidMessage("ranges of occurrences overlap or are out of order".into()))
        }
    }
}

impl OccurrenceSet {
    /// Adds an occurrence; returns whether it was absent.
    pub fn insert(&mut self, occurrence: u32) -> bool {
        let position = self.ranges.partition_point(|(_, last)| *last < occurrence);
        if self.ranges.get(position).is_some_and(|(first, _)| *first <= occurrence) {
            return false;
        }
        let extends_previous = position > 0 && self.ranges[position - 1].1.checked_add(1) == Some(occurrence);
        let extends_next =
            self.ranges.get(position).is_some_and(|(first, _)| occurrence.checked_add(1) == Some(*first));
        match (extends_previous, extends_next) {
            (true, true) => {
                self.ranges[position - 1].1 = self.ranges[position].1;
                self.ranges.remove(position);
            }
            (true, false) => self.ranges[position - 1].1 = occurrence,
            (false, true) => self.ranges[position].0 = occurrence,
            (false, false) => self.ranges.insert(position, (occurrence, occurrence)),
        }
        true
    }

    /// Returns whether an occurrence is in the set.
    #[must_use]
    pub fn contains(&self, occurrence: u32) -> bool {
        let position = self.ranges.partition_point(|(_, last)| *last < occurrence);
        self.ranges.get(position).is_some_and(|(first, _)| *first <= occurrence)
    }

    /// Returns the first occurrence that is not in the set, from a given one on; `None` beyond the greatest number.
    #[must_use]
    pub fn first_absent_from(&self, occurrence: u32) -> Option<u32> {
        let position = self.ranges.partition_point(|(_, last)| *last < occurrence);
        match self.ranges.get(position) {
            Some((first, last)) if *first <= occurrence => last.checked_add(1),
            _ => Some(occurrence),
        }
    }

    /// Returns the number of occurrences in the set.
    #[must_use]
    pub fn len(&self) -> u64 {
        self.ranges.iter().map(|(first, last)| u64::from(last.saturating_sub(*first)) + 1).sum()
    }

    /// Returns whether the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }
}
