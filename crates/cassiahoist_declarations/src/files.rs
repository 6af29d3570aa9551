//! Declarations in YAML files: reading, merging and validation.

use std::path::Path;

use quick_error::quick_error;

use crate::{Declarations, Exception, MAX_EXCEPTIONS, Rules};

/// Shortest reason of an exception, in characters. A shorter one explains nothing to the next operator.
const MIN_REASON_CHARS: usize = 10;

quick_error! {
    /// Error in reading or validating declarations.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DeclarationError {
        /// A file can't be read.
        Unreadable(file: String, reason: String) {
            display("{}: can't be read: {}", file, reason)
        }
        /// A file is invalid YAML, or has an unknown or wrongly typed field.
        Malformed(file: String, reason: String) {
            display("{}: {}", file, reason)
        }
        /// Defaults are declared in two files.
        DuplicateDefaults(file: String, other: String) {
            display("{}: defaults are already declared in {}; keep them in one file", file, other)
        }
        /// A value or a combination of values is not allowed.
        Invalid(path: String, reason: String) {
            display("{}: {}", path, reason)
        }
    }
}

/// Reads, merges and validates YAML files.
///
/// # Errors
/// [`DeclarationError`] with the file or the path of the field, and the reason.
pub fn read_declarations<P: AsRef<Path>>(files: &[P]) -> Result<Declarations, DeclarationError> {
    let mut texts = Vec::with_capacity(files.len());
    for file in files {
        let name = file.as_ref().display().to_string();
        let text = std::fs::read_to_string(file)
            .map_err(|error| DeclarationError::Unreadable(name.clone(), error.to_string()))?;
        texts.push((name, text));
    }
    let named_texts: Vec<(&str, &str)> =
        texts.iter().map(|(name, text)| (name.as_str(), text.as_str())).collect();
    parse_declarations(&named_texts)
}

/// Merges and validates the texts of files, given as pairs of name and text.
///
/// # Errors
/// [`DeclarationError`] with the file or the path of the field, and the reason.
pub fn parse_declarations(files: &[(&str, &str)]) -> Result<Declarations, DeclarationError> {
    let mut merged = Declarations::default();
    let mut defaults_file: Option<&str> = None;
    for (file, text) in files {
        let parsed: Declarations = serde_saphyr::from_str(text)
            .map_err(|error| DeclarationError::Malformed((*file).into(), error.to_string()))?;
        if parsed.defaults != Rules::default() {
            if let Some(other) = defaults_file {
                return Err(DeclarationError::DuplicateDefaults((*file).into(), other.into()));
            }
            defaults_file = Some(file);
            merged.defaults = parsed.defaults;
        }
        merged.exceptions.extend(parsed.exceptions);
    }
    validate_declarations(&merged)?;
    Ok(merged)
}

fn invalid<T>(path: impl Into<String>, reason: impl Into<String>) -> Result<T, DeclarationError> {
    Err(DeclarationError::Invalid(path.into(), reason.into()))
}

/// Validates the constraints that the types don't express.
///
/// # Errors
/// [`DeclarationError::Invalid`] with the path of the field and the reason.
pub fn validate_declarations(declarations: &Declarations) -> Result<(), DeclarationError> {
    validate_rules("defaults", &declarations.defaults)?;
    if declarations.defaults.cordoned == Some(true) {
        return invalid("defaults.cordoned", "can't be true as a default, since no host would get work");
    }
    let exceptions = &declarations.exceptions;
    if exceptions.len() > MAX_EXCEPTIONS {
        let reason = format!("{} exceptions, but at most {MAX_EXCEPTIONS} are allowed", exceptions.len());
        return invalid("exceptions", reason);
    }
    for (number, exception) in exceptions.iter().enumerate() {
        validate_exception(&format!("exceptions[{number}]"), exception)?;
        for (other, earlier) in exceptions[..number].iter().enumerate() {
            check_conflict(number, exception, other, earlier)?;
        }
    }
    Ok(())
}

fn validate_rules(path: &str, rules: &Rules) -> Result<(), DeclarationError> {
    if rules.max_tasks_per_host == Some(0) {
        return invalid(
            format!("{path}.max_tasks_per_host"),
            "must be at least 1, since no task could run with 0",
        );
    }
    if rules.room_percent.is_some_and(|percent| percent == 0 || percent > 100) {
        return invalid(
            format!("{path}.room_percent"),
            "must be 1 to 100; to keep new work away, set cordoned",
        );
    }
    Ok(())
}

fn validate_exception(path: &str, exception: &Exception) -> Result<(), DeclarationError> {
    let (select, set) = (&exception.select, &exception.set);
    if select.is_empty() {
        return invalid(format!("{path}.select"), "selects nothing; rules for everything belong in defaults");
    }
    if exception.reason.trim().chars().count() < MIN_REASON_CHARS {
        let reason = format!("must have at least {MIN_REASON_CHARS} characters");
        return invalid(format!("{path}.reason"), reason);
    }
    if set.entries().is_empty() {
        return invalid(format!("{path}.set"), "sets no rule");
    }
    validate_rules(&format!("{path}.set"), set)?;
    let selects_hosts = select.host.is_some() || select.failure_domain.is_some();
    if select.queue.is_some() && selects_hosts {
        return invalid(format!("{path}.select"), "names both a queue and hosts; use one or the other");
    }
    let sets_queue_rules =
        set.packing.is_some() || set.max_tasks_per_host.is_some() || set.max_running_tasks.is_some();
    if selects_hosts && sets_queue_rules {
        return invalid(format!("{path}.set"), "only room_percent and cordoned apply to hosts");
    }
    if select.queue.is_some() && (set.room_percent.is_some() || set.cordoned.is_some()) {
        return invalid(format!("{path}.set"), "room_percent and cordoned apply to hosts, not to a queue");
    }
    Ok(())
}

/// Rejects two exceptions with the same selector that set the same rule.
fn check_conflict(
    number: usize,
    exception: &Exception,
    other: usize,
    earlier: &Exception,
) -> Result<(), DeclarationError> {
    if exception.select != earlier.select {
        return Ok(());
    }
    let earlier_names: Vec<&str> = earlier.set.entries().into_iter().map(|(name, _)| name).collect();
    match exception.set.entries().into_iter().find(|(name, _)| earlier_names.contains(name)) {
        Some((name, _)) => invalid(
            format!("exceptions[{number}].set.{name}"),
            format!("exceptions[{other}] already sets this rule for {}", exception.select),
        ),
        None => Ok(()),
    }
}
