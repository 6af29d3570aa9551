//! Names of daemons, hosts, pools, queues, jobs, steps and tasks, and the fencing token.
//!
//! Each name has a text form that parses back to the same value and that serde uses; [`SliceId`] and
//! [`Fence`] are plain numbers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::error::HoistError;

/// Longest accepted name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

fn validate_name(name: &str) -> Result<(), HoistError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed) {
        return Err(HoistError::InvalidName(name.chars().take(MAX_NAME_BYTES).collect()));
    }
    Ok(())
}

macro_rules! impl_text_serde {
    ($name:ident) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                struct NameVisitor;
                impl de::Visitor<'_> for NameVisitor {
                    type Value = $name;

                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str(concat!("a ", stringify!($name)))
                    }

                    fn visit_str<E: de::Error>(self, text: &str) -> Result<$name, E> {
                        text.parse().map_err(E::custom)
                    }
                }
                deserializer.deserialize_str(NameVisitor)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{self}")
            }
        }
    };
}

macro_rules! define_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates and stores a name.
            ///
            /// # Errors
            /// Returns [`HoistError::InvalidName`] if the name is empty, is longer than [`MAX_NAME_BYTES`], or
            /// has characters other than ASCII letters, digits and `-_.:`.
            pub fn new(name: &str) -> Result<Self, HoistError> {
                validate_name(name)?;
                Ok(Self(name.into()))
            }

            /// Returns the text without copying it.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = HoistError;

            fn from_str(text: &str) -> Result<Self, HoistError> {
                Self::new(text)
            }
        }

        impl_text_serde!($name);
    };
}

define_name!(
    /// Identifies a zone whose hosts may fail together, such as `obihiro`.
    FailureDomain
);
define_name!(
    /// Identifies a daemon of the cell by the machine that it runs on.
    ///
    /// A cell is all daemons that share one store, with the hosts that are registered there. The name stays the
    /// same across restarts; an [`Incarnation`] tells them apart.
    MemberName
);
define_name!(
    /// Identifies a backend server. It is unique among the servers registered at one time.
    HostName
);
define_name!(
    /// Identifies a pool: backend servers that run the work of the same queues.
    PoolName
);
define_name!(
    /// Identifies a queue, to which callers submit jobs.
    QueueName
);
define_name!(
    /// Identifies a client account, to which jobs, keys and limits belong.
    AccountName
);

impl PoolName {
    /// Returns the placeholder pool of a host whose store entry no longer exists.
    ///
    /// Its real pool is unknown by then; the host counts as draining and gets no new work.
    #[must_use]
    pub fn unknown() -> Self {
        Self("unknown".into())
    }
}

/// Identifies a job. Its caller chooses the number, so that a repeated submission stays one job.
///
/// The text form is 16 lowercase hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// Number of hexadecimal digits of a [`JobId`].
const JOB_ID_DIGITS: usize = 16;

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = HoistError;

    fn from_str(text: &str) -> Result<Self, HoistError> {
        let is_lower_hex = |c: u8| c.is_ascii_digit() || (b'a'..=b'f').contains(&c);
        if text.len() != JOB_ID_DIGITS || !text.bytes().all(is_lower_hex) {
            return Err(HoistError::InvalidName(text.chars().take(MAX_NAME_BYTES).collect()));
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_error| HoistError::InvalidName(text.into()))
    }
}

impl_text_serde!(JobId);

/// Identifies one step of one occurrence of a job, written `JOB.OCCURRENCE.STEP`.
///
/// A step is a group of equal tasks within a job; it may depend on earlier steps.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepName {
    /// Job that the step belongs to.
    pub job: JobId,
    /// Occurrence of a repeated job, from 0. Always 0 for a job that runs once.
    pub occurrence: u32,
    /// Index of the step in the job's specification, from 0.
    pub index: u16,
}

impl fmt::Display for StepName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.index)
    }
}

impl FromStr for StepName {
    type Err = HoistError;

    fn from_str(text: &str) -> Result<Self, HoistError> {
        let invalid = || HoistError::InvalidName(text.chars().take(MAX_NAME_BYTES).collect());
        let mut parts = text.split('.');
        let mut next_part = || parts.next().ok_or_else(invalid);
        let job = next_part()?.parse()?;
        let occurrence = next_part()?.parse().map_err(|_error| invalid())?;
        let index = next_part()?.parse().map_err(|_error| invalid())?;
        if parts.next().is_some() {
            return Err(invalid());
        }
        Ok(Self { job, occurrence, index })
    }
}

impl_text_serde!(StepName);

/// Identifies one task of a step, written `JOB.OCCURRENCE.STEP.INDEX`.
///
/// A task is the unit of placement; each attempt to execute it on a host is a run.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// Step that the task belongs to.
    pub step: StepName,
    /// Index of the task within its step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskName {
    type Err = HoistError;

    fn from_str(text: &str) -> Result<Self, HoistError> {
        let invalid = || HoistError::InvalidName(text.chars().take(MAX_NAME_BYTES).collect());
        let (step, index) = text.rsplit_once('.').ok_or_else(invalid)?;
        Ok(Self { step: step.parse()?, index: index.parse().map_err(|_error| invalid())? })
    }
}

impl_text_serde!(TaskName);

/// Identifies one start of a daemon, written `MEMBER#STARTED_UNIX_MS`.
///
/// A restarted daemon keeps its name and gets a later start time.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// Name of the daemon.
    pub member: MemberName,
    /// Unix time at which the daemon started, in milliseconds.
    pub started_unix_ms: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.member, self.started_unix_ms)
    }
}

impl FromStr for Incarnation {
    type Err = HoistError;

    fn from_str(text: &str) -> Result<Self, HoistError> {
        let (member, started_unix_ms) =
            text.rsplit_once('#').ok_or_else(|| HoistError::InvalidName(text.into()))?;
        let started_unix_ms =
            started_unix_ms.parse().map_err(|_error| HoistError::InvalidName(text.into()))?;
        Ok(Self { member: MemberName::new(member)?, started_unix_ms })
    }
}

impl_text_serde!(Incarnation);

/// Identifies a slice, a group of hosts that one daemon at a time schedules.
///
/// That daemon is the slice's holder. A cell has one slice today, number 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct SliceId(pub u16);

/// Fencing token of a slice's holder: the store revision of its claim.
///
/// A later holder has a greater token, and a host refuses orders under a smaller one than it has seen. 0
/// means that no claim is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Fence(pub u64);

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
