//! Names of hosts, queues, daemons, jobs, steps and tasks.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::error::HoistError;

/// Longest accepted part of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

fn check_part(part: &str) -> Result<(), HoistError> {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    if part.is_empty() || part.len() > MAX_NAME_BYTES || !part.chars().all(plain) {
        return Err(HoistError::BadName(part.chars().take(MAX_NAME_BYTES).collect()));
    }
    Ok(())
}

macro_rules! string_serde {
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

macro_rules! plain_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks and stores a name.
            ///
            /// # Errors
            /// [`HoistError::BadName`] for an empty, overlong or oddly spelled name.
            pub fn new(name: &str) -> Result<Self, HoistError> {
                check_part(name)?;
                Ok(Self(name.into()))
            }

            /// Borrows the text.
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

        string_serde!($name);
    };
}

plain_name!(
    /// A place whose hosts fail together, such as `obihiro`.
    FailureDomain
);
plain_name!(
    /// The name of a daemon, which is that of its entry host.
    MemberName
);
plain_name!(
    /// The name of a backend server, unique for as long as it is listed.
    HostName
);
plain_name!(
    /// The name of a pool of backend servers that run the same work.
    PoolName
);
plain_name!(
    /// The name of a queue.
    QueueName
);

impl PoolName {
    /// Names the pool of a host whose entry is gone.
    #[must_use]
    pub fn unknown() -> Self {
        Self("unknown".into())
    }
}

/// Identity of a job, chosen by its caller: 16 hexadecimal digits.
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
        let lower_hex = |c: u8| c.is_ascii_digit() || (b'a'..=b'f').contains(&c);
        if text.len() != JOB_ID_DIGITS || !text.bytes().all(lower_hex) {
            return Err(HoistError::BadName(text.chars().take(MAX_NAME_BYTES).collect()));
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_error| HoistError::BadName(text.into()))
    }
}

string_serde!(JobId);

/// One step of one occurrence of a job, written `JOB.OCCURRENCE.STEP`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepName {
    /// The job.
    pub job: JobId,
    /// The occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u16,
}

impl fmt::Display for StepName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl FromStr for StepName {
    type Err = HoistError;

    fn from_str(text: &str) -> Result<Self, HoistError> {
        let bad = || HoistError::BadName(text.chars().take(MAX_NAME_BYTES).collect());
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(bad);
        let job = next()?.parse()?;
        let occurrence = next()?.parse().map_err(|_error| bad())?;
        let step = next()?.parse().map_err(|_error| bad())?;
        if parts.next().is_some() {
            return Err(bad());
        }
        Ok(Self { job, occurrence, step })
    }
}

string_serde!(StepName);

/// One task of a step, written `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// The step.
    pub step: StepName,
    /// Number of the task within its step, from 0.
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
        let bad = || HoistError::BadName(text.chars().take(MAX_NAME_BYTES).collect());
        let (step, index) = text.rsplit_once('.').ok_or_else(bad)?;
        Ok(Self { step: step.parse()?, index: index.parse().map_err(|_error| bad())? })
    }
}

string_serde!(TaskName);

/// One life of a daemon.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// The daemon.
    pub member: MemberName,
    /// Start of this life, in milliseconds since the epoch; a later life has a greater number.
    pub number: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.member, self.number)
    }
}

impl FromStr for Incarnation {
    type Err = HoistError;

    fn from_str(text: &str) -> Result<Self, HoistError> {
        let (member, number) = text.rsplit_once('#').ok_or_else(|| HoistError::BadName(text.into()))?;
        let number = number.parse().map_err(|_error| HoistError::BadName(text.into()))?;
        Ok(Self { member: MemberName::new(member)?, number })
    }
}

string_serde!(Incarnation);

/// A group of hosts that one daemon gives work to at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct SliceId(pub u16);

/// A fencing token: greater for each later holder of a slice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Fence(pub u64);

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
