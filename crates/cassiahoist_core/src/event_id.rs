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
    103 SettingsReloaded Info "The settings file was read again.";
    104 LogLinesDropped Warning "Log lines were dropped since the writer was behind.";
    105 ProcessPaused Warning "The process stood still.";
    200 ClaimWon Info "This daemon claimed the slice.";
    201 ClaimLost Warning "This daemon no longer holds the slice.";
    202 HolderChanged Info "Another daemon holds the slice.";
    203 SliceAdopted Info "Records and hosts are known; work is placed.";
    204 ClaimReleased Info "This daemon handed the slice over.";
    205 MemberJoined Info "A daemon appeared in the store.";
    206 MemberLeft Info "A daemon's entry left the store.";
    207 HolderSlow Warning "This daemon is too slow to hold the slice and hands it over.";
    300 StoreUnreachable Warning "The store does not answer.";
    301 StoreReachable Info "The store answers again.";
    302 StoreItemSkipped Warning "An item of the store can't be used.";
    303 StoreHistoryGone Info "The store dropped its history; the range is read again.";
    304 LeaseLost Warning "This daemon's lease in the store ended.";
    400 HostAdopted Info "A host told what it runs.";
    401 HostLeaving Info "A host is leaving and gets no new work.";
    402 HostSilent Warning "A host does not answer.";
    403 HostAnswers Info "A host answers again.";
    404 HostQuarantined Warning "A host fails what it starts and gets no work for a time.";
    405 HostGone Info "A host is gone and its runs are over.";
    406 HostReborn Warning "A host began a new life; what it ran is over.";
    500 CallRefused Info "A call was answered with an error.";
    600 JobAccepted Info "A job was stored.";
    601 JobEnded Info "A job became final.";
    602 JobCancelled Info "A job was cancelled.";
    603 TaskStarted Debug "A run was ordered.";
    604 RunEnded Debug "A run ended.";
    605 RunFailed Info "A run failed.";
    606 StartRefused Info "A host refused to start a run.";
    607 StartUnanswered Info "A start was not answered; it is settled by a stop.";
    608 RunStopped Info "A run was told to stop.";
    609 RunLost Warning "A run is gone without an end.";
    610 GangHeld Info "A gang was started.";
    611 AdviceFailed Info "A call for advice failed.";
    612 FillersPaced Info "The pace of fillers on a host changed.";
    613 ProgressConflict Warning "Progress was written by someone else.";
    700 ConfigInForce Info "A configuration is in force.";
    701 ConfigRejected Error "A configuration could not be read.";
    702 DeclarationsStored Info "An operator's declarations were stored, or not.";
    703 DeclarationsInForce Info "Declarations are in force.";
    704 DeclarationsRejected Error "Stored declarations can't be used; those in force stay so.";
}
