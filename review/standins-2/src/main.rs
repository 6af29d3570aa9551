//! Plays one case of the review: `review-case NUMBER FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` it does the same
//! without the disruption.

mod cases;
mod checks;
mod http;
mod json;
mod runner;
mod store;
mod system;
mod trace;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a case has shown.
pub enum Verdict {
    Broken(Vec<String>),
    Held,
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let number: u32 = args.next().and_then(|text| text.parse().ok()).unwrap_or(0);
    let folder = PathBuf::from(args.next().unwrap_or_else(|| ".".into()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    system::watch_time();
    let outcome = cases::play(number, trouble, &folder);
    match outcome {
        Ok(Verdict::Held) => {
            println!("case {number}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(reasons)) => {
            for reason in reasons.iter().take(5) {
                println!("case {number}: {reason}");
            }
            println!("case {number}: the rule was broken {} times", reasons.len());
            ExitCode::from(1)
        }
        Err(reason) => {
            println!("case {number}: couldn't run: {reason}");
            ExitCode::from(2)
        }
    }
}
