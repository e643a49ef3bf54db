//! Stand-ins and cases of the second review. `review-standin-2 CASE PROGRAM FOLDER TEMPORARY` runs a
//! case with the program at this path, writes `record.txt` into the folder and all else into the
//! temporary one, which the caller removes, and ends with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod engine;
mod http;
mod json;
mod prepaid;
mod process;
mod record;
mod store;

use std::{path::Path, process::ExitCode, sync::Mutex, thread, time::Duration};

use record::Record;

/// What engines have run: id, tenant, token counts.
pub static RUNS: Mutex<Vec<(String, String, String)>> = Mutex::new(Vec::new());

/// A case that takes longer could not run.
const LONGEST: Duration = Duration::from_secs(116);

/// What a case found, or why it could not run.
pub type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, program, folder, temporary] = args.as_slice() else {
        eprintln!("usage: review-standin-2 CASE PROGRAM FOLDER TEMPORARY");
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
    // The caller ends the processes of the case.
    let late = record.clone();
    thread::spawn(move || {
        thread::sleep(LONGEST);
        late.show("the case could not run: it took too long");
        std::process::exit(2);
    });
    let program = Path::new(program);
    let outcome = match case.as_str() {
        "prepaid" => prepaid::run(program, Path::new(temporary), &record, has_trouble),
        other => Err(format!("no case {other}")),
    };
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
