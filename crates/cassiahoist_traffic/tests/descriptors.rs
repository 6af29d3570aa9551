//! Tests the HTTP client in a process without free descriptors. The limit holds for all threads, so it is the only test.

use std::fs::File;
use std::time::Duration;

use cassiahoist_traffic::http_client::{Exchange, HttpClient};
use cassiahoist_world::unsent::UnsentCause;
use hyper::Request;
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use tokio::net::TcpListener;

/// Descriptors that the process may open in this test.
const MAX_DESCRIPTORS: u64 = 64;

/// The process has no free descriptor, and the host is well.
///
/// The failure was taken for a silent host, so that its lease ran out and its runs were started again elsewhere.
#[tokio::test]
async fn lack_of_descriptors_is_a_local_failure() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (_, hard_limit) = getrlimit(Resource::RLIMIT_NOFILE).unwrap();
    setrlimit(Resource::RLIMIT_NOFILE, MAX_DESCRIPTORS, hard_limit).unwrap();
    let files: Vec<File> = std::iter::from_fn(|| File::open("/dev/null").ok()).collect();
    let request = Request::builder().uri("/").body(http_body_util::Full::default()).unwrap();
    let outcome = HttpClient::new().exchange(&address, request, Duration::from_secs(10)).await;
    drop(files);
    assert!(matches!(outcome, Exchange::NotSent(UnsentCause::LocalResources)), "{outcome:?}");
    assert!(UnsentCause::LocalResources.is_local());
}
