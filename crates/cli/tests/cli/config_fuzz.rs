//! Fuzz tests of the decoders of configurations, with a fixed seed and a bounded number of cases.

use std::path::PathBuf;

use cyc_cli::{Exit, config_check::Format};
use cyc_lint::check::check;
use cyc_platform::documents::{decode_configuration, decode_target, plan_configuration};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use serde_json::{Value, json};

use crate::config_check::{platform_document, run};

const CASES: u32 = 2_000;
/// Cases that write a file.
const FILE_CASES: u32 = 300;

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        prop_oneof![Just(1e300), Just(-1.0), Just(4_294_967_296.0)].prop_map(Value::from),
        ".{0,12}".prop_map(Value::from),
        "[a-z]{0,3}[:/ ]?[a-z]{0,3}".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 12, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map("[a-zA-Z]{1,6}", inner, 0..4)
                .prop_map(|fields| fields.into_iter().collect()),
        ]
    })
}

/// Pointers to all values of a document.
fn pointers(value: &Value, at: &str, all: &mut Vec<String>) {
    all.push(at.to_string());
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                pointers(value, &format!("{at}/{name}"), all);
            }
        }
        Value::Array(items) => {
            for (index, value) in items.iter().enumerate() {
                pointers(value, &format!("{at}/{index}"), all);
            }
        }
        _ => {}
    }
}

/// The document with up to three values replaced or doubled.
fn mutated(document: Value) -> impl Strategy<Value = Value> {
    let edits = prop::collection::vec(
        (any::<prop::sample::Index>(), any_json(), any::<bool>()),
        1..4,
    );
    edits.prop_map(move |edits| {
        let mut document = document.clone();
        for (index, value, doubles) in edits {
            let mut all = Vec::new();
            pointers(&document, "", &mut all);
            let pointer = index.get(&all);
            if let Some(place) = document.pointer_mut(pointer) {
                match place {
                    Value::Array(items) if doubles => items.extend_from_within(..),
                    _ => *place = value,
                }
            }
        }
        document
    })
}

/// A configuration that made the decoder or the choice of a service panic would end every entry at
/// once. The check before the rollout must refuse exactly what entries refuse.
#[test]
fn mutated_configurations_are_decoded_or_refused_by_entries_and_check_alike() {
    let documents = prop_oneof![4 => mutated(platform_document()), 1 => any_json()];
    let tested = runner(CASES).run(&documents, |document| {
        let decoded = decode_configuration(document.clone());
        let planned = plan_configuration(&document);
        prop_assert_eq!(decoded.is_ok(), planned.is_ok(), "{:?}", decoded);
        if let Ok(plan) = planned {
            check(&plan);
        }
        if let Ok(config) = decoded
            && let Ok(route) = config.route("a.example", "/p/x")
        {
            for random in [0, 1, u32::MAX / 2, u32::MAX] {
                route.service(random);
            }
        }
        Ok(())
    });
    tested.unwrap();
}

#[test]
fn mutated_registrations_are_decoded_or_refused() {
    let good = json!({ "service": "desk", "address": "127.0.0.1:80", "zone": "a", "slots": 8,
                       "state": "ready", "coldLeftMs": 0, "seqNo": 4, "born": 1_700_000_000_000_u64 });
    let documents = prop_oneof![4 => mutated(good), 1 => any_json()];
    let tested = runner(CASES).run(&documents, |document| {
        if let Err(why) = decode_target("i-1", document) {
            prop_assert!(!why.is_empty());
        }
        Ok(())
    });
    tested.unwrap();
}

/// Any text gets a report and one of the three exit codes.
#[test]
fn any_file_gets_a_report() {
    let project = concat!(env!("CARGO_MANIFEST_DIR"), "/../../etc/dala/document.json");
    let project: Value = serde_json::from_slice(&std::fs::read(project).unwrap()).unwrap();
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("fuzz.json");
    let documents = prop_oneof![mutated(platform_document()), mutated(project)];
    let cut = (documents, any::<prop::sample::Index>(), any::<bool>());
    let tested = runner(FILE_CASES).run(&cut, |(document, index, is_cut)| {
        let mut text = serde_json::to_string_pretty(&document)
            .unwrap()
            .into_bytes();
        if is_cut {
            let length = index.index(text.len());
            text.truncate(length);
        }
        std::fs::write(&file, &text).unwrap();
        let output = run(&file, Some(&file), Format::Json);
        let report: Value = serde_json::from_str(&output.out).unwrap();
        match output.exit {
            Exit::Ok => prop_assert_eq!(&report["findings"], &json!([])),
            Exit::Refused => {
                for finding in report["findings"].as_array().unwrap() {
                    prop_assert!(finding["line"].as_u64().unwrap() >= 1, "{}", finding);
                }
            }
            exit => {
                prop_assert_eq!(exit, Exit::Usage);
                prop_assert!(report["unreadable"].is_string());
            }
        }
        Ok(())
    });
    tested.unwrap();
}
