//! Asks a daemon for a page, or puts one.

use std::net::SocketAddr;
use std::time::Duration;

use cassiahoist_core::prelude::*;
use cassiahoist_traffic::http_client::{Exchange, HttpClient};
use hyper::{Method, Request};

/// How long a daemon may take to answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// Asks a daemon for one of its operators' pages.
///
/// # Errors
/// [`HoistError::Unreachable`] if it gives none.
pub(crate) fn ask_page(address: SocketAddr, path: &str) -> Result<String, HoistError> {
    exchange(address, Method::GET, path, String::new())
}

/// Puts one of a daemon's operators' pages; gives its answer.
///
/// # Errors
/// [`HoistError::Unreachable`] if it is not taken, with the daemon's reason.
pub(crate) fn put_page(address: SocketAddr, path: &str, body: String) -> Result<String, HoistError> {
    exchange(address, Method::PUT, path, body)
}

fn exchange(address: SocketAddr, method: Method, path: &str, body: String) -> Result<String, HoistError> {
    let failed = |reason: String| HoistError::Unreachable(format!("{address}: {reason}"));
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "daemon")
        .body(http_body_util::Full::<bytes::Bytes>::from(body))
        .map_err(|error| failed(error.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| failed(error.to_string()))?;
    let client = HttpClient::new();
    match runtime.block_on(client.exchange(&address.to_string(), request, PATIENCE)) {
        Exchange::Answered(response) if response.status().is_success() => {
            Ok(String::from_utf8_lossy(response.body()).into_owned())
        }
        Exchange::Answered(response) => {
            Err(failed(format!("{} {}", response.status(), String::from_utf8_lossy(response.body()).trim())))
        }
        Exchange::NotSent => Err(failed("no daemon listens there".into())),
        Exchange::Lost => Err(failed("no answer in time".into())),
    }
}
