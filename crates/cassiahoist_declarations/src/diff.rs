//! Differences between two sets of declarations.

use std::fmt;

use crate::{Declarations, Exception};

/// One difference between declarations; displayed as a line of a diff.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeclarationChange {
    /// A default has another value; `None` means that it is not set.
    Default {
        /// Name of the rule, as written in declarations.
        rule: &'static str,
        /// Value before the change.
        before: Option<String>,
        /// Value after the change.
        after: Option<String>,
    },
    /// An exception that only the later declarations contain.
    Added(Exception),
    /// An exception that only the earlier declarations contain.
    Removed(Exception),
}

fn write_exception(f: &mut fmt::Formatter<'_>, sign: char, exception: &Exception) -> fmt::Result {
    let rules: Vec<String> =
        exception.set.entries().into_iter().map(|(name, value)| format!("{name}={value}")).collect();
    write!(f, "{sign} {}: {} ({})", exception.select, rules.join(" "), exception.reason.trim())
}

impl fmt::Display for DeclarationChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Default { rule, before, after } => {
                let value_text = |value: &Option<String>| value.clone().unwrap_or_else(|| "unset".into());
                write!(f, "~ default {rule}: {} -> {}", value_text(before), value_text(after))
            }
            Self::Added(exception) => write_exception(f, '+', exception),
            Self::Removed(exception) => write_exception(f, '-', exception),
        }
    }
}

/// Returns the changes from `before` to `after`.
///
/// Changed defaults come first, in order of their names, then removed and then added exceptions.
#[must_use]
pub fn diff_declarations(before: &Declarations, after: &Declarations) -> Vec<DeclarationChange> {
    let (old, new) = (before.defaults.entries(), after.defaults.entries());
    let value = |entries: &[(&'static str, String)], rule: &str| {
        entries.iter().find(|(name, _)| *name == rule).map(|(_, value)| value.clone())
    };
    let mut rules: Vec<&'static str> = old.iter().chain(&new).map(|(name, _)| *name).collect();
    rules.sort_unstable();
    rules.dedup();
    let defaults = rules.into_iter().filter_map(|rule| {
        let (before, after) = (value(&old, rule), value(&new, rule));
        (before != after).then_some(DeclarationChange::Default { rule, before, after })
    });
    let removed = before.exceptions.iter().filter(|exception| !after.exceptions.contains(exception));
    let added = after.exceptions.iter().filter(|exception| !before.exceptions.contains(exception));
    defaults
        .chain(removed.cloned().map(DeclarationChange::Removed))
        .chain(added.cloned().map(DeclarationChange::Added))
        .collect()
}
