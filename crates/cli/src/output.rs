//! The output of a command: texts, exit code and plot files.

use std::{fmt, path::Path, process::ExitCode};

/// The exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// 0: success.
    Ok,
    /// 1: refused, or a conflict with the state of the deployment.
    Refused,
    /// 2: wrong usage or invalid input.
    Usage,
    /// 3: the platform or a process is unavailable.
    Unavailable,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Ok => 0,
            Exit::Refused => 1,
            Exit::Usage => 2,
            Exit::Unavailable => 3,
        })
    }
}

/// The texts and the exit code of a command. Empty texts are not printed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Output {
    /// Exit code of the program.
    pub exit: Exit,
    /// Text for standard output.
    pub out: String,
    /// Text for standard error.
    pub err: String,
}

impl Output {
    /// Creates an output with text for standard output.
    pub fn new(exit: Exit, out: impl Into<String>) -> Self {
        Self {
            exit,
            out: out.into(),
            err: String::new(),
        }
    }

    /// Creates an output with text for standard error.
    pub fn error(exit: Exit, err: impl Into<String>) -> Self {
        Self {
            exit,
            out: String::new(),
            err: err.into(),
        }
    }

    /// Prints the texts and returns the exit code.
    pub fn print(&self) -> ExitCode {
        if !self.out.is_empty() {
            println!("{}", self.out);
        }
        if !self.err.is_empty() {
            eprintln!("{}", self.err);
        }
        self.exit.into()
    }
}

/// Writes an SVG plot to a file.
///
/// # Errors
/// The output to return if the plot could not be drawn or written.
pub(crate) fn write_plot<E: fmt::Display>(
    file: &Path,
    svg: Result<String, E>,
) -> Result<(), Output> {
    let svg = svg.map_err(|error| Output::error(Exit::Refused, error.to_string()))?;
    std::fs::write(file, svg).map_err(|error| {
        let why = format!("{}: cannot be written: {error}", file.display());
        Output::error(Exit::Usage, why)
    })
}
