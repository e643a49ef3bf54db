//! `cyclamen config check`: findings with path and line, the difference from the version in force,
//! and exit codes.

use std::path::{Path, PathBuf};

use cyc_cli::{
    Exit, Output,
    config_check::{self, Format, Options},
};
use googletest::prelude::*;
use serde_json::{Value, json};

/// A document of the platform without a finding, one value a line.
pub fn platform_document() -> Value {
    json!({
        "version": 7,
        "routes": [
            { "name": "r-1", "host": "a.example", "pathPrefix": "/p/", "routeKind": "streaming",
              "timeoutMs": 4000, "sloMs": 1000, "priority": 0, "service": "s1", "attempts": 2,
              "public": false, "sticky": true, "canResume": true, "gapTargetMs": 600 },
            { "name": "r-2", "host": "a.example", "pathPrefix": "/q/",
              "routeKind": "non_idempotent", "timeoutMs": 6000, "sloMs": 1200, "priority": 1,
              "split": [{ "service": "s1", "weight": 90 }, { "service": "s2", "weight": 10 }],
              "attempts": 1, "public": false, "canResume": false },
        ],
        "services": [
            { "name": "s1", "healthPath": "/healthz", "maxConns": 700, "coldStartS": 3.0,
              "engine": { "slots": 128, "kvCapacity": 243393, "stride": 4 } },
            { "name": "s2", "healthPath": "/healthz", "maxConns": 180 },
        ],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000 },
        "tenants": [
            { "name": "t1", "apiKeys": ["secret-1", "secret-2"], "priority": 1, "prepaid": 4699165 },
            { "name": "t2", "apiKeys": ["secret-3"] },
        ],
    })
}

pub fn run(file: &Path, against: Option<&Path>, format: Format) -> Output {
    let options = Options {
        against,
        settings: None,
        format,
    };
    config_check::run(file, options)
}

fn file(name: &str, text: &[u8]) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn changed(edits: &[(&str, Value)]) -> Value {
    let mut document = platform_document();
    for (pointer, value) in edits {
        *document.pointer_mut(pointer).unwrap() = value.clone();
    }
    document
}

fn check(name: &str, document: &Value) -> Output {
    let text = serde_json::to_string_pretty(document).unwrap();
    run(&file(name, text.as_bytes()), None, Format::Json)
}

/// Path and rule of each finding.
fn findings(output: &Output) -> Vec<(String, String)> {
    let report: Value = serde_json::from_str(&output.out).unwrap();
    let findings = report["findings"].as_array().unwrap();
    let text = |value: &Value| value.as_str().unwrap().to_string();
    let pairs = findings
        .iter()
        .map(|f| (text(&f["path"]), text(&f["rule"])));
    pairs.collect()
}

#[gtest]
fn good_documents_have_no_findings() {
    let output = check("good.json", &platform_document());
    expect_that!(output.exit, eq(Exit::Ok), "{output:?}");
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../etc/dala/document.json");
    let output = run(root.as_ref(), None, Format::Text);
    expect_that!(output.exit, eq(Exit::Ok), "{output:?}");
}

