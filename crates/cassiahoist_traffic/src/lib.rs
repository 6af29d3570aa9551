//! Network input and output on the traffic threads.
//!
//! It covers callers, hosts, peers, operators, the store and the advice service.
//!
//! Traffic threads exchange data with the control thread only through [`control_link`] and [`dispatcher`]. A platform
//! defines its message formats by implementing the traits of [`protocol`].

pub mod advice_client;
pub mod body_rules;
pub mod caller_server;
pub mod clock;
pub mod connections;
pub mod control_link;
pub mod declarations;
pub mod dispatcher;
pub mod host_client;
pub mod http1_server;
pub mod http_client;
mod metered_stream;
pub mod operator_server;
pub mod pace;
pub mod peer_links;
pub mod peer_server;
pub mod protocol;
mod recent_deliveries;
pub mod request_budget;
pub mod store_client;
pub mod traffic_meter;
