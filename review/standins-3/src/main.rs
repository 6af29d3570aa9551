//! Stand-ins and scripts of the third review.
//!
//! `review-standins-3 case NAME RECORD TROUBLE` plays a case in the root of the repository and exits with 0, 1 or 2.

mod cases;
mod cell;
mod http;
mod json;
mod proxy;
mod runner;
mod store;

use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

/// Time after which a case is given up.
const LONGEST_CASE: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let arg = |index: usize| args.get(index).map_or("", String::as_str);
    match arg(0) {
        "guard" => cell::guard(),
        "runner" => runner::run(runner::Profile {
            id: arg(1).into(),
            service: arg(2).into(),
            store: arg(3).parse().expect("the store's address"),
            address: arg(4).parse().expect("the runner's address"),
            cpu: arg(5).parse().expect("cpu"),
            mem_mb: arg(6).parse().expect("memory"),
            labels: arg(7).split(',').map(str::to_owned).collect(),
            hold_max_ms: arg(8).parse().expect("the longest lease"),
            stop_ms: arg(9).parse().expect("the time of a stop"),
            listen: arg(10).parse().expect("the address to listen on"),
        }),
        "case" => {
            // The children end with this process: the runners by the end of their input, the daemons by the guard.
            std::thread::spawn(|| {
                std::thread::sleep(LONGEST_CASE);
                exit(cell::CANNOT_RUN);
            });
            let (name, record, trouble) = (arg(1).to_owned(), PathBuf::from(arg(2)), arg(3) != "0");
            let played = std::panic::catch_unwind(|| cases::play(&name, &record, trouble));
            exit(match played {
                Ok(true) => 0,
                Ok(false) => 1,
                Err(_) => cell::CANNOT_RUN,
            });
        }
        _ => exit(cell::CANNOT_RUN),
    }
}
