//! Routes, splits and accounts.

use cyc_gateway::config::{Account, Configuration, Limits, Route, RouteKind, Split};
use cyc_types::{ByteSize, ErrorKind, Millis, Revision, Tokens};
use googletest::prelude::*;

fn route(name: &str, prefix: &str, splits: &[(&str, u32)]) -> Route {
    let split = |(service, weight): &(&str, u32)| Split {
        service: service.parse().unwrap(),
        weight: *weight,
    };
    Route {
        name: name.into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Millis::new(1_000),
        objective: Millis::new(300),
        longest_pause: None,
        priority: 1,
        splits: splits.iter().map(split).collect(),
        attempts: 2,
        is_public: name == "public",
    }
}

fn config() -> Configuration {
    let limits = Limits {
        header_bytes: ByteSize::new(16_384),
        body_bytes: ByteSize::new(1_000),
        idle: Millis::new(15_000),
    };
    let account = Account {
        id: "club".parse().unwrap(),
        priority: None,
        prepaid: Some(Tokens::new(10)),
    };
    Configuration::new(Revision::new(7), limits)
        .with_routes([
            route("short", "/a/", &[("one", 1)]),
            route("long", "/a/b/", &[("one", 90), ("two", 10)]),
            route("public", "/p/", &[("one", 1)]),
        ])
        .with_account(account, ["key-1".into()])
}

#[gtest]
fn longest_prefix_wins() {
    let config = config();
    let cases = [
        ("shop.example", "/a/x", Ok("short")),
        ("SHOP.example:8080", "/a/b/x", Ok("long")),
        ("shop.example", "/a/bc", Ok("short")),
        ("shop.example", "/a", Err(ErrorKind::NoSuchRoute)),
        ("other.example", "/a/x", Err(ErrorKind::NoSuchRoute)),
        ("", "/a/x", Err(ErrorKind::NoSuchRoute)),
    ];
    for (host, path, expected) in cases {
        let found = config.route(host, path).map(|route| route.name.as_str());
        expect_that!(found, eq(expected), "{host} {path}");
    }
}

#[gtest]
fn splits_follow_the_weights() {
    let config = config();
    let route = config.route("shop.example", "/a/b/x").unwrap();
    let second = (0..1_000).filter(|draw| route.service(*draw).as_str() == "two");
    expect_that!(second.count(), eq(100));
}

#[gtest]
fn a_key_is_needed_unless_the_route_is_public() {
    let config = config();
    let cases = [
        ("/a/x", Some("key-1"), Ok(Some("club"))),
        ("/a/x", Some("key-2"), Err(ErrorKind::Unauthenticated)),
        ("/a/x", None, Err(ErrorKind::Unauthenticated)),
        ("/p/x", None, Ok(None)),
    ];
    for (path, key, expected) in cases {
        let route = config.route("shop.example", path).unwrap();
        let account = config.account(route, key);
        let account = account.map(|account| account.map(|account| account.id.as_str()));
        expect_that!(account, eq(expected), "{path} {key:?}");
    }
}
