//! Compact encoding of the rows of batches: arrays in place of objects with names.

use std::fmt;
use std::sync::Arc;

use cassiahoist_core::prelude::*;
use serde::de::{Deserializer, Error, IgnoredAny, SeqAccess, Visitor};
use serde::ser::{SerializeTuple, Serializer};
use serde::{Deserialize, Serialize};
use slotmap::{Key, KeyData};

use crate::keys::RunKey;
use crate::start_relay::{BatchedStart, RelayedAnswer};

fn next_column<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(
    row: &mut A,
    name: &'static str,
) -> Result<T, A::Error> {
    row.next_element()?.ok_or_else(|| Error::missing_field(name))
}

fn next_run<'de, A: SeqAccess<'de>>(row: &mut A) -> Result<RunKey, A::Error> {
    Ok(KeyData::from_ffi(next_column(row, "run")?).into())
}

/// Reads columns that a later version added.
fn skip_rest<'de, A: SeqAccess<'de>>(row: &mut A) -> Result<(), A::Error> {
    while row.next_element::<IgnoredAny>()?.is_some() {}
    Ok(())
}

impl Serialize for BatchedStart {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut row = serializer.serialize_tuple(9)?;
        row.serialize_element(&self.run.data().as_ffi())?;
        row.serialize_element(&self.host_name)?;
        row.serialize_element(&*self.address)?;
        row.serialize_element(&self.fence)?;
        row.serialize_element(&self.task_index)?;
        row.serialize_element(&self.run_number)?;
        row.serialize_element(&self.lease_until_ms)?;
        row.serialize_element(&*self.checkpoint)?;
        row.serialize_element(&self.ticket.as_deref())?;
        row.end()
    }
}

impl<'de> Deserialize<'de> for BatchedStart {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct RowVisitor;
        impl<'de> Visitor<'de> for RowVisitor {
            type Value = BatchedStart;

            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(
                    "an array of run, host, address, fence, task, number, lease, checkpoint and ticket",
                )
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<BatchedStart, A::Error> {
                let start = BatchedStart {
                    run: next_run(&mut seq)?,
                    host_name: next_column::<_, HostName>(&mut seq, "host")?,
                    address: next_column::<_, Arc<str>>(&mut seq, "address")?,
                    fence: next_column(&mut seq, "fence")?,
                    task_index: next_column(&mut seq, "task")?,
                    run_number: next_column(&mut seq, "number")?,
                    lease_until_ms: next_column(&mut seq, "lease")?,
                    checkpoint: next_column(&mut seq, "checkpoint")?,
                    ticket: next_column(&mut seq, "ticket")?,
                };
                skip_rest(&mut seq)?;
                Ok(start)
            }
        }
        deserializer.deserialize_seq(RowVisitor)
    }
}

impl Serialize for RelayedAnswer {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut row = serializer.serialize_tuple(3)?;
        row.serialize_element(&self.run.data().as_ffi())?;
        row.serialize_element(&self.outcome)?;
        row.serialize_element(&self.host_clock_ms)?;
        row.end()
    }
}

impl<'de> Deserialize<'de> for RelayedAnswer {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct RowVisitor;
        impl<'de> Visitor<'de> for RowVisitor {
            type Value = RelayedAnswer;

            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("an array of run, outcome and host clock")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<RelayedAnswer, A::Error> {
                let answer = RelayedAnswer {
                    run: next_run(&mut seq)?,
                    outcome: next_column(&mut seq, "outcome")?,
                    host_clock_ms: next_column(&mut seq, "clock")?,
                };
                skip_rest(&mut seq)?;
                Ok(answer)
            }
        }
        deserializer.deserialize_seq(RowVisitor)
    }
}
