//! Declarations in YAML files: reading, joining and checking them.

use std::path::Path;

use quick_error::quick_error;

use crate::{Declarations, Exception, MAX_EXCEPTIONS, Rules};

/// Shortest reason, in characters; less explains nothing to the next operator.
const MIN_REASON_CHARS: usize = 10;

quick_error! {
    /// Why declarations are rejected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DeclarationError {
        /// A file can't be read.
        Unreadable(file: String, reason: String) {
            display("{}: can't be read: {}", file, reason)
        }
        /// A file is not well formed, or a field is unknown or of the wrong type.
        Malformed(file: String, reason: String) {
            display("{}: {}", file, reason)
        }
        /// Defaults stand in two files.
        DefaultsTwice(file: String, other: String) {
            display("{}: defaults are declared in {} as well; keep them in one file", file, other)
        }
        /// A declaration is impossible.
        Impossible(path: String, reason: String) {
            display("{}: {}", path, reason)
        }
    }
}

/// Reads, joins and checks files.
///
/// # Errors
/// [`DeclarationError`] with the file or the path of the field, and the reason.
pub fn read_files<P: AsRef<Path>>(files: &[P]) -> Result<Declarations, DeclarationError> {
    let mut texts = Vec::with_capacity(files.len());
    for file in files {
        let name = file.as_ref().display().to_string();
        let text = std::fs::read_to_string(file)
            .map_err(|error| DeclarationError::Unreadable(name.clone(), error.to_string()))?;
        texts.push((name, text));
    }
    let named: Vec<(&str, &str)> = texts.iter().map(|(name, text)| (name.as_str(), text.as_str())).collect();
    parse_files(&named)
}

/// Joins and checks the texts of files, each with its name.
///
/// # Errors
/// [`DeclarationError`] with the file or the path of the field, and the reason.
pub fn parse_files(files: &[(&str, &str)]) -> Result<Declarations, DeclarationError> {
    let mut joined = Declarations::default();
    let mut defaults_in: Option<&str> = None;
    for (file, text) in files {
        let read: Declarations = serde_saphyr::from_str(text)
            .map_err(|error| DeclarationError::Malformed((*file).into(), error.to_string()))?;
        if read.defaults != Rules::default() {
            if let Some(other) = defaults_in {
                return Err(DeclarationError::DefaultsTwice((*file).into(), other.into()));
            }
            defaults_in = Some(file);
            joined.defaults = read.defaults;
        }
        joined.exceptions.extend(read.exceptions);
    }
    check(&joined)?;
    Ok(joined)
}

fn impossible<T>(path: impl Into<String>, reason: impl Into<String>) -> Result<T, DeclarationError> {
    Err(DeclarationError::Impossible(path.into(), reason.into()))
}

/// Checks what the types alone don't.
///
/// # Errors
/// [`DeclarationError::Impossible`] with the path of the field and the reason.
pub fn check(declarations: &Declarations) -> Result<(), DeclarationError> {
    check_rules("defaults", &declarations.defaults)?;
    if declarations.defaults.cordoned == Some(true) {
        return impossible("defaults.cordoned", "no host would get work");
    }
    let exceptions = &declarations.exceptions;
    if exceptions.len() > MAX_EXCEPTIONS {
        let reason = format!("{} exceptions, at most {MAX_EXCEPTIONS}", exceptions.len());
        return impossible("exceptions", reason);
    }
    for (number, exception) in exceptions.iter().enumerate() {
        check_exception(&format!("exceptions[{number}]"), exception)?;
        for (other, earlier) in exceptions[..number].iter().enumerate() {
            check_clash(number, exception, other, earlier)?;
        }
    }
    Ok(())
}

fn check_rules(path: &str, rules: &Rules) -> Result<(), DeclarationError> {
    if rules.max_tasks_per_host == Some(0) {
        return impossible(format!("{path}.max_tasks_per_host"), "nothing would run");
    }
    if rules.room_percent.is_some_and(|percent| percent == 0 || percent > 100) {
        return impossible(format!("{path}.room_percent"), "1 to 100; to keep work away, set cordoned");
    }
    Ok(())
}

fn check_exception(path: &str, exception: &Exception) -> Result<(), DeclarationError> {
    let (select, set) = (&exception.select, &exception.set);
    if select.is_empty() {
        return impossible(format!("{path}.select"), "names nothing; rules for everything are defaults");
    }
    if exception.reason.trim().chars().count() < MIN_REASON_CHARS {
        let reason = format!("a reason of {MIN_REASON_CHARS} characters or more");
        return impossible(format!("{path}.reason"), reason);
    }
    if set.entries().is_empty() {
        return impossible(format!("{path}.set"), "sets nothing");
    }
    check_rules(&format!("{path}.set"), set)?;
    let names_hosts = select.host.is_some() || select.failure_domain.is_some();
    if select.queue.is_some() && names_hosts {
        return impossible(format!("{path}.select"), "a queue and hosts; rules are for one or the other");
    }
    let of_queues =
        set.packing.is_some() || set.max_tasks_per_host.is_some() || set.max_running_tasks.is_some();
    if names_hosts && of_queues {
        return impossible(format!("{path}.set"), "hosts take room_percent and cordoned only");
    }
    if select.queue.is_some() && (set.room_percent.is_some() || set.cordoned.is_some()) {
        return impossible(
            format!("{path}.set"),
            "room_percent and cordoned are rules for hosts, not for a queue",
        );
    }
    Ok(())
}

/// Two exceptions for the same may not set the same rule.
fn check_clash(
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
        Some((name, _)) => impossible(
            format!("exceptions[{number}].set.{name}"),
            format!("exceptions[{other}] sets it for the same {}", exception.select),
        ),
        None => Ok(()),
    }
}
