//! A stand-in for the platform's host list.

use std::sync::{Mutex, PoisonError};

use cassiahoist_wire::store::VERSION_HEADER;
use cassiahoist_world::hosts::HostReport;
use hyper::Method;

use crate::fault::{FaultSwitch, Play};
use crate::http::{Handler, WholeRequest, WholeResponse, query, reply};

/// The host list; `POST /hosts` replaces it.
#[derive(Debug)]
pub struct HostListStandIn {
    list: Mutex<(u64, Vec<HostReport>)>,
    faults: FaultSwitch,
}

impl HostListStandIn {
    /// Creates a list.
    #[must_use]
    pub fn new(reports: Vec<HostReport>) -> Self {
        Self { list: Mutex::new((1, reports)), faults: FaultSwitch::default() }
    }

    fn read(&self, newer_than: u64) -> WholeResponse {
        let list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        if newer_than >= list.0 {
            return reply(304, "");
        }
        let mut response = reply(200, serde_json::to_vec(&list.1).unwrap_or_default());
        response.headers_mut().insert(VERSION_HEADER, list.0.into());
        response
    }
}

impl Handler for HostListStandIn {
    async fn handle(&self, request: WholeRequest) -> Option<WholeResponse> {
        if *request.method() == Method::POST && request.uri().path() == "/fault" {
            self.faults.set(serde_json::from_slice(request.body()).ok()?);
            return Some(reply(200, ""));
        }
        if self.faults.play().await != Play::Normal {
            return Some(reply(503, ""));
        }
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/hosts") => {
                let newer_than = query(&request, "newer_than").and_then(|text| text.parse().ok());
                Some(self.read(newer_than.unwrap_or_default()))
            }
            (&Method::POST, "/hosts") => {
                let reports = serde_json::from_slice(request.body()).ok()?;
                let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
                *list = (list.0 + 1, reports);
                Some(reply(200, ""))
            }
            _ => Some(reply(404, "")),
        }
    }
}
