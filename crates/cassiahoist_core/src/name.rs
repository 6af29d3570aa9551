//! Names of fleets, hosts, teams, requests and tasks.

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

macro_rules! scoped_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name {
            /// The fleet that the name belongs to.
            pub fleet: Fleet,
            /// The name within its fleet.
            pub name: Arc<str>,
        }

        impl $name {
            /// Checks and stores a name within a fleet.
            ///
            /// # Errors
            /// [`HoistError::BadName`] for an empty, overlong or oddly spelled name.
            pub fn new(fleet: &Fleet, name: &str) -> Result<Self, HoistError> {
                check_part(name)?;
                Ok(Self { fleet: fleet.clone(), name: name.into() })
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}/{}", self.fleet, self.name)
            }
        }

        impl FromStr for $name {
            type Err = HoistError;

            fn from_str(text: &str) -> Result<Self, HoistError> {
                let (fleet, name) = text.split_once('/').ok_or_else(|| HoistError::BadName(text.into()))?;
                Self::new(&Fleet::new(fleet)?, name)
            }
        }

        string_serde!($name);
    };
}

plain_name!(
    /// One of the merged fleets.
    Fleet
);
plain_name!(
    /// A place whose hosts fail together, such as `obihiro`.
    FailureDomain
);
plain_name!(
    /// The name of a daemon.
    MemberName
);
plain_name!(
    /// The kind of a request or job, such as `eligibility-check`.
    WorkKind
);
scoped_name!(
    /// A backend server: a runner or a worker.
    HostName
);
scoped_name!(
    /// A rack of hosts.
    RackName
);
scoped_name!(
    /// A team that owns requests and jobs and has a quota.
    TeamName
);
scoped_name!(
    /// The idempotency key that a caller gave to a request or job.
    RequestIdentity
);

/// One run of a daemon: its name and a number that grows with every start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The daemon's name.
    pub member: MemberName,
    /// Start number; a later start has a greater one.
    pub number: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.member, self.number)
    }
}

/// What a slice holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SlicePart {
    /// The hosts of one rack.
    Hosts(RackName),
    /// The identities that hash to this index.
    Identities(u16),
}

/// A unit of ownership: a rack of hosts or a range of identities, at home in one failure domain.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SliceName {
    /// The failure domain whose store value keeps the record.
    pub domain: FailureDomain,
    /// What the slice holds.
    pub part: SlicePart,
}

impl SliceName {
    /// Names the slice of a rack.
    #[must_use]
    pub fn hosts(domain: &FailureDomain, rack: &RackName) -> Self {
        Self { domain: domain.clone(), part: SlicePart::Hosts(rack.clone()) }
    }

    /// Names an identity slice.
    #[must_use]
    pub fn identities(domain: &FailureDomain, index: u16) -> Self {
        Self { domain: domain.clone(), part: SlicePart::Identities(index) }
    }

    /// Tells whether this is an identity slice.
    #[must_use]
    pub fn is_identities(&self) -> bool {
        matches!(self.part, SlicePart::Identities(_))
    }
}

impl fmt::Display for SliceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.part {
            SlicePart::Hosts(rack) => write!(f, "{}/hosts/{rack}", self.domain),
            SlicePart::Identities(index) => write!(f, "{}/identities/{index}", self.domain),
        }
    }
}

impl FromStr for SliceName {
    type Err = HoistError;

    fn from_str(text: &str) -> Result<Self, HoistError> {
        let bad = || HoistError::BadName(text.into());
        let (domain, rest) = text.split_once('/').ok_or_else(bad)?;
        let domain = FailureDomain::new(domain)?;
        let (kind, rest) = rest.split_once('/').ok_or_else(bad)?;
        let part = match kind {
            "hosts" => SlicePart::Hosts(rest.parse()?),
            "identities" => SlicePart::Identities(rest.parse().map_err(|_not_a_number| bad())?),
            _ => return Err(bad()),
        };
        Ok(Self { domain, part })
    }
}

string_serde!(SliceName);

/// One attempt at one task of a job.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// The identity of the job.
    pub job: RequestIdentity,
    /// Position of the task within its job, from 0.
    pub index: u32,
    /// Attempt number, from 1.
    pub attempt: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.job, self.index, self.attempt)
    }
}

impl FromStr for TaskName {
    type Err = HoistError;

    fn from_str(text: &str) -> Result<Self, HoistError> {
        let bad = || HoistError::BadName(text.into());
        let mut parts = text.rsplitn(3, '/');
        let mut number = || parts.next().and_then(|part| part.parse().ok()).ok_or_else(bad);
        let (attempt, index) = (number()?, number()?);
        let job = parts.next().ok_or_else(bad)?.parse()?;
        Ok(Self { job, index, attempt })
    }
}

string_serde!(TaskName);
