//! Client accounts of the operators' configuration, and callers as their keys identify them.

use std::hash::{BuildHasher, RandomState};

use cassiahoist_core::credential::ApiKey;
use cassiahoist_core::prelude::*;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 4_096;

/// Maximum number of keys in one configuration.
pub const MAX_KEYS: usize = 50_000;

/// A client account, whose callers share keys, a share of the hosts and a cap.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name of the account.
    pub name: AccountName,
    /// Keys that identify its callers.
    pub keys: Vec<ApiKey>,
    /// Priority of the account; 0 is the most urgent.
    pub priority: u32,
    /// Share of the hosts while they are full, in proportion to the weights of the other accounts.
    pub weight: f64,
    /// Most that its runs may reserve on all hosts together; a resource of 0 is unlimited.
    pub cap: Resources,
}

/// Position of a key in a directory.
#[derive(Clone, Copy, Debug)]
struct KeyPosition {
    account: usize,
    key: usize,
}

/// All client accounts of one configuration.
///
/// Keys are found by a hash with random seeds of this directory and then compared in constant time, so that the time of
/// a lookup tells nothing about similar keys.
#[derive(Clone, Debug, Default)]
pub struct AccountDirectory {
    accounts: Vec<Account>,
    seeds: RandomState,
    keys_by_hash: FxHashMap<u64, Vec<KeyPosition>>,
}

impl PartialEq for AccountDirectory {
    fn eq(&self, other: &Self) -> bool {
        self.accounts == other.accounts
    }
}

impl AccountDirectory {
    /// Stores the accounts of a configuration.
    #[must_use]
    pub fn new(accounts: Vec<Account>) -> Self {
        let seeds = RandomState::new();
        let mut keys_by_hash: FxHashMap<u64, Vec<KeyPosition>> = FxHashMap::default();
        for (account, row) in accounts.iter().enumerate() {
            for (key, text) in row.keys.iter().enumerate() {
                keys_by_hash.entry(seeds.hash_one(text)).or_default().push(KeyPosition { account, key });
            }
        }
        Self { accounts, seeds, keys_by_hash }
    }

    /// Checks that each account and each key is there once, and that keys and weights are in range.
    ///
    /// # Errors
    /// Returns the reason, which never contains a key.
    pub fn validate(&self) -> Result<(), String> {
        let mut names = FxHashSet::default();
        let mut key_count = 0;
        for account in &self.accounts {
            let name = &account.name;
            if !names.insert(name) {
                return Err(format!("two accounts are named {name}"));
            }
            if !account.weight.is_finite() || account.weight < 0.0 {
                return Err(format!("the weight of account {name} is negative or no number"));
            }
            if account.keys.iter().any(ApiKey::is_empty) {
                return Err(format!("account {name} has an empty key"));
            }
            if account.keys.iter().any(|key| key.len() > MAX_KEY_BYTES) {
                return Err(format!("account {name} has a key of more than {MAX_KEY_BYTES} bytes"));
            }
            key_count += account.keys.len();
        }
        if key_count > MAX_KEYS {
            return Err(format!("{key_count} keys exceed the maximum of {MAX_KEYS}"));
        }
        match self.find_shared_key() {
            Some((first, second)) => Err(format!("accounts {first} and {second} have a key in common")),
            None => Ok(()),
        }
    }

    /// Finds two accounts with the same key.
    fn find_shared_key(&self) -> Option<(&AccountName, &AccountName)> {
        let mut shared_hashes = self.keys_by_hash.values().filter(|positions| positions.len() > 1);
        shared_hashes.find_map(|positions| {
            let (first, others) = positions.split_first()?;
            let second = others.iter().find(|other| {
                other.account != first.account && self.key_at(**other) == self.key_at(*first)
            })?;
            Some((&self.accounts[first.account].name, &self.accounts[second.account].name))
        })
    }

    fn key_at(&self, position: KeyPosition) -> &ApiKey {
        &self.accounts[position.account].keys[position.key]
    }

    /// Finds the account that a key identifies.
    #[must_use]
    pub fn resolve(&self, key: &ApiKey) -> Option<&Account> {
        let positions = self.keys_by_hash.get(&self.seeds.hash_one(key))?;
        let position = positions.iter().find(|position| *self.key_at(**position) == *key)?;
        Some(&self.accounts[position.account])
    }

    /// Finds an account by name.
    #[must_use]
    pub fn get(&self, name: &AccountName) -> Option<&Account> {
        self.accounts.iter().find(|account| account.name == *name)
    }

    /// Iterates over the accounts in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Account> {
        self.accounts.iter()
    }

    /// Returns whether no accounts are configured, so that calls need no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}

/// Whose jobs a call may read and cancel.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Caller {
    /// A caller of a deployment without accounts, who may read and cancel every job.
    #[default]
    Unrestricted,
    /// A caller of a public queue, who may read and cancel jobs that belong to no account.
    Anonymous,
    /// A caller with a key of this account, who may also read and cancel its jobs.
    Account(AccountName),
}

impl Caller {
    /// Returns the account to which the caller's jobs belong.
    #[must_use]
    pub fn account(&self) -> Option<&AccountName> {
        if let Self::Account(name) = self { Some(name) } else { None }
    }

    /// Returns whether the caller may read and cancel every job.
    #[must_use]
    pub fn is_unrestricted(&self) -> bool {
        *self == Self::Unrestricted
    }

    /// Returns whether the caller may read and cancel a job of this owner, `None` for a job of no account.
    #[must_use]
    pub fn may_access(&self, owner: Option<&AccountName>) -> bool {
        self.is_unrestricted() || owner.is_none() || owner == self.account()
    }
}