#[gtest]
fn each_fault_is_found_with_its_path() {
    let cases: Vec<(&str, Value, &str, &str)> = vec![
        (
            "/routes/0/timeoutMs",
            json!("long"),
            "routes[0].timeoutMs",
            "invalid_value",
        ),
        (
            "/routes/1/routeKind",
            json!("other"),
            "routes[1]",
            "invalid_value",
        ),
        (
            "/tenants/0/name",
            json!("a b"),
            "tenants[0].name",
            "invalid_value",
        ),
        (
            "/routes/1/pathPrefix",
            json!("/p/"),
            "routes[1]",
            "route_never_matches",
        ),
        (
            "/routes/1/pathPrefix",
            json!("q/"),
            "routes[1]",
            "route_never_matches",
        ),
        (
            "/routes/1/host",
            json!("a.example:80"),
            "routes[1]",
            "route_never_matches",
        ),
        (
            "/routes/1/name",
            json!("r-1"),
            "routes[1]",
            "duplicate_name",
        ),
        (
            "/routes/1/split/1/weight",
            json!(0),
            "routes[1].split[1]",
            "split_without_weight",
        ),
        (
            "/routes/0/service",
            json!("s3"),
            "routes[0].service",
            "unknown_service",
        ),
        (
            "/routes/0/timeoutMs",
            json!(900),
            "routes[0].timeoutMs",
            "timeout_under_objective",
        ),
        (
            "/routes/0/attempts",
            json!(0),
            "routes[0].attempts",
            "attempts_over_budget",
        ),
        (
            "/tenants/1/apiKeys/0",
            json!("secret-2"),
            "tenants[0].apiKeys[1]",
            "key_of_no_account",
        ),
        (
            "/tenants/0/prepaid",
            json!(200_000),
            "tenants[0].prepaid",
            "prepaid_under_request",
        ),
    ];
    for (pointer, value, path, rule) in cases {
        let output = check("fault.json", &changed(&[(pointer, value)]));
        expect_that!(output.exit, eq(Exit::Refused), "{pointer}");
        let expected = (path.to_string(), rule.to_string());
        expect_that!(findings(&output), contains(eq(&expected)), "{pointer}");
        expect_false!(output.out.contains("secret"), "{pointer}: a key is printed");
    }
}

#[gtest]
fn a_finding_names_the_line() {
    let text = serde_json::to_string_pretty(&changed(&[
        ("/routes/1/timeoutMs", json!(17)),
        ("/tenants/0/prepaid", json!(18)),
    ]));
    let text = text.unwrap();
    let line = |part: &str| 1 + text.lines().position(|line| line.contains(part)).unwrap();
    let output = run(&file("line.json", text.as_bytes()), None, Format::Text);
    for part in ["\"timeoutMs\": 17", "\"prepaid\": 18"] {
        let expected = format!("line {}: ", line(part));
        expect_that!(output.out, contains_substring(expected), "{part}");
    }
}

#[gtest]
fn a_document_of_the_project_is_checked_as_when_it_is_submitted() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../etc/dala/document.json");
    let good: Value = serde_json::from_slice(&std::fs::read(root).unwrap()).unwrap();
    let mut invalid = good.clone();
    invalid["services"]["services"][1]["kind"] = json!("other");
    expect_that!(check("project.json", &invalid).exit, eq(Exit::Refused));
    let mut invalid = good.clone();
    invalid["services"]["services"][0]["retry"]["max_attempts"] = json!(0);
    let found = findings(&check("project.json", &invalid));
    let path = "services.services[0].retry.max_attempts".to_string();
    expect_that!(found, contains(eq(&(path.clone(), "invalid_value".into()))));
    let mut starved = good.clone();
    starved["services"]["policy"]["retry_percent"] = json!(0);
    let found = findings(&check("project.json", &starved));
    expect_that!(found, contains(eq(&(path, "attempts_over_budget".into()))));
    let mut idle = good;
    idle["services"]["targets"] = json!([]);
    let found = findings(&check("project.json", &idle));
    let expected = (
        "services.services[0]".into(),
        "service_without_targets".into(),
    );
    expect_that!(found, contains(eq(&expected)));
}

#[gtest]
fn unreadable_files_exit_with_2() {
    let good = file("readable.json", platform_document().to_string().as_bytes());
    let project = concat!(env!("CARGO_MANIFEST_DIR"), "/../../etc/dala/document.json");
    let deep = "[".repeat(100_000);
    let texts: [&[u8]; 6] = [
        b"",
        b"{",
        b"\xff\xfe",
        b"[]",
        br#"{"a":"\udcff"}"#,
        deep.as_bytes(),
    ];
    for text in texts {
        let bad = file("unreadable.json", text);
        for format in [Format::Text, Format::Json] {
            expect_that!(run(&bad, None, format).exit, eq(Exit::Usage));
            expect_that!(run(&good, Some(&bad), format).exit, eq(Exit::Usage));
        }
    }
    expect_that!(
        run("missing.json".as_ref(), None, Format::Text).exit,
        eq(Exit::Usage)
    );
    expect_that!(
        run(&good, Some(project.as_ref()), Format::Text).exit,
        eq(Exit::Usage)
    );
}

