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

/// What a log event is about, by which a busy daemon bounds the number of its lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The daemon itself, its peers, the store or the configuration.
    Daemon,
    /// One host.
    Host,
    /// One call, job, run, message or item of the store; there may be thousands a second.
    Work,
}

macro_rules! events {
    ($($number:literal $name:ident $severity:ident $subject:ident $text:literal;)*) => {
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

            /// Returns what the event is about.
            #[must_use]
            pub fn subject(self) -> Subject {
                match self { $(Self::$name => Subject::$subject),* }
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
    100 DaemonStarted Info Daemon "The daemon started.";
    101 DaemonStopping Info Daemon "The daemon began a graceful stop.";
    102 DaemonStopped Info Daemon "The daemon stopped.";
    103 SettingsReloaded Info Daemon "The daemon read its settings file again.";
    104 LogLinesDropped Warning Daemon "Log lines were dropped because the buffer was full or the output failed.";
    105 ProcessPaused Warning Daemon "The process was paused.";
    200 ClaimWon Info Daemon "This daemon won the claim on the slice.";
    201 ClaimLost Warning Daemon "This daemon lost its claim on the slice.";
    202 HolderChanged Info Daemon "Another daemon became the holder of the slice.";
    203 SliceAdopted Info Daemon "This daemon loaded all records and hosts and begins to place work.";
    204 ClaimReleased Info Daemon "This daemon released its claim on the slice.";
    205 MemberJoined Info Daemon "A daemon registered in the store.";
    206 MemberLeft Info Daemon "A daemon's entry was removed from the store.";
    207 HolderSlow Warning Daemon "This daemon is too slow to hold the slice, or no host answers it, and it releases its claim.";
    208 PeerMessageSkipped Warning Work "A message of another daemon is unreadable and is skipped.";
    209 HolderLoad Info Daemon "Load of the daemon that holds or adopts the slice, once a second.";
    210 HolderWeak Info Daemon "A much stronger daemon is registered, and this one releases its claim.";
    211 DaemonLoad Info Daemon "Load of the process: once a second at the holder, else every ten seconds and after own failures.";
    212 ClaimDeferred Info Daemon "The slice is vacant, and this daemon leaves it to others for a time.";
    213 ClaimSent Info Daemon "This daemon claims the slice.";
    214 ClaimFailed Info Daemon "The store did not accept this daemon's claim, or did not answer.";
    215 HolderSilent Warning Daemon "No heartbeat of the holder has arrived for too long.";
    216 HolderHeard Warning Daemon "A heartbeat of the holder has arrived again, or this daemon is the holder.";
    217 PermissionEnded Warning Daemon "Neither the store nor enough hosts have confirmed the holder's claim lately; it gives no orders.";
    218 PermissionRegained Info Daemon "The store or enough hosts have confirmed the holder's claim; it gives orders.";
    219 PredecessorShutOut Info Daemon "Enough hosts know the new holder for earlier holders to lose their permission to give orders.";
    220 RosterWritten Info Daemon "The holder writes the host roster.";
    300 StoreUnreachable Warning Daemon "The store does not answer.";
    301 StoreReachable Warning Daemon "The store answers again.";
    302 StoreItemSkipped Warning Work "An item of the store is unreadable and is skipped.";
    303 StoreHistoryCompacted Info Daemon "The store discarded the change history; the range is listed again.";
    304 LeaseLost Warning Daemon "This daemon's lease in the store ended.";
    305 RangeStale Warning Daemon "A followed range of the store has not been answered for too long.";
    306 RangeFresh Warning Daemon "A range that was stale or whose call failed is answered again.";
    307 RangeCallFailed Warning Daemon "The first call for a followed range since its last answer failed.";
    400 HostAdopted Info Host "A host reported everything that it runs.";
    401 HostDraining Info Host "A host is draining and gets no new work.";
    402 HostUnresponsive Warning Host "A host does not answer.";
    403 HostResponsive Warning Host "A host answers again.";
    404 HostQuarantined Warning Host "A host gets no work for a time because tasks fail there.";
    405 HostRunsEnded Info Host "A host's runs have ended because its lease expired, it restarted or it was replaced.";
    406 HostRestarted Warning Host "A host restarted; its earlier runs have ended.";
    407 HostMissing Info Host "The entry of a host has disappeared from the store.";
    408 HostReturned Info Host "The entry of a missing host is in the store again.";
    409 HostsListed Info Daemon "The host entries in the store were listed.";
    410 HostEndsUnread Warning Host "A host has more ended runs than one answer holds; it keeps the others back.";
    500 CallRefused Info Work "A call was answered with an error.";
    600 JobAccepted Info Work "A job was stored.";
    601 JobEnded Info Work "A job reached a final state.";
    602 JobCancelled Info Work "A caller cancelled a job.";
    603 TaskStarted Debug Work "A host was ordered to start a run.";
    604 RunEnded Debug Work "A run ended.";
    605 RunFailed Info Work "A run failed.";
    606 StartRefused Info Work "A host refused to start a run, or the order was never sent.";
    607 StartUnanswered Info Work "A host did not answer a start order; a stop order follows.";
    608 RunStopped Info Work "A run is being stopped.";
    609 RunLost Warning Work "A host no longer lists a run and reported no end for it.";
    610 GangPlaced Info Work "Hosts were assigned to all tasks of a gang.";
    611 AdviceFailed Info Work "A call for advice failed or timed out.";
    612 FillerPaceChanged Info Work "The processor share of fillers on a host changed.";
    613 ProgressConflict Warning Work "A progress record's revision differs from the one that this holder knows.";
    614 RunLostWithHost Info Work "A run ended with its host, which crashed, was replaced or left its lease unrenewed.";
    615 RunDetached Info Work "A task may start elsewhere although its run may still exist, since its step allows copies.";
    616 TaskSuspected Info Work "A host was lost under a run, and its task may be the cause.";
    617 SuspicionEnded Info Work "A task that was suspected of crashing its hosts is cleared.";
    618 LateStartAwaited Info Work "A start that was never answered may take effect after a restart of its host; a stop order follows.";
    619 PaceUnanswered Info Work "A host did not answer a pace order, which may take effect after later ones; they are repeated.";
    620 StartRelayDropped Info Daemon "A peer left start orders, or the request to relay them, without a reply, or declined orders.";
    621 JobLate Info Work "A job was completed after its target.";
    630 RunTimesLearned Info Daemon "How far estimates of a queue's run times were off, every ten seconds at the holder.";
    631 RunTimesAdopted Info Daemon "A new holder read the summary of learned run times, or dropped it as unusable.";
    632 HostSpeedChanged Info Host "A host runs tasks more slowly or faster than others of its kind, or no longer does.";
    700 ConfigInForce Info Daemon "A new configuration is in force.";
    701 ConfigRejected Error Daemon "A configuration is unreadable; the previous one stays in force.";
    702 DeclarationsStored Info Daemon "An operator's declarations were stored, or the attempt failed.";
    703 DeclarationsInForce Info Daemon "New declarations are in force.";
    704 DeclarationsRejected Error Daemon "Stored declarations are unusable; the previous ones stay in force.";
    705 ConfigOutdated Warning Daemon "The configuration was confirmed too long ago; calls that need a key are refused.";
    706 ConfigConfirmed Warning Daemon "An outdated configuration is confirmed again.";
    710 AccountLimitsInForce Info Daemon "Weights and caps of client accounts were taken from a configuration.";
    711 AccountCapReached Info Work "The cap of a client account keeps a step waiting; at most once in 10 s for an account.";
}
