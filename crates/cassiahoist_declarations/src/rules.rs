//! Rules, their selectors, and the resolution of the rules for one queue or host.

use std::fmt;

use cassiahoist_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::Declarations;

/// Strategy that places the tasks of a step on hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Packing {
    /// Prefers the fullest hosts with enough free resources. Large free blocks remain for large tasks.
    Pack,
    /// Prefers the emptiest hosts, so that the loss of a host affects few tasks.
    Spread,
}

/// A set of rules; an absent rule is taken from a less specific set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Placement strategy; by default tasks that run until cancelled are spread and others packed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub packing: Option<Packing>,
    /// Whether the speed of hosts counts in the choice of a host; `true` by default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weigh_speed: Option<bool>,
    /// Maximum number of tasks of one step on one host, at least 1. Without it only the job's own maximum applies.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_tasks_per_host: Option<u32>,
    /// Maximum number of concurrently running tasks of a queue. Without it the number is unbounded.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_running_tasks: Option<u32>,
    /// Share of a host's resources available to tasks, in percent. It is 1 to 100, and 100 by default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub room_percent: Option<u8>,
    /// Whether a host gets no new tasks; `false` by default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cordoned: Option<bool>,
}

impl Rules {
    /// Returns the rules that are set, as pairs of name and value.
    #[must_use]
    pub fn entries(&self) -> Vec<(&'static str, String)> {
        let packing = self.packing.map(|packing| match packing {
            Packing::Pack => "pack".to_owned(),
            Packing::Spread => "spread".to_owned(),
        });
        [
            ("packing", packing),
            ("weigh_speed", self.weigh_speed.map(|weigh_speed| weigh_speed.to_string())),
            ("max_tasks_per_host", self.max_tasks_per_host.map(|maximum| maximum.to_string())),
            ("max_running_tasks", self.max_running_tasks.map(|maximum| maximum.to_string())),
            ("room_percent", self.room_percent.map(|percent| percent.to_string())),
            ("cordoned", self.cordoned.map(|cordoned| cordoned.to_string())),
        ]
        .into_iter()
        .filter_map(|(name, value)| Some((name, value?)))
        .collect()
    }
}

/// Selects the queues or hosts of an exception. All fields that are set must match.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Selector {
    /// Queue whose tasks are affected; excludes `host` and `failure_domain`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue: Option<QueueName>,
    /// Pool of the hosts, or the pool that runs the queue's tasks.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pool: Option<PoolName>,
    /// Name of a single host.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<HostName>,
    /// Failure domain (zone) of the hosts.
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
        let selected: Vec<String> =
            parts.into_iter().filter_map(|(name, value)| Some(format!("{name} {}", value?))).collect();
        f.write_str(if selected.is_empty() { "nothing" } else { "" })?;
        f.write_str(&selected.join(", "))
    }
}

/// Resolved rules of a queue whose tasks run on one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueRules {
    /// Placement strategy; `None` leaves the choice to placement.
    pub packing: Option<Packing>,
    /// Whether the speed of hosts counts; `None` leaves the choice to placement.
    pub weigh_speed: Option<bool>,
    /// Maximum number of tasks of one step on one host. `None` leaves only the job's own maximum.
    pub max_tasks_per_host: Option<u32>,
    /// Maximum number of concurrently running tasks of the queue; `None` if unbounded.
    pub max_running_tasks: Option<u32>,
}

/// Resolved rules of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostRules {
    /// Share of the host's resources available to tasks, in percent.
    pub room_percent: u8,
    /// Whether the host gets no new tasks.
    pub cordoned: bool,
}

impl Default for HostRules {
    fn default() -> Self {
        Self { room_percent: 100, cordoned: false }
    }
}

impl Declarations {
    /// Returns the defaults and the rules of matching exceptions, the most specific ones last.
    fn layers(&self, matches: impl Fn(&Selector) -> bool) -> Vec<&Rules> {
        let mut layers: Vec<(u32, &Rules)> = self
            .exceptions
            .iter()
            .filter(|exception| matches(&exception.select))
            .map(|exception| (exception.select.precedence(), &exception.set))
            .collect();
        layers.sort_by_key(|(precedence, _)| *precedence);
        std::iter::once(&self.defaults).chain(layers.into_iter().map(|(_, rules)| rules)).collect()
    }

    /// Resolves the rules of a queue whose tasks run on a pool.
    #[must_use]
    pub fn queue_rules(&self, queue: &QueueName, pool: &PoolName) -> QueueRules {
        let layers = self.layers(|select| {
            select.host.is_none()
                && select.failure_domain.is_none()
                && select.queue.as_ref().is_none_or(|named| named == queue)
                && select.pool.as_ref().is_none_or(|named| named == pool)
        });
        layers.into_iter().fold(QueueRules::default(), |resolved, layer| QueueRules {
            packing: layer.packing.or(resolved.packing),
            weigh_speed: layer.weigh_speed.or(resolved.weigh_speed),
            max_tasks_per_host: layer.max_tasks_per_host.or(resolved.max_tasks_per_host),
            max_running_tasks: layer.max_running_tasks.or(resolved.max_running_tasks),
        })
    }

    /// Resolves the rules of a host from its name, pool and failure domain.
    #[must_use]
    pub fn host_rules(&self, host: &HostName, pool: &PoolName, domain: &FailureDomain) -> HostRules {
        let layers = self.layers(|select| {
            select.queue.is_none()
                && select.host.as_ref().is_none_or(|named| named == host)
                && select.pool.as_ref().is_none_or(|named| named == pool)
                && select.failure_domain.as_ref().is_none_or(|named| named == domain)
        });
        layers.into_iter().fold(HostRules::default(), |resolved, layer| HostRules {
            room_percent: layer.room_percent.unwrap_or(resolved.room_percent),
            cordoned: layer.cordoned.unwrap_or(resolved.cordoned),
        })
    }
}

impl Selector {
    /// Returns the precedence of an exception; of two that match, the greater one wins.
    ///
    /// A host or a queue outranks a failure domain, and a failure domain outranks a pool.
    fn precedence(&self) -> u32 {
        let parts =
            [self.pool.is_some(), self.failure_domain.is_some(), self.host.is_some() || self.queue.is_some()];
        parts.iter().enumerate().map(|(bit, set)| u32::from(*set) << bit).sum()
    }

    /// Returns whether no field is set.
    pub(crate) fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
