//! Teams and what they use.

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;
use serde::Serialize;

/// What one team uses of the hosts held here.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Team {
    /// Resources booked now.
    pub booked: Resources,
}

/// Teams by name.
#[derive(Debug, Default)]
pub struct TeamTable {
    /// Rows.
    pub rows: FxHashMap<TeamName, Team>,
}

impl TeamTable {
    /// Books resources for a team.
    pub fn book(&mut self, team: &TeamName, size: &Resources) {
        let row = self.rows.entry(team.clone()).or_default();
        row.booked = row.booked.plus(size);
    }

    /// Gives booked resources back.
    pub fn release(&mut self, team: &TeamName, size: &Resources) {
        if let Some(row) = self.rows.get_mut(team) {
            row.booked = row.booked.minus(size);
        }
    }
}
