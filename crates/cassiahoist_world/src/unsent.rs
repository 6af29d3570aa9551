//! Why a request was certainly not sent.

/// Why a request to a host or a service was never sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsentCause {
    /// No connection became free in time within this daemon's own limits.
    NoFreeConnection,
    /// The operating system had no descriptor, port or memory for a connection.
    LocalResources,
    /// The time of the order had passed before it could be sent.
    Expired,
    /// The request can't be encoded.
    Unencodable,
    /// The remote side refused or reset the connection, or no route leads there.
    ConnectFailed,
    /// The connection did not open in time.
    ConnectTimeout,
    /// The connection closed before the request was written to it.
    ConnectionClosed,
    /// The peer that was to send it could not do so.
    Relay,
}

impl UnsentCause {
    /// Every cause for which this process did not send a request, in the order of the variants.
    pub const ALL: [Self; 7] = [
        Self::NoFreeConnection,
        Self::LocalResources,
        Self::Expired,
        Self::Unencodable,
        Self::ConnectFailed,
        Self::ConnectTimeout,
        Self::ConnectionClosed,
    ];

    /// Returns whether the cause lies with this daemon and says nothing about the remote side.
    #[must_use]
    pub fn is_local(self) -> bool {
        match self {
            Self::NoFreeConnection
            | Self::LocalResources
            | Self::Expired
            | Self::Unencodable
            | Self::Relay => true,
            Self::ConnectFailed | Self::ConnectTimeout | Self::ConnectionClosed => false,
        }
    }
}
