//! Decides which connections send or read too slowly.

use std::time::Duration;

use tokio::time::Instant;

/// Least pace of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Time in which any pace is allowed.
    pub grace: Duration,
    /// Bytes for each second after that.
    pub bytes_per_s: u64,
}

impl Pace {
    /// Returns whether a transfer of `bytes` in the elapsed time is below the pace.
    #[must_use]
    pub fn is_missed(&self, bytes: u64, elapsed: Duration) -> bool {
        let counted_ms = elapsed.saturating_sub(self.grace).as_millis();
        u128::from(bytes) * 1_000 < counted_ms * u128::from(self.bytes_per_s)
    }
}

/// Bounds of the time that connections take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Time for the head of a request from its first byte on.
    pub head_timeout: Duration,
    /// Time that a connection may be idle; `None` for no limit.
    pub idle_timeout: Option<Duration>,
    /// Time in which no byte of a body arrives. A server that has its own time for bodies answers before.
    pub body_silence: Duration,
    /// Least pace of a body.
    pub body_pace: Pace,
    /// Least pace at which answers are read.
    pub answer_pace: Pace,
    /// Time for a connection to close whose requests are all answered.
    pub close_timeout: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(15),
            idle_timeout: None,
            body_silence: Duration::from_secs(20),
            body_pace: Pace { grace: Duration::from_secs(20), bytes_per_s: 1_024 },
            answer_pace: Pace { grace: Duration::from_secs(10), bytes_per_s: 1_024 },
            close_timeout: Duration::from_secs(2),
        }
    }
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No request is in progress; its last answer may still be unread.
    Idle,
    /// The body of a request arrives.
    Receiving,
    /// A complete request waits for its answer.
    Answering,
}

/// What is known of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionView {
    /// What it does.
    pub phase: Phase,
    /// Since when it does that.
    pub since: Instant,
    /// Bytes that were read since then.
    pub read_bytes: u64,
    /// When bytes were last seen to be read, or the phase began.
    pub read_at: Instant,
    /// Since when it is being closed.
    pub closing_since: Option<Instant>,
    /// Since when the client has not taken all that was written, and the bytes that it took since then.
    pub blocked: Option<(Instant, u64)>,
}

/// Part of a request that was too slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowPart {
    /// The head of a request.
    Head,
    /// The body of a request.
    Body,
    /// The client does not read its answers.
    Answer,
}

/// What to do with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionDecision {
    /// It stays open.
    Keep,
    /// It is closed as idle; a request that arrived is still answered.
    CloseIdle,
    /// It is closed at once.
    Abort(SlowPart),
}

/// Decides whether a connection stays open.
#[must_use]
pub fn decide_connection(
    view: &ConnectionView,
    limits: &ConnectionLimits,
    now: Instant,
) -> ConnectionDecision {
    let elapsed = now.saturating_duration_since(view.since);
    if let (Phase::Idle, Some(since)) = (view.phase, view.closing_since) {
        let is_late = now.saturating_duration_since(since.max(view.since)) > limits.close_timeout;
        let part = if view.blocked.is_some() { SlowPart::Answer } else { SlowPart::Head };
        return if is_late { ConnectionDecision::Abort(part) } else { ConnectionDecision::Keep };
    }
    if let (Phase::Idle, Some((since, bytes))) = (view.phase, view.blocked) {
        let is_missed = limits.answer_pace.is_missed(bytes, now.saturating_duration_since(since));
        return if is_missed {
            ConnectionDecision::Abort(SlowPart::Answer)
        } else {
            ConnectionDecision::Keep
        };
    }
    match view.phase {
        Phase::Idle if view.read_bytes > 0 => {
            if elapsed > limits.head_timeout {
                return ConnectionDecision::Abort(SlowPart::Head);
            }
        }
        Phase::Idle => {
            if limits.idle_timeout.is_some_and(|timeout| elapsed > timeout) {
                return ConnectionDecision::CloseIdle;
            }
        }
        Phase::Receiving => {
            let is_silent = now.saturating_duration_since(view.read_at) > limits.body_silence;
            if is_silent || limits.body_pace.is_missed(view.read_bytes, elapsed) {
                return ConnectionDecision::Abort(SlowPart::Body);
            }
        }
        Phase::Answering => {}
    }
    ConnectionDecision::Keep
}
