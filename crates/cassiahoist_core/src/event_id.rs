//! Numbered log events.

/// How grave an event is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// For developers.
    Debug,
    /// Normal operation.
    Info,
    /// Something to look at.
    Warning,
    /// Something is broken.
    Error,
}

macro_rules! events {
    ($($number:literal $name:ident $severity:ident $text:literal;)*) => {
        /// A numbered event of the log; `docs/EVENTS.md` is the catalogue.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum EventId {
            $(#[doc = $text] $name = $number),*
        }

        impl EventId {
            /// Every event in order of number.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// Gives the name in the catalogue.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name)),* }
            }

            /// Gives the meaning, one sentence.
            #[must_use]
            pub fn text(self) -> &'static str {
                match self { $(Self::$name => $text),* }
            }

            /// Gives the severity.
            #[must_use]
            pub fn severity(self) -> Severity {
                match self { $(Self::$name => Severity::$severity),* }
            }

            /// Gives the number.
            #[must_use]
            pub fn number(self) -> u16 {
                self as u16
            }
        }
    };
}

events! {
    100 DaemonStarted Info "The daemon started.";
    101 DaemonStopping Info "The daemon began a graceful stop.";
    102 DaemonStopped Info "The daemon stopped.";
    103 StopForced Warning "A second signal cut the graceful stop short.";
    200 MemberJoined Info "A daemon appeared in the membership.";
    201 MemberLeft Info "A daemon left the membership.";
    202 SliceTaken Info "This daemon took a slice.";
    203 SliceReleased Info "This daemon released a slice.";
    204 SliceLost Warning "The store shows a later term for a slice held here.";
    205 PermissionLapsed Warning "Permission to act on a slice lapsed.";
    206 PermissionRegained Info "Permission to act on a slice is fresh again.";
    300 StoreUnreachable Warning "The platform's store does not answer.";
    301 StoreReachable Info "The platform's store answers again.";
    400 HostAdopted Info "A host was adopted under the current term.";
    401 HostLeaving Info "A host is leaving and gets no new work.";
    402 HostUnreachable Warning "A host does not answer.";
    403 HostQuarantined Warning "A host failed what it started and is on probation.";
    500 RequestRefused Debug "A request was refused.";
    501 RequestUncertain Warning "A request may have run and its answer is lost.";
    600 JobAccepted Info "A job was recorded.";
    601 JobFinished Info "A job finished.";
    602 JobHopeless Warning "A job was given up after failing on several good workers.";
    603 TaskLost Warning "A task's lease lapsed.";
    700 ConfigInForce Info "A generation of the configuration is in force.";
    701 ConfigRejected Error "A generation of the configuration could not be read.";
}
