//! Rules and for whom they hold.

use std::fmt;

use cassiahoist_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::Declarations;

/// How tasks of a step are laid out over hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Packing {
    /// On the fullest hosts that have room, so that room for large tasks stays whole.
    Pack,
    /// On the emptiest hosts, so that a loss takes few tasks.
    Spread,
}

/// Rules; what is left out is ruled by something more general.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How tasks are laid out; without it lasting tasks are spread and others packed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub packing: Option<Packing>,
    /// Most tasks of one step on one host.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_tasks_per_host: Option<u32>,
    /// Most tasks of a queue that run at a time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_running_tasks: Option<u32>,
    /// Share of a host's resources that tasks may take, in percent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub room_percent: Option<u8>,
    /// Whether a host gets no new work.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cordoned: Option<bool>,
}

impl Rules {
    /// Lists what is set, as name and value.
    #[must_use]
    pub fn entries(&self) -> Vec<(&'static str, String)> {
        let packing = self.packing.map(|packing| match packing {
            Packing::Pack => "pack".to_owned(),
            Packing::Spread => "spread".to_owned(),
        });
        [
            ("packing", packing),
            ("max_tasks_per_host", self.max_tasks_per_host.map(|limit| limit.to_string())),
            ("max_running_tasks", self.max_running_tasks.map(|limit| limit.to_string())),
            ("room_percent", self.room_percent.map(|percent| percent.to_string())),
            ("cordoned", self.cordoned.map(|cordoned| cordoned.to_string())),
        ]
        .into_iter()
        .filter_map(|(name, value)| Some((name, value?)))
        .collect()
    }
}

/// What an exception is for; every field that is set has to match.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Selector {
    /// A queue.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue: Option<QueueName>,
    /// A pool of hosts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pool: Option<PoolName>,
    /// A host.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<HostName>,
    /// A failure domain.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub failure_domain: Option<FailureDomain>,
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts = [
            ("queue", self.queue.as_ref().map(ToString::to_string)),
            ("pool", self.pool.as_ref().map(ToString::to_string)),
            ("host", self.host.as_ref().map(ToString::to_string)),
            ("failure_domain", self.failure_domain.as_ref().map(ToString::to_string)),
        ];
        let named: Vec<String> =
            parts.into_iter().filter_map(|(name, value)| Some(format!("{name} {}", value?))).collect();
        f.write_str(if named.is_empty() { "nothing" } else { "" })?;
        f.write_str(&named.join(", "))
    }
}

/// What is ruled for a queue on a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueRules {
    /// How tasks are laid out, if that is declared.
    pub packing: Option<Packing>,
    /// Most tasks of one step on one host.
    pub max_tasks_per_host: Option<u32>,
    /// Most tasks of the queue that run at a time.
    pub max_running_tasks: Option<u32>,
}

/// What is ruled for a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostRules {
    /// Share of its resources that tasks may take, in percent.
    pub room_percent: u8,
    /// Whether it gets no new work.
    pub cordoned: bool,
}

impl Default for HostRules {
    fn default() -> Self {
        Self { room_percent: 100, cordoned: false }
    }
}

impl Declarations {
    /// Goes through the rules that hold where `matches` says so, the most special ones last.
    fn layers(&self, matches: impl Fn(&Selector) -> bool) -> Vec<&Rules> {
        let mut layers: Vec<(u32, &Rules)> = self
            .exceptions
            .iter()
            .filter(|exception| matches(&exception.select))
            .map(|exception| (exception.select.rank(), &exception.set))
            .collect();
        layers.sort_by_key(|(rank, _)| *rank);
        std::iter::once(&self.defaults).chain(layers.into_iter().map(|(_, rules)| rules)).collect()
    }

    /// Gives what is ruled for a queue whose work runs on a pool.
    #[must_use]
    pub fn queue_rules(&self, queue: &QueueName, pool: &PoolName) -> QueueRules {
        let layers = self.layers(|select| {
            select.host.is_none()
                && select.failure_domain.is_none()
                && select.queue.as_ref().is_none_or(|named| named == queue)
                && select.pool.as_ref().is_none_or(|named| named == pool)
        });
        layers.into_iter().fold(QueueRules::default(), |ruled, rules| QueueRules {
            packing: rules.packing.or(ruled.packing),
            max_tasks_per_host: rules.max_tasks_per_host.or(ruled.max_tasks_per_host),
            max_running_tasks: rules.max_running_tasks.or(ruled.max_running_tasks),
        })
    }

    /// Gives what is ruled for a host.
    #[must_use]
    pub fn host_rules(&self, host: &HostName, pool: &PoolName, domain: &FailureDomain) -> HostRules {
        let layers = self.layers(|select| {
            select.queue.is_none()
                && select.host.as_ref().is_none_or(|named| named == host)
                && select.pool.as_ref().is_none_or(|named| named == pool)
                && select.failure_domain.as_ref().is_none_or(|named| named == domain)
        });
        layers.into_iter().fold(HostRules::default(), |ruled, rules| HostRules {
            room_percent: rules.room_percent.unwrap_or(ruled.room_percent),
            cordoned: rules.cordoned.unwrap_or(ruled.cordoned),
        })
    }
}

impl Selector {
    /// Rank of an exception; of two that match, the one with the greater rank rules.
    fn rank(&self) -> u32 {
        let parts =
            [self.pool.is_some(), self.failure_domain.is_some(), self.host.is_some() || self.queue.is_some()];
        parts.iter().enumerate().map(|(bit, set)| u32::from(*set) << bit).sum()
    }

    /// Tells whether nothing is named.
    pub(crate) fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
