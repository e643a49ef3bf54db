//! Real processes of the product and its stand-ins under a test's control. For tests only:
//! no process of the product starts another.

use std::{
    fmt, io,
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, ChildStdout, Command, Stdio},
};

use strum::IntoStaticStr;

/// What a program prints on stdout before its address.
const LISTENING: &str = "listening on ";

/// Why a process could not be controlled.
#[derive(Debug)]
pub enum Error {
    /// The program could not be started or signalled.
    Io(io::Error),
    /// The first line of the program was not its address.
    NoAddress(String),
    /// The command `kill` failed.
    Signal(Signal),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(e) => write!(f, "the process cannot be controlled: {e}"),
            Self::NoAddress(line) => write!(f, "no address in the first line `{line}`"),
            Self::Signal(signal) => write!(f, "signal {signal:?} was not sent"),
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
    /// Ends the process at once.
    Kill,
    /// Pauses the process.
    Stop,
    /// Lets a paused process go on.
    Cont,
    /// Asks the process to shut down gracefully.
    Term,
}

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addr: SocketAddr,
    /// Kept open, so that the child can go on writing.
    _stdout: BufReader<ChildStdout>,
}

impl Process {
    /// Starts one of the workspace's programs and waits for its line `listening on ADDR`.
    ///
    /// The program has to be built already: `cargo test -p` builds those of that package only.
    ///
    /// # Errors
    /// If the program is missing, or ends or prints something else first.
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
        match parse_address(&line) {
            Some(addr) => Ok(Self {
                child,
                addr,
                _stdout: stdout,
            }),
            None => {
                child.kill()?;
                child.wait()?;
                Err(Error::NoAddress(line))
            }
        }
    }

    /// Returns the address that the process listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the process id.
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

    /// Waits for the end of the process; true if it exited with success.
    ///
    /// # Errors
    /// If the process cannot be waited for.
    pub fn wait(&mut self) -> Result<bool, Error> {
        Ok(self.child.wait()?.success())
    }

    /// Waits for the end of the process; returns its exit code, or `None` if a signal ended it.
    ///
    /// # Errors
    /// If the process cannot be waited for.
    pub fn wait_code(&mut self) -> Result<Option<i32>, Error> {
        Ok(self.child.wait()?.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself; there is nobody to tell.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Finds a program of the workspace beside the folder of the running test.
///
/// # Errors
/// If the program is not there.
pub fn program_path(program: &str) -> io::Result<PathBuf> {
    let exe = std::env::current_exe()?;
    // Test executables lie in a folder below that of the programs.
    let folders = exe.ancestors().skip(1).take(2);
    let mut paths = folders.map(|folder| folder.join(program));
    Ok(paths
        .find(|path| path.is_file())
        .ok_or(io::ErrorKind::NotFound)?)
}

fn parse_address(line: &str) -> Option<SocketAddr> {
    line.strip_prefix(LISTENING)?.trim().parse().ok()
}
