//! Stand-ins and cases of the second review. `review-standin-2 CASE PROGRAM FOLDER` runs a case with
//! the program at this path, writes `record.txt` into the folder, and ends with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod engine;
mod http;
mod json;
mod prepaid;
mod process;
mod record;
mod store;

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Mutex,
};

use record::Record;

/// What engines have run: id, tenant, token counts.
pub static RUNS: Mutex<Vec<(String, String, String)>> = Mutex::new(Vec::new());

/// What a case found, or why it could not run.
pub type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, program, folder] = args.as_slice() else {
        eprintln!("usage: review-standin-2 CASE PROGRAM FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    let temporary: PathBuf =
        std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&temporary) {
        eprintln!("{}: {error}", temporary.display());
        return ExitCode::from(2);
    }
    let program = Path::new(program);
    let outcome = match case.as_str() {
        "prepaid" => prepaid::run(program, &temporary, &record, has_trouble),
        other => Err(format!("no case {other}")),
    };
    if std::env::var_os("KEEP").is_none() {
        std::fs::remove_dir_all(&temporary).ok();
    }
    match outcome {
        Ok(true) => {
            record.show("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.show("the rule was broken");
            ExitCode::from(1)
        }
        Err(why) => {
            record.show(&format!("the case could not run: {why}"));
            ExitCode::from(2)
        }
    }
}
