//! Tests of document validation and route matching, with fixed cases and seeded random documents.

use cyc_config::{Account, ApiKey, Document, RoutePath, Services, part};
use cyc_types::Tokens;
use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};

use crate::sample::{account, document, id};

/// JSON pointer into the document, new value, path of the problem, substring of its `allowed` text.
type Case = (&'static str, Value, &'static str, &'static str);

fn cases() -> Vec<Case> {
    vec![
        (
            "/services/policy/retry_percent",
            json!(101),
            "services.policy.retry_percent",
            "0 to 100",
        ),
        (
            "/services/policy/eject_ms",
            json!(0),
            "services.policy.eject_ms",
            "1 to",
        ),
        (
            "/services/services/1/id",
            json!("writer"),
            "services.services[1].id",
            "services[0].id",
        ),
        (
            "/services/services/0/model",
            json!(null),
            "services.services[0].model",
            "a model",
        ),
        (
            "/services/services/1/model",
            json!("m"),
            "services.services[1].model",
            "no model",
        ),
        (
            "/services/services/1/routes",
            json!([]),
            "services.services[1].routes",
            "at least one",
        ),
        (
            "/services/services/0/routes/0/price",
            json!(1),
            "services.services[0].routes[0].price",
            "no price",
        ),
        (
            "/services/services/0/routes/0/path",
            json!("/x"),
            "services.services[0].routes[0]",
            "/v1/chat",
        ),
        (
            "/services/services/1/routes/0/price",
            json!(null),
            "services.services[1].routes[0].price",
            "tokens",
        ),
        (
            "/services/services/1/routes/0/method",
            json!("get"),
            "services.services[1].routes[0].method",
            "GET",
        ),
        (
            "/services/services/1/routes/0/path",
            json!("kits"),
            "services.services[1].routes[0].path",
            "`/`",
        ),
        (
            "/services/services/1/routes/2/path",
            json!("/kits/*"),
            "services.services[1].routes[2]",
            "routes[1]",
        ),
        (
            "/services/services/1/routes/2/hedge",
            json!(true),
            "services.services[1].routes[2].hedge",
            "idempotent",
        ),
        (
            "/services/services/1/retry/max_attempts",
            json!(0),
            "services.services[1].retry.max_attempts",
            "1 to",
        ),
        (
            "/services/targets/1/id",
            json!("writer-1"),
            "services.targets[1].id",
            "targets[0].id",
        ),
        (
            "/services/targets/1/vm",
            json!("writer-1"),
            "services.targets[1].vm",
            "targets[0].vm",
        ),
        (
            "/services/targets/1/addr",
            json!("127.0.0.1:7001"),
            "services.targets[1].addr",
            "targets[0].addr",
        ),
        (
            "/services/targets/1/addr",
            json!("127.0.0.1:0"),
            "services.targets[1].addr",
            "port",
        ),
        (
            "/services/targets/1/services",
            json!(["nobody"]),
            "services.targets[1].services[0]",
            "a service",
        ),
        (
            "/services/targets/1/services",
            json!([]),
            "services.targets[1].services",
            "at least one",
        ),
        (
            "/services/targets/0/engine",
            json!(null),
            "services.targets[0].engine",
            "desired state",
        ),
        (
            "/services/targets/0/engine/models",
            json!(["quiz-7b"]),
            "services.targets[0].services[0]",
            "quiz-kk",
        ),
        (
            "/services/targets/1/slots/booking",
            json!(0),
            "services.targets[1].slots.booking",
            "at least 1",
        ),
        (
            "/services/targets/1/slots/drafting",
            json!(100_001),
            "services.targets[1].slots.drafting",
            "0 to",
        ),
        (
            "/services/objectives/0/share",
            json!(1.0),
            "services.objectives[0].share",
            "less than 1",
        ),
        (
            "/services/objectives/0/window_ms",
            json!(1),
            "services.objectives[0].window_ms",
            "60000",
        ),
        (
            "/accounts/1/id",
            json!("league"),
            "accounts[1].id",
            "accounts[0].id",
        ),
        ("/accounts/1/share", json!(0), "accounts[1].share", "1 to"),
        (
            "/accounts/1/keys/0/budget",
            json!("league"),
            "accounts[1].keys[0].budget",
            "same account",
        ),
    ]
}

/// Returns the sample document with the value at a JSON pointer replaced or added.
fn document_with(pointer: &str, value: Value) -> Value {
    let mut doc = serde_json::to_value(document()).expect("json");
    let (parent, key) = pointer.rsplit_once('/').expect("pointer");
    match doc.pointer_mut(parent).expect("parent") {
        Value::Object(map) => drop(map.insert(key.into(), value)),
        other => other[key.parse::<usize>().expect("index")] = value,
    }
    doc
}

#[gtest]
fn each_invalid_value_is_reported_with_its_path_and_the_allowed_values() -> googletest::Result<()> {
    for (pointer, value, path, allowed) in cases() {
        let text = document_with(pointer, value).to_string();
        let problems = Document::parse(&text).err().unwrap_or_default();
        let problem = problems.iter().find(|problem| problem.path == path);
        let message = problem.map(ToString::to_string).unwrap_or_default();
        expect_that!(
            message,
            contains_substring(allowed),
            "{pointer}: {problems:?}"
        );
    }
    Ok(())
}

#[gtest]
fn duplicate_keys_and_budgets_are_rejected() -> googletest::Result<()> {
    let mut doc = document();
    let duplicate = ApiKey::new("key of league", id("clubs"));
    doc.accounts[1].keys.push(duplicate);
    doc.accounts[1].budgets.push(id("league"));
    let problems = doc.check().err().unwrap_or_default();
    let paths: Vec<_> = problems
        .iter()
        .map(|problem| problem.path.as_str())
        .collect();
    expect_that!(
        paths,
        elements_are![
            eq(&"accounts[1].budgets[1]"),
            eq(&"accounts[1].keys[1].sha256")
        ]
    );
    Ok(())
}

#[gtest]
fn a_document_cannot_set_the_number_of_claim_buckets() -> googletest::Result<()> {
    // Changing the number could let one request be claimed in two buckets.
    let doc = document_with("/services/services/1/claim_buckets", json!(16));
    let problems = Document::parse(&doc.to_string()).err().unwrap_or_default();
    assert_that!(problems.len(), eq(1));
    expect_that!(
        problems[0].value,
        contains_substring("unknown field `claim_buckets`")
    );
    Ok(())
}

#[gtest]
fn unknown_fields_are_rejected_with_their_position() -> googletest::Result<()> {
    let pointers = [
        "/colour",
        "/services/colour",
        "/services/policy/colour",
        "/services/services/1/colour",
        "/services/services/1/retry/colour",
        "/services/services/1/routes/0/colour",
        "/services/targets/0/colour",
        "/services/targets/0/slots/colour",
        "/services/targets/0/engine/colour",
        "/services/objectives/0/colour",
        "/accounts/0/colour",
        "/accounts/0/keys/0/colour",
    ];
    for pointer in pointers {
        let text = serde_json::to_string_pretty(&document_with(pointer, json!("blue")))?;
        let problems = Document::parse(&text).err().unwrap_or_default();
        assert_that!(problems.len(), eq(1), "{pointer}");
        expect_that!(
            problems[0].value,
            contains_substring("unknown field `colour`")
        );
        let line = text
            .lines()
            .position(|line| line.contains("colour"))
            .unwrap_or_default()
            + 1;
        expect_that!(
            problems[0].path,
            starts_with(format!("document line {line} "))
        );
    }
    Ok(())
}

#[gtest]
fn a_part_larger_than_a_platform_object_is_rejected() -> googletest::Result<()> {
    let mut doc = document();
    let mut large = account("large");
    large
        .budgets
        .extend((0..9_000).map(|n| id(&format!("{n:0>120}"))));
    let name = part::account_part_name(&large.id);
    doc.accounts.push(large);
    let problems = doc.check().err().unwrap_or_default();
    assert_that!(problems.len(), eq(1));
    expect_that!(problems[0].path, eq(&format!("part {name}")));
    expect_that!(
        problems[0].to_string(),
        contains_substring("at most 1000000 bytes")
    );
    Ok(())
}

#[gtest]
fn a_route_is_not_idempotent_by_default() -> googletest::Result<()> {
    let mut doc = serde_json::to_value(document())?;
    let route = doc
        .pointer_mut("/services/services/1/routes/2")
        .expect("route");
    route.as_object_mut().expect("object").remove("idempotent");
    let doc = Document::parse(&doc.to_string()).expect("valid");
    expect_that!(doc.services.services[1].routes[2].idempotent, eq(false));
    Ok(())
}

#[gtest]
fn a_request_matches_the_most_specific_route() -> googletest::Result<()> {
    let services = document().services;
    let price = |method: &str, path: &str| {
        services
            .route(&id("hire-desk"), method, path)
            .and_then(|route| route.price)
    };
    let cases = [
        ("GET", "/kits/7", Some(0)),
        ("GET", "/kits/7?at=noon/../x", Some(0)),
        ("GET", "/kits/", Some(0)),
        ("POST", "/kits/7", Some(1)),
        ("POST", "/kits/book", Some(5)),
        ("POST", "/kits/booking", Some(1)),
        ("GET", "/kits", None),
        ("get", "/kits/7", None),
        ("POST", "/kits/x/../book", None),
        ("POST", "/kits/%2E%2e/book", None),
        ("POST", "/kits/x%2fbook", None),
        ("POST", "/kits/./book", None),
        ("POST", "/kits//book", None),
        ("POST", "/kits\\book", None),
        ("POST", "kits/book", None),
        ("POST", "", None),
    ];
    for (method, path, expected) in cases {
        expect_that!(
            price(method, path),
            eq(expected.map(Tokens::new)),
            "{method} {path}"
        );
    }
    expect_that!(services.route(&id("nobody"), "GET", "/kits/7"), none());
    expect_that!(
        services.route(&id("writer"), "POST", "/v1/chat/completions"),
        none()
    );
    let chat = services
        .chat("quiz-kk")
        .map(|(service, route)| (&service.id, route.idempotent));
    expect_that!(chat, some(eq((&id("writer"), true))));
    expect_that!(services.chat("quiz-7b"), none());
    for (pattern, valid) in [
        ("/a/*", true),
        ("/*", true),
        ("/a*b", false),
        ("/a?b", false),
    ] {
        expect_that!(RoutePath::new(pattern).is_valid(), eq(valid), "{pattern}");
    }
    Ok(())
}

#[gtest]
fn api_keys_are_stored_as_digests_only() -> googletest::Result<()> {
    let text = document().to_json();
    expect_that!(text, not(contains_substring("key of league")));
    let malformed = text.replacen("\"sha256\": \"", "\"sha256\": \"zz", 1);
    let problems = Document::parse(&malformed).err().unwrap_or_default();
    expect_that!(
        problems.first().map(|p| p.value.to_string()),
        some(contains_substring("KeyDigest"))
    );
    let account = Account::new(id("a")).with_budget(id("b")).with_share(3);
    expect_that!(account.share, eq(3));
    Ok(())
}

/// Replaces one random value of a JSON tree, or duplicates an array element on the way to it.
fn mutate(rng: &mut StdRng, value: &mut Value) {
    let replacements = [
        json!(null),
        json!(-1),
        json!(1e300),
        json!("ü *"),
        json!([]),
        json!({}),
        json!(true),
    ];
    let inner = match value {
        Value::Array(items) if !items.is_empty() && rng.random_bool(0.8) => {
            let at = rng.random_range(0..items.len());
            if rng.random_bool(0.1) {
                items.push(items[at].clone());
            }
            items.get_mut(at)
        }
        Value::Object(map) if !map.is_empty() && rng.random_bool(0.8) => {
            let at = rng.random_range(0..map.len());
            map.values_mut().nth(at)
        }
        _ => None,
    };
    match inner {
        Some(inner) => mutate(rng, inner),
        None => *value = replacements[rng.random_range(0..replacements.len())].clone(),
    }
}

#[gtest]
fn random_documents_never_panic_and_each_problem_has_a_path() -> googletest::Result<()> {
    const SEED: u64 = 11;
    const ROUNDS: usize = 2_000;
    let mut rng = StdRng::seed_from_u64(SEED);
    let original = serde_json::to_value(document())?;
    let mut rejected = 0;
    for round in 0..ROUNDS {
        let mut doc = original.clone();
        mutate(&mut rng, &mut doc);
        let mut text = doc.to_string();
        if round % 4 == 0 {
            text.truncate(
                (0..=rng.random_range(0..text.len()))
                    .rfind(|at| text.is_char_boundary(*at))
                    .unwrap_or(0),
            );
        }
        match Document::parse(&text) {
            Ok(doc) => {
                let parts = part::split(&doc);
                let named_bodies = parts
                    .iter()
                    .map(|part| (part.name.as_str(), part.body.as_str()));
                let joined = part::join(named_bodies).map(|doc| part::split(&doc));
                expect_that!(joined, ok(eq(&parts)), "{text}");
            }
            Err(problems) => {
                rejected += 1;
                expect_that!(problems.is_empty(), eq(false), "{text}");
                for problem in problems {
                    let described = !problem.path.is_empty() && !problem.allowed.is_empty();
                    expect_that!(described, eq(true), "{text}");
                }
            }
        }
        let _ = Services::parse(&text);
    }
    expect_that!(rejected, gt(ROUNDS / 2));
    Ok(())
}
