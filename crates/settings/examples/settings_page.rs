//! Prints the reference page of all settings, `docs/SETTINGS.md`.

fn main() {
    print!("{}", cyc_settings::reference::page());
}
