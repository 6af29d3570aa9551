//! Checks of a declarations file.

use cassiahoist_world::declarations::Declarations;
use quick_error::quick_error;

quick_error! {
    /// Why a declarations file is rejected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DeclarationError {
        /// The file is not well formed.
        Malformed(reason: String) {
            display("not well formed: {}", reason)
        }
        /// A value is impossible.
        Impossible(path: String, reason: String) {
            display("{}: {}", path, reason)
        }
    }
}

/// Parses and checks a declarations file.
///
/// # Errors
/// [`DeclarationError`] with the path of the first field that is wrong.
pub fn parse_declarations(yaml: &str) -> Result<Declarations, DeclarationError> {
    let declarations: Declarations =
        serde_saphyr::from_str(yaml).map_err(|error| DeclarationError::Malformed(error.to_string()))?;
    check_declarations(&declarations)?;
    Ok(declarations)
}

/// Checks declarations: every exception needs a name of its own and a reason.
///
/// # Errors
/// [`DeclarationError::Impossible`] with the path of the first field that is wrong.
pub fn check_declarations(declarations: &Declarations) -> Result<(), DeclarationError> {
    let impossible = |path: String, reason: &str| Err(DeclarationError::Impossible(path, reason.into()));
    for (index, exception) in declarations.exceptions.iter().enumerate() {
        if exception.name.trim().is_empty() {
            return impossible(format!("exceptions[{index}].name"), "must not be empty");
        }
        if exception.reason.trim().is_empty() {
            return impossible(format!("exceptions[{index}].reason"), "write down why it is needed");
        }
        if declarations.exceptions[..index].iter().any(|other| other.name == exception.name) {
            return impossible(format!("exceptions[{index}].name"), "stands twice");
        }
    }
    Ok(())
}
