//! Standard output without a buffer.

use std::io::{self, Write};

/// Writes straight to the descriptor of standard output.
///
/// [`std::io::Stdout`] has a buffer that splits and joins writes. A duplicate of the descriptor has none, but a platform
/// that collects logs by the number of the descriptor doesn't see what is written to it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StandardOutput;

impl Write for StandardOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        Ok(nix::unistd::write(io::stdout(), buf)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
