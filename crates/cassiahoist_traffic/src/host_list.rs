//! Readings of the platform's host list.

use std::time::Duration;

use bytes::Bytes;
use cassiahoist_wire::store::VERSION_HEADER;
use cassiahoist_world::event::Event;
use cassiahoist_world::hosts::HostReport;
use http_body_util::Full;
use hyper::{Request, StatusCode};

use crate::control_link::ControlLink;
use crate::http_client::{Exchange, HttpClient};

/// Interval between readings.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// How long a reading may take.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Reads the host list at intervals, as long as the process runs, and reports changes to control.
pub async fn watch_host_list(address: String, control: ControlLink) {
    let client = HttpClient::new();
    let mut revision = 0;
    loop {
        if let Some((newer, reports)) = read(&client, &address, revision).await {
            revision = newer;
            control.send(Event::Hosts { revision, reports });
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

async fn read(client: &HttpClient, address: &str, revision: u64) -> Option<(u64, Vec<HostReport>)> {
    let request = Request::get(format!("/hosts?newer_than={revision}")).header("host", address);
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let Exchange::Answered(response) = client.exchange(address, request, READ_TIMEOUT, || true).await else {
        return None;
    };
    if response.status() != StatusCode::OK {
        return None;
    }
    let newer = response.headers().get(VERSION_HEADER)?.to_str().ok()?.parse().ok()?;
    Some((newer, serde_json::from_slice(response.body()).ok()?))
}
