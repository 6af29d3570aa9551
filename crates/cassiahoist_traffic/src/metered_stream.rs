//! A TCP stream that shows how far its transfers are.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// Transfers of a stream, shared with the table of connections.
#[derive(Debug, Default)]
pub(crate) struct StreamProgress {
    read_bytes: AtomicU64,
    written_bytes: AtomicU64,
    /// Whether the last write found the send buffer full.
    is_blocked: AtomicBool,
}

impl StreamProgress {
    pub(crate) fn read_bytes(&self) -> u64 {
        self.read_bytes.load(Ordering::Relaxed)
    }

    pub(crate) fn written_bytes(&self) -> u64 {
        self.written_bytes.load(Ordering::Relaxed)
    }

    pub(crate) fn is_blocked(&self) -> bool {
        self.is_blocked.load(Ordering::Relaxed)
    }

    fn note_write(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.written_bytes.fetch_add(*bytes as u64, Ordering::Relaxed);
        }
        self.is_blocked.store(written.is_pending(), Ordering::Relaxed);
    }
}

/// A TCP stream that counts its transfers, and fails once its place is needed or its client is too slow.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: TcpStream,
    progress: Arc<StreamProgress>,
    /// Completes when the connection is to be closed at once; `None` if another part waits for that.
    abort: Option<oneshot::Receiver<()>>,
    /// Whether the connection is to be closed at once.
    is_aborted: bool,
}

impl MeteredStream {
    pub(crate) fn new(stream: TcpStream, progress: Arc<StreamProgress>) -> Self {
        Self { stream, progress, abort: None, is_aborted: false }
    }

    /// Lets reads and writes fail once the connection is to be closed at once.
    pub(crate) fn with_abort(self, abort: oneshot::Receiver<()>) -> Self {
        Self { abort: Some(abort), ..self }
    }

    pub(crate) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    fn poll_abort(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        // A completed receiver must not be polled again.
        if let Some(abort) = &mut self.abort
            && let Poll::Ready(outcome) = Pin::new(abort).poll(cx)
        {
            self.abort = None;
            // An error means that the row was removed.
            self.is_aborted = outcome.is_ok();
        }
        if self.is_aborted { Err(io::ErrorKind::ConnectionAborted.into()) } else { Ok(()) }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_abort(cx)?;
        let filled_before = buf.filled().len();
        let outcome = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read_bytes = buf.filled().len() - filled_before;
        if read_bytes > 0 {
            self.progress.read_bytes.fetch_add(read_bytes as u64, Ordering::Relaxed);
        }
        outcome
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.progress.note_write(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.progress.note_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
