//! The reference page of all settings, in Markdown.

use crate::table::{Allowed, Daemon, Need, Setting, of};

/// Returns the page.
pub fn page() -> String {
    let mut page = String::from(
        "# Settings\n\n\
         Each daemon reads one INI file, named on its command line. An unknown section or key, a\n\
         missing required key and a value that is not allowed are errors that name file, section,\n\
         key and value. The unit is part of a key's name. Check a file with\n\
         `cyclamen check FILE.ini`.\n\n\
         This page is written by `cargo run -p cyc-settings --example settings_page`.\n",
    );
    for (daemon, title) in [(Daemon::Entry, "Entry"), (Daemon::Sidecar, "Sidecar")] {
        page.push_str(&format!("\n## {title}\n"));
        add_sections(&mut page, daemon);
    }
    page
}

fn add_sections(page: &mut String, daemon: Daemon) {
    let mut sections: Vec<&str> = Vec::new();
    for setting in of(daemon) {
        if !sections.contains(&setting.section) {
            sections.push(setting.section);
        }
    }
    for section in sections {
        page.push_str(&format!("\n### `[{section}]`\n\n"));
        page.push_str(
            "| key | allowed | if left out | what it does |\n| --- | --- | --- | --- |\n",
        );
        for setting in of(daemon).filter(|setting| setting.section == section) {
            page.push_str(&row(setting));
        }
    }
}

fn row(setting: &Setting) -> String {
    let Setting { key, about, .. } = setting;
    let allowed = allowed(&setting.allowed);
    let need = match setting.need {
        Need::Required => String::from("an error"),
        Need::Optional => String::from("off"),
        Need::Default("") => String::from("empty"),
        Need::Default(value) => format!("`{value}`"),
    };
    format!("| `{key}` | {allowed} | {need} | {about} |\n")
}

fn allowed(allowed: &Allowed) -> String {
    match allowed {
        Allowed::OneOf(words) => {
            let words: Vec<String> = words.iter().map(|word| format!("`{word}`")).collect();
            words.join(", ")
        }
        other => other.to_string(),
    }
}
