//! Catalogue of the numbered log events.

/// Severity of a log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Details for developers, such as each start of a run.
    Debug,
    /// A change in normal operation.
    Info,
    /// A condition that an operator should look at.
    Warning,
    /// A failure that an operator has to mend.
    Error,
}

macro_rules! events {
    ($($number:literal $name:ident $severity:ident $text:literal;)*) => {
        /// Identifies a kind of log event; `docs/EVENTS.md` lists them all.
        ///
        /// Numbers are stable, since operators' tools match them. Log lines carry the name too.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum EventId {
            $(#[doc = $text] $name = $number),*
        }

        impl EventId {
            /// Every event, ordered by number.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// Returns the name, which log lines carry as `msg`.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name)),* }
            }

            /// Returns the event's description, one sentence.
            #[must_use]
            pub fn description(self) -> &'static str {
                match self { $(Self::$name => $text),* }
            }

            /// Returns the severity with which the event is logged.
            #[must_use]
            pub fn severity(self) -> Severity {
                match self { $(Self::$name => Severity::$severity),* }
            }

            /// Returns the stable number, from 100.
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
    103 SettingsReloaded Info "The daemon read its settings file again.";
    104 LogLinesDropped Warning "Log lines were dropped because the buffer was full or the output failed.";
    105 ProcessPaused Warning "The process was paused.";
    200 ClaimWon Info "This daemon won the claim on the slice.";
    201 ClaimLost Warning "This daemon lost its claim on the slice.";
    202 HolderChanged Info "Another daemon became the holder of the slice.";
    203 SliceAdopted Info "This daemon loaded all records and hosts and begins to place work.";
    204 ClaimReleased Info "This daemon released its claim on the slice.";
    205 MemberJoined Info "A daemon registered in the store.";
    206 MemberLeft Info "A daemon's entry was removed from the store.";
    207 HolderSlow Warning "This daemon is too slow to hold the slice and releases its claim.";
    208 PeerMessageSkipped Warning "A message of another daemon is unreadable and is skipped.";
    209 HolderLoad Info "Load of the daemon that holds or adopts the slice, once a second.";
    210 HolderWeak Info "A much stronger daemon is registered, and this one releases its claim.";
    300 StoreUnreachable Warning "The store does not answer.";
    301 StoreReachable Info "The store answers again.";
    302 StoreItemSkipped Warning "An item of the store is unreadable and is skipped.";
    303 StoreHistoryCompacted Info "The store discarded the change history; the range is listed again.";
    304 LeaseLost Warning "This daemon's lease in the store ended.";
    305 RangeStale Warning "A followed range of the store has not been answered for too long.";
    306 RangeFresh Info "A stale range of the store is answered again.";
    400 HostAdopted Info "A host reported everything that it runs.";
    401 HostDraining Info "A host is draining and gets no new work.";
    402 HostUnresponsive Warning "A host does not answer.";
    403 HostResponsive Info "A host answers again.";
    404 HostQuarantined Warning "A host gets no work for a time because tasks fail there.";
    405 HostRunsEnded Info "A host's runs have ended because its lease expired, it restarted or it was replaced.";
    406 HostRestarted Warning "A host restarted; its earlier runs have ended.";
    500 CallRefused Info "A call was answered with an error.";
    600 JobAccepted Info "A job was stored.";
    601 JobEnded Info "A job reached a final state.";
    602 JobCancelled Info "A caller cancelled a job.";
    603 TaskStarted Debug "A host was ordered to start a run.";
    604 RunEnded Debug "A run ended.";
    605 RunFailed Info "A run failed.";
    606 StartRefused Info "A host refused to start a run, or the order was never sent.";
    607 StartUnanswered Info "A host did not answer a start order; a stop order follows.";
    608 RunStopped Info "A run is being stopped.";
    609 RunLost Warning "A host no longer lists a run and reported no end for it.";
    610 GangPlaced Info "Hosts were assigned to all tasks of a gang.";
    611 AdviceFailed Info "A call for advice failed or timed out.";
    612 FillerPaceChanged Info "The processor share of fillers on a host changed.";
    613 ProgressConflict Warning "A progress record's revision differs from the one that this holder knows.";
    620 StartRelayDropped Info "A peer left start orders, or the request to relay them, without a reply.";
    700 ConfigInForce Info "A new configuration is in force.";
    701 ConfigRejected Error "A configuration is unreadable; the previous one stays in force.";
    702 DeclarationsStored Info "An operator's declarations were stored, or the attempt failed.";
    703 DeclarationsInForce Info "New declarations are in force.";
    704 DeclarationsRejected Error "Stored declarations are unusable; the previous ones stay in force.";
}