#[gtest]
fn the_difference_names_what_changes_and_who_notices() {
    let old = file("old.json", platform_document().to_string().as_bytes());
    let mut document = changed(&[
        ("/version", json!(8)),
        ("/routes/0/timeoutMs", json!(3000)),
        ("/tenants/0/prepaid", json!(5_000_000)),
        ("/tenants/0/apiKeys", json!(["secret-2", "secret-4"])),
        ("/limits/maxBodyBytes", json!(65536)),
    ]);
    document["tenants"].as_array_mut().unwrap().remove(1);
    let mut added = document["routes"][0].clone();
    added["name"] = json!("r-3");
    added["pathPrefix"] = json!("/new/");
    document["routes"].as_array_mut().unwrap().insert(0, added);
    let new = file("new.json", document.to_string().as_bytes());
    let output = run(&new, Some(&old), Format::Text);
    expect_that!(output.exit, eq(Exit::Ok), "{output:?}");
    let expected = [
        "8 values change",
        "version: 7 -> 8",
        "routes[r-1].timeoutMs: 4000 -> 3000; its slowest callers are cut off earlier",
        "routes[r-3]: none -> ",
        "tenants[t1].prepaid: 4699165 -> 5000000; its callers get 402 later",
        "tenants[t1].apiKeys: 1 apiKeys -> none; callers that use one of these keys get 401",
        "tenants[t1].apiKeys: none -> 1 apiKeys; callers with these keys are admitted",
        "tenants[t2]: ",
        "limits.maxBodyBytes: 4194304 -> 65536; callers over the new limit are refused",
    ];
    for line in expected {
        expect_that!(output.out, contains_substring(line));
    }
    expect_false!(output.out.contains("secret"));
    let same = run(&new, Some(&new), Format::Json);
    let report: Value = serde_json::from_str(&same.out).unwrap();
    expect_that!(report["differences"], eq(&json!([])));
}

#[tokio::test]
async fn the_command_line_has_the_flags() {
    let good = file("flags.json", platform_document().to_string().as_bytes());
    let args = |more: &[&str]| {
        let mut args = vec!["config", "check"];
        args.extend(more);
        let args = args.into_iter().map(Into::into);
        cyc_cli::run(args.collect())
    };
    let good = good.to_str().unwrap();
    let output = args(&[good, "--against", good, "--format", "json"]).await;
    assert_eq!(output.exit, Exit::Ok, "{output:?}");
    assert!(output.out.starts_with('{'));
    let output = args(&[good, "--format", "yaml"]).await;
    assert_eq!(output.exit, Exit::Usage);
}

/// The retry budget of the platform is in the settings of its entries, not in its document.
#[gtest]
fn attempts_are_compared_with_the_retry_budget_of_the_settings() {
    let settings = |ratio: &str| {
        let text = format!(
            "nodeName = \"edge-a-1\"\nip = \"127.0.0.1\"\nzone = \"a\"\n\
             internalPorts = [0, 0]\nseeds = []\n[listen]\nfront = \"127.0.0.1:0\"\n\
             ready = \"127.0.0.1:0\"\n[bounds]\ngraceS = 8\nretryRatio = {ratio}\n\
             retryWindowS = 10\nretryExtra = 56\n[platform]\naddress = \"127.0.0.1:1\"\n"
        );
        file("settings.toml", text.as_bytes())
    };
    let document = file("budget.json", platform_document().to_string().as_bytes());
    for (ratio, exit) in [
        ("0.2", Exit::Ok),
        ("0.0", Exit::Refused),
        ("-1.0", Exit::Usage),
    ] {
        let settings = settings(ratio);
        let options = Options {
            against: None,
            settings: Some(&settings),
            format: Format::Json,
        };
        let output = config_check::run(&document, options);
        expect_that!(output.exit, eq(exit), "{ratio}: {output:?}");
    }
}
