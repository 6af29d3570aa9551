//! Table rows with an index by identity.

use std::fmt;
use std::hash::Hash;

use rustc_hash::FxHashMap;
use slotmap::SlotMap;

/// A table row that has an identity beside its key.
pub trait Row {
    /// Identity by which a row is found.
    type Id: Clone + Eq + Hash + fmt::Debug;

    /// Returns the identity, which must not change while the row is in a table.
    fn id(&self) -> &Self::Id;
}

/// Rows by key, and an index from identity to key.
#[derive(Debug)]
pub struct IndexedRows<K: slotmap::Key, R: Row> {
    rows: SlotMap<K, R>,
    by_id: FxHashMap<R::Id, K>,
}

impl<K: slotmap::Key, R: Row> Default for IndexedRows<K, R> {
    fn default() -> Self {
        Self { rows: SlotMap::with_key(), by_id: FxHashMap::default() }
    }
}

impl<K: slotmap::Key, R: Row> IndexedRows<K, R> {
    /// Adds a row. [`Self::find`] then returns it instead of an earlier row of the same identity.
    pub fn insert(&mut self, row: R) -> K {
        let id = row.id().clone();
        let key = self.rows.insert(row);
        self.by_id.insert(id, key);
        key
    }

    /// Removes a row and its index entry, if the entry is the row's own.
    pub fn remove(&mut self, key: K) -> Option<R> {
        let row = self.rows.remove(key)?;
        if self.by_id.get(row.id()) == Some(&key) {
            self.by_id.remove(row.id());
        }
        Some(row)
    }

    /// Removes all rows; their keys stay invalid.
    pub fn clear(&mut self) {
        self.rows.clear();
        self.by_id.clear();
    }

    /// Finds the key of the latest row with an identity.
    #[must_use]
    pub fn find(&self, id: &R::Id) -> Option<K> {
        self.by_id.get(id).copied()
    }

    /// Returns a row; `None` once it is removed.
    #[must_use]
    pub fn get(&self, key: K) -> Option<&R> {
        self.rows.get(key)
    }

    /// Returns a row for changes; its identity must stay the same.
    pub fn get_mut(&mut self, key: K) -> Option<&mut R> {
        self.rows.get_mut(key)
    }

    /// Iterates over all rows, in no defined order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &R)> {
        self.rows.iter()
    }

    /// Iterates over all rows for changes; their identities must stay the same.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut R)> {
        self.rows.iter_mut()
    }

    /// Collects the keys of all rows.
    ///
    /// The copy lets a caller change rows while it goes through the keys.
    #[must_use]
    pub fn keys(&self) -> Vec<K> {
        self.rows.keys().collect()
    }

    /// Returns the number of rows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
