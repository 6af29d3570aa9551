//! Scripts of the review: each starts a small deployment, may disrupt it, and checks one rule.
//!
//! `review-standins CASE RECORD` exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cell;
mod http;
mod island;
mod json;
mod late_order;
mod record;
mod repeats;
mod runner;
mod store;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// Time that a script may take, with some to spare.
const TIME_LIMIT: std::time::Duration = std::time::Duration::from_secs(112);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: review-standins CASE RECORD");
        return ExitCode::from(2);
    };
    let is_disrupted = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::create(Path::new(path)) else {
        eprintln!("cannot write {path}");
        return ExitCode::from(2);
    };
    cell::limit_time(TIME_LIMIT);
    let outcome = match case.as_str() {
        "island" => island::run(&record, is_disrupted),
        "late-order" => late_order::run(&record, is_disrupted),
        "repeats" => repeats::run(&record, is_disrupted),
        _ => Err(std::io::Error::other("no such case")),
    };
    let violations = record.violations();
    match outcome {
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
        Ok(()) if violations.is_empty() => {
            record.line("the rule held");
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(()) => {
            record.line(&format!("the rule was broken {} times", violations.len()));
            println!("the rule was broken {} times, first: {}", violations.len(), violations[0]);
            ExitCode::from(1)
        }
    }
}
