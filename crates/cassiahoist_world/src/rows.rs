//! Rows with an index by identity, which the tables share.

use std::fmt;
use std::hash::Hash;

use rustc_hash::FxHashMap;
use slotmap::SlotMap;

/// A row that is found by its identity.
pub trait Row {
    /// What it is found by.
    type Id: Clone + Eq + Hash + fmt::Debug;

    /// Borrows the identity.
    fn id(&self) -> &Self::Id;
}

/// Rows by key, and their keys by identity.
#[derive(Debug)]
pub struct Rows<K: slotmap::Key, R: Row> {
    rows: SlotMap<K, R>,
    by_id: FxHashMap<R::Id, K>,
}

impl<K: slotmap::Key, R: Row> Default for Rows<K, R> {
    fn default() -> Self {
        Self { rows: SlotMap::with_key(), by_id: FxHashMap::default() }
    }
}

impl<K: slotmap::Key, R: Row> Rows<K, R> {
    /// Adds a row; it is found in place of an earlier one with its identity.
    pub fn insert(&mut self, row: R) -> K {
        let id = row.id().clone();
        let key = self.rows.insert(row);
        self.by_id.insert(id, key);
        key
    }

    /// Removes a row.
    pub fn remove(&mut self, key: K) -> Option<R> {
        let row = self.rows.remove(key)?;
        if self.by_id.get(row.id()) == Some(&key) {
            self.by_id.remove(row.id());
        }
        Some(row)
    }

    /// Removes every row.
    pub fn clear(&mut self) {
        self.rows.clear();
        self.by_id.clear();
    }

    /// Finds a row by identity.
    #[must_use]
    pub fn find(&self, id: &R::Id) -> Option<K> {
        self.by_id.get(id).copied()
    }

    /// Borrows a row.
    #[must_use]
    pub fn get(&self, key: K) -> Option<&R> {
        self.rows.get(key)
    }

    /// Borrows a row to change it; its identity stays.
    pub fn get_mut(&mut self, key: K) -> Option<&mut R> {
        self.rows.get_mut(key)
    }

    /// Goes through all rows.
    pub fn iter(&self) -> impl Iterator<Item = (K, &R)> {
        self.rows.iter()
    }

    /// Goes through all rows to change them; their identities stay.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut R)> {
        self.rows.iter_mut()
    }

    /// Lists the keys of all rows.
    #[must_use]
    pub fn keys(&self) -> Vec<K> {
        self.rows.keys().collect()
    }

    /// Counts rows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
