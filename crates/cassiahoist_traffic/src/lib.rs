//! Network input and output on the traffic threads.
//!
//! It covers callers, hosts, peers, operators, the store and the advice service.
//!
//! Traffic threads exchange data with the control thread only through [`control_link`] and [`dispatcher`]. A platform
//! defines its message formats by implementing the traits of [`protocol`].

pub mod advice_client;
pub mod caller_connections;
pub mod caller_server;
pub mod clock;
pub mod control_link;
pub mod declarations;
pub mod dispatcher;
pub mod host_client;
pub mod http_client;
pub mod operator_server;
pub mod peer_links;
pub mod peer_server;
pub mod protocol;
mod recent_deliveries;
pub mod store_client;
pub mod traffic_meter;
