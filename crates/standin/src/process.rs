//! Starts and signals processes of the product and its stand-ins. For tests only: no process of
//! the product starts another.

use std::{
    fmt, io,
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, ChildStdout, Command, Stdio},
};

use strum::IntoStaticStr;

/// Precedes the address in the first line that a program prints on stdout.
const LISTENING_PREFIX: &str = "listening on ";

/// An error of starting or controlling a process.
#[derive(Debug)]
pub enum Error {
    /// The program could not be started or signalled.
    Io(io::Error),
    /// The first line that the program printed is not its listen address.
    UnexpectedFirstLine(String),
    /// The command `kill` exited with an error.
    Signal(Signal),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(e) => write!(f, "cannot start or signal the process: {e}"),
            Self::UnexpectedFirstLine(line) => write!(
                f,
                "expected `listening on ADDR` as the first line, got `{line}`"
            ),
            Self::Signal(signal) => write!(f, "`kill` failed to send signal {signal:?}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// The signals that tests send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "UPPERCASE")]
pub enum Signal {
    /// SIGKILL: terminates the process immediately.
    Kill,
    /// SIGSTOP: suspends the process.
    Stop,
    /// SIGCONT: resumes a suspended process.
    Cont,
    /// SIGTERM: requests a graceful shutdown.
    Term,
}

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addr: SocketAddr,
    /// Kept open, so that writes of the child to stdout do not fail.
    _stdout: BufReader<ChildStdout>,
}

impl Process {
    /// Starts a program of the workspace and waits for its first line, `listening on ADDR`.
    ///
    /// The program must have been built: `cargo test -p` builds only those of the given package.
    ///
    /// # Errors
    /// If the program is missing, or if it exits or prints another line first.
    pub fn start(program: &str, args: &[&str]) -> Result<Self, Error> {
        let mut child = Command::new(program_path(program)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child.stdout.take();
        let mut stdout = BufReader::new(
            stdout
                .ok_or(io::ErrorKind::BrokenPipe)
                .map_err(io::Error::from)?,
        );
        let mut line = String::new();
        stdout.read_line(&mut line)?;
        match parse_listen_addr(&line) {
            Some(addr) => Ok(Self {
                child,
                addr,
                _stdout: stdout,
            }),
            None => {
                child.kill()?;
                child.wait()?;
                Err(Error::UnexpectedFirstLine(line))
            }
        }
    }

    /// The address that the process listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal with the command `kill`.
    ///
    /// # Errors
    /// If the command fails.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        let name: &str = signal.into();
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status()?;
        status.success().then_some(()).ok_or(Error::Signal(signal))
    }

    /// Waits for the process to exit; true if the exit code is zero.
    ///
    /// # Errors
    /// If the process cannot be waited for.
    pub fn wait(&mut self) -> Result<bool, Error> {
        Ok(self.child.wait()?.success())
    }

    /// Waits for the process to exit; the exit code, or `None` if a signal terminated the process.
    ///
    /// # Errors
    /// If the process cannot be waited for.
    pub fn wait_exit_code(&mut self) -> Result<Option<i32>, Error> {
        Ok(self.child.wait()?.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already, and `drop` cannot report an error.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The path of a program of the workspace, searched relative to the running test executable.
///
/// # Errors
/// If the program is not there.
pub fn program_path(program: &str) -> io::Result<PathBuf> {
    let exe = std::env::current_exe()?;
    // Test executables are one directory below the programs (`target/debug/deps`).
    let dirs = exe.ancestors().skip(1).take(2);
    let mut paths = dirs.map(|dir| dir.join(program));
    Ok(paths
        .find(|path| path.is_file())
        .ok_or(io::ErrorKind::NotFound)?)
}

fn parse_listen_addr(line: &str) -> Option<SocketAddr> {
    line.strip_prefix(LISTENING_PREFIX)?.trim().parse().ok()
}
