//! HTTP requests to the operators' pages of a daemon.

use std::net::SocketAddr;
use std::time::Duration;

use cassiahoist_core::prelude::*;
use cassiahoist_traffic::http_client::{Exchange, HttpClient};
use hyper::{Method, Request};

/// Time for a daemon to answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Gets an operators' page of a daemon.
///
/// # Errors
/// Returns [`HoistError::Unreachable`] if the daemon does not answer, or answers with an error status.
pub(crate) fn get_page(address: SocketAddr, path: &str) -> Result<String, HoistError> {
    send(address, Method::GET, path, String::new())
}

/// Puts an operators' page of a daemon and returns the body of its answer.
///
/// # Errors
/// Returns [`HoistError::Unreachable`] if the daemon does not answer, or with its reason if it rejects the page.
pub(crate) fn put_page(address: SocketAddr, path: &str, body: String) -> Result<String, HoistError> {
    send(address, Method::PUT, path, body)
}

fn send(address: SocketAddr, method: Method, path: &str, body: String) -> Result<String, HoistError> {
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
    match runtime.block_on(client.exchange(&address.to_string(), request, RESPONSE_TIMEOUT)) {
        Exchange::Response(response) if response.status().is_success() => {
            Ok(String::from_utf8_lossy(response.body()).into_owned())
        }
        Exchange::Response(response) => {
            Err(failed(format!("{} {}", response.status(), String::from_utf8_lossy(response.body()).trim())))
        }
        Exchange::NotSent(cause) => Err(failed(format!("cannot connect to the daemon: {cause:?}"))),
        Exchange::NoResponse => Err(failed("the daemon did not answer in time".into())),
    }
}
